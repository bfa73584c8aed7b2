//! Configuration changes with running hosts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use {
    bytes::Bytes,
    http::StatusCode,
    http_body_util::BodyExt,
    rand::{RngExt, SeedableRng},
    rand_xoshiro::Xoshiro256PlusPlus,
    rstest::rstest,
    serde_json::{Value, json},
    tokio::time,
    toucanhoist::{
        host::{
            Host,
            fleet::{self, Outcome, Proposal},
        },
        settings::Peer,
    },
    toucanhoist_core::{
        fleet::{Account, Fleet, Service, Target},
        id,
        unit::Rate,
    },
    toucanhoist_fakes::{
        platform::{Faults, Faulty, Server},
        process::{self, Config},
    },
    toucanhoist_store::{Platform, Transaction},
};

mod common;

use common::{listed, settings, spawn};

const TIMEOUT: Duration = Duration::from_secs(30);

fn document(accounts: usize) -> Fleet {
    let account = |number: usize| Account {
        name: format!("account-{number}").parse().expect("valid name"),
        rate: Rate::per_second(10.0),
        burst: 10,
        weight: 1,
    };
    Fleet { accounts: (0..accounts).map(account).collect(), ..Fleet::default() }
}

async fn store(platform: &Faulty, fleet: Fleet) {
    let change = fleet::Change {
        revision: 1.into(),
        change: 1.into(),
        author: "first".into(),
        reason: "start".into(),
        fleet,
    };
    let transaction = Transaction { checks: Vec::new(), writes: fleet::writes(&change) };
    platform.transact(transaction).await.expect("the platform is up");
}

fn proposal(base: u64, change: u128, fleet: Fleet) -> Proposal {
    Proposal {
        base: base.into(),
        change: change.into(),
        author: "a.meier".into(),
        reason: "a test".into(),
        confirm: Vec::new(),
        fleet,
    }
}

async fn wait_for(host: &Host, revision: u64) {
    let revision: id::Revision = revision.into();
    let waiting = async {
        while host.fleet().catalog().revision() < revision {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(TIMEOUT, waiting).await.expect("the revision is in force in time");
}

#[tokio::test]
async fn a_lost_answer_is_settled_even_after_a_later_change() {
    let platform = Arc::new(Faulty::new());
    store(&platform, document(1)).await;
    let host = spawn("entry-1", "lake-1", &platform).await;
    wait_for(&host, 1).await;
    platform.set_faults(Faults { lose_answers: true, ..Faults::default() });
    let first = proposal(1, 77, document(2));
    assert!(
        matches!(host.fleet().change(first.clone()).await, Outcome::Accepted(r) if r == 2.into())
    );
    platform.set_faults(Faults::default());
    wait_for(&host, 2).await;
    let second = host.fleet().change(proposal(2, 78, document(3))).await;
    assert!(matches!(second, Outcome::Accepted(r) if r == 3.into()));
    // The operator sends the first change again: it is neither applied twice nor a conflict.
    assert!(matches!(host.fleet().change(first).await, Outcome::Accepted(r) if r == 2.into()));
    wait_for(&host, 3).await;
    assert_eq!(host.fleet().catalog().fleet().accounts.len(), 3);
    assert_eq!(host.fleet().history().await.expect("the platform is up").len(), 3);
}

#[tokio::test]
async fn a_new_host_starts_from_its_peers_when_the_platform_is_down() {
    let platform = Arc::new(Faulty::new());
    store(&platform, document(1)).await;
    let first = spawn("entry-1", "lake-1", &platform).await;
    wait_for(&first, 1).await;
    let changed = first.fleet().change(proposal(1, 5, document(4))).await;
    assert!(matches!(changed, Outcome::Accepted(r) if r == 2.into()));
    platform.set_faults(Faults { down: true, ..Faults::default() });
    let mut settings = settings("entry-2", "lake-1");
    settings.peers = vec![Peer {
        name: "entry-1".parse().expect("valid name"),
        data_centre: "lake-1".parse().expect("valid name"),
        callers: "http://callers".into(),
        peers: first.addresses().peers,
    }];
    let fresh = Host::spawn(settings, Arc::clone(&platform) as Arc<dyn Platform>).await;
    let fresh = fresh.expect("the host starts");
    wait_for(&fresh, 2).await;
    assert_eq!(fresh.fleet().catalog().fleet(), first.fleet().catalog().fleet());
    let refused = fresh.fleet().change(proposal(2, 6, document(5))).await;
    assert!(matches!(refused, Outcome::Failed(error) if !error.is_unknown()));
}

#[tokio::test]
async fn a_new_host_skips_a_damaged_snapshot() {
    let platform = Arc::new(Faulty::new());
    store(&platform, document(1)).await;
    let first = spawn("entry-1", "lake-1", &platform).await;
    wait_for(&first, 1).await;
    for base in 1..205 {
        let accounts = usize::try_from(base).expect("a small number") + 1;
        let changed = first.fleet().change(proposal(base, base.into(), document(accounts))).await;
        assert!(matches!(changed, Outcome::Accepted(r) if r == (base + 1).into()), "{changed:?}");
        wait_for(&first, base + 1).await;
    }
    let pointers = async {
        loop {
            let rows = platform.read("configuration", &["snapshots".into()]).await;
            let row = rows.expect("the platform is up").pop().flatten();
            let text = row.and_then(|row| row.value).unwrap_or_default();
            let pointers: Value = serde_json::from_str(&text).unwrap_or_default();
            if pointers.as_array().is_some_and(|pointers| pointers.len() == 2) {
                return pointers;
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let pointers = time::timeout(TIMEOUT, pointers).await.expect("two snapshots");
    let object = pointers[0]["object"].as_str().expect("valid name").to_owned();
    platform.put_object(&object, Bytes::from_static(b"damaged")).await.expect("the platform is up");
    let fresh = spawn("entry-2", "hill-1", &platform).await;
    wait_for(&fresh, 205).await;
    assert_eq!(fresh.fleet().catalog().fleet(), first.fleet().catalog().fleet());
}

#[tokio::test]
async fn a_change_reaches_a_host_that_cannot_read_the_platform() {
    let (near, far) = (Arc::new(Faulty::new()), Arc::new(Faulty::new()));
    store(&near, document(1)).await;
    let first = spawn("entry-1", "lake-1", &near).await;
    let second = spawn("entry-2", "hill-1", &far).await;
    let hosts = vec![listed("entry-1", "lake-1", &first), listed("entry-2", "hill-1", &second)];
    near.memory().set_hosts(hosts);
    far.set_faults(Faults { down: true, ..Faults::default() });
    wait_for(&second, 1).await;
    let changed = first.fleet().change(proposal(1, 9, document(2))).await;
    assert!(matches!(changed, Outcome::Accepted(r) if r == 2.into()));
    wait_for(&second, 2).await;
    let located = first.fleet().revisions().await;
    let revisions: Vec<_> = located.iter().map(|located| located.revision).collect();
    assert_eq!(revisions, [Some(2.into()), Some(2.into())]);
}

#[tokio::test]
async fn a_change_that_removes_all_capacity_must_be_confirmed() {
    let platform = Arc::new(Faulty::new());
    let mut full = document(1);
    full.regions = vec![toucanhoist_core::fleet::Region {
        name: "lake".parse().expect("valid name"),
        data_centres: vec!["lake-1".parse().expect("valid name")],
    }];
    full.services = vec![Service { name: "curves".parse().expect("valid name") }];
    full.targets = vec![Target {
        name: "curves-1".parse().expect("valid name"),
        service: "curves".parse().expect("valid name"),
        data_centre: "lake-1".parse().expect("valid name"),
        address: "127.0.0.1:1".parse().expect("valid address"),
    }];
    store(&platform, full.clone()).await;
    let host = spawn("entry-1", "lake-1", &platform).await;
    wait_for(&host, 1).await;
    let empty = Fleet { targets: Vec::new(), ..full };
    let mut change = proposal(1, 3, empty);
    let outcome = host.fleet().change(change.clone()).await;
    let Outcome::Unconfirmed(losses) = outcome else { panic!("{outcome:?}") };
    change.confirm = losses.into_iter().map(|loss| loss.name).collect();
    assert!(matches!(host.fleet().change(change).await, Outcome::Accepted(r) if r == 2.into()));
}

/// Two operators race at two hosts while the platform has faults; every outcome that they get
/// agrees with the history.
#[rstest]
#[case::seed_31(31)]
#[case::seed_32(32)]
#[tokio::test]
async fn reported_outcomes_match_the_history_under_races_and_faults(#[case] seed: u64) {
    let platform = Arc::new(Faulty::new());
    store(&platform, document(1)).await;
    let hosts =
        [spawn("entry-1", "lake-1", &platform).await, spawn("entry-2", "hill-1", &platform).await];
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let (mut outcomes, mut number) = (Vec::new(), 100_u32);
    for _ in 0..5 {
        let head = hosts[0].fleet().history().await.expect("the platform is up");
        let base = head.last().expect("a first change").revision.as_u64();
        for host in &hosts {
            wait_for(host, base).await;
        }
        platform.set_faults(Faults {
            lose_answers: random.random_range(0..2) == 0,
            down: random.random_range(0..5) == 0,
            delay: Duration::from_millis(random.random_range(0..3)),
        });
        let mut random_proposal = || {
            number += 1;
            let stale = u64::from(random.random_range(0..4) == 0);
            let accounts = usize::try_from(number).expect("a small number") + 1;
            proposal(base.saturating_sub(stale).max(1), number.into(), document(accounts))
        };
        let (first, second) = (random_proposal(), random_proposal());
        let results = tokio::join!(
            hosts[0].fleet().change(first.clone()),
            hosts[1].fleet().change(second.clone()),
        );
        platform.set_faults(Faults::default());
        for (host, proposal, outcome) in [(0, first, results.0), (1, second, results.1)] {
            let is_unknown = matches!(&outcome, Outcome::Failed(error) if error.is_unknown());
            let outcome = match is_unknown {
                true => hosts[host].fleet().change(proposal.clone()).await,
                false => outcome,
            };
            outcomes.push((proposal.change, outcome));
        }
    }
    let history = hosts[0].fleet().history().await.expect("the platform is up");
    for (change, outcome) in outcomes {
        let found: Vec<_> = history.iter().filter(|entry| entry.change == change).collect();
        match outcome {
            Outcome::Accepted(revision) => {
                assert_eq!(found.len(), 1, "{change}");
                assert_eq!(found[0].revision, revision, "{change}");
            }
            Outcome::Failed(error) if error.is_unknown() => panic!("{change}: {error}"),
            Outcome::Conflict(_) | Outcome::Unconfirmed(_) | Outcome::Failed(_) => {
                assert!(found.is_empty(), "{change} was refused but is in the history");
            }
        }
    }
}

/// Starts two hosts in processes of their own that know each other.
async fn processes(platform: &Arc<Faulty>) -> (Server, Vec<process::Host>) {
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
    let server = Server::bind(any_port, Arc::clone(platform)).await.expect("the platform starts");
    let mut hosts = Vec::new();
    for (name, data_centre) in [("entry-1", "lake-1"), ("entry-2", "hill-1")] {
        let config = Config {
            binary: env!("CARGO_BIN_EXE_toucanhoist").into(),
            name: name.into(),
            data_centre: data_centre.into(),
            platform: server.address(),
            log_level: "info",
        };
        hosts.push(process::Host::spawn(config).await.expect("the host starts"));
    }
    platform.memory().set_hosts(hosts.iter().map(process::Host::listed).collect());
    for host in &hosts {
        host.wait_until_ready(2).await.expect("the host is ready in time");
    }
    (server, hosts)
}

#[tokio::test]
async fn config_set_requires_confirmation_of_a_large_loss() {
    let platform = Arc::new(Faulty::new());
    store(&platform, document(4)).await;
    let (_server, hosts) = processes(&platform).await;
    let file = std::env::temp_dir().join(format!("toucanhoist-set-{}.json", std::process::id()));
    let content = serde_json::to_string(&document(1)).expect("valid JSON");
    std::fs::write(&file, content).expect("the file is written");
    let url = format!("http://{}", hosts[0].addresses().operators);
    let set = async |options: &[&str]| {
        tokio::process::Command::new(env!("CARGO_BIN_EXE_toucanhoist"))
            .args(["config", "set", "--operator", &url, "--token", process::OPERATOR_TOKEN])
            .args(["--author", "anna", "--reason", "the season is over", "--json", "--wait"])
            .args(options)
            .arg(&file)
            .output()
            .await
            .expect("the command runs")
    };
    let refused = set(&[]).await;
    let problem = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(!refused.status.success());
    assert!(problem.contains("accounts: 3 of 4 lost"), "{problem}");
    let accepted = set(&["--confirm", "accounts"]).await;
    let problem = String::from_utf8_lossy(&accepted.stderr).into_owned();
    assert!(accepted.status.success(), "{problem}");
    assert!(problem.contains("account account-3 removed"), "{problem}");
    for host in &hosts {
        let answer =
            host.call_operator_api("GET", "/configuration", Bytes::new()).await.expect("an answer");
        let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
        let value: Value = serde_json::from_slice(&content).expect("valid JSON");
        assert_eq!(value["revision"], "2");
    }
    std::fs::remove_file(file).expect("the file is removed");
}

/// Two operators race at two hosts in processes of their own.
#[tokio::test]
async fn one_of_two_racing_operators_gets_a_conflict_that_names_the_other_change() {
    let platform = Arc::new(Faulty::new());
    store(&platform, document(1)).await;
    let (_server, hosts) = processes(&platform).await;
    let change = |author: &str, accounts: usize| {
        let fleet = document(accounts);
        let body = json!({"base": "1", "author": author, "reason": "race", "fleet": fleet});
        Bytes::from(body.to_string())
    };
    let (first, second) = tokio::join!(
        hosts[0].call_operator_api("PUT", "/configuration", change("anna", 2)),
        hosts[1].call_operator_api("PUT", "/configuration", change("bruno", 3)),
    );
    let mut answers = Vec::new();
    for answer in [first, second] {
        let answer = answer.expect("an answer");
        let status = answer.status();
        let content = answer.into_body().collect().await.expect("a complete answer").to_bytes();
        let value: Value = serde_json::from_slice(&content).expect("valid JSON");
        answers.push((status, value));
    }
    let winner = answers.iter().position(|(status, _)| *status == StatusCode::OK);
    let winner = winner.unwrap_or_else(|| panic!("{answers:?}"));
    let (status, conflict) = &answers[1 - winner];
    assert_eq!(*status, StatusCode::CONFLICT, "{conflict}");
    assert_eq!(conflict["author"], ["anna", "bruno"][winner]);
    assert_eq!(conflict["revision"], "2");
    let added = ["account account-1 added", "account account-2 added"];
    let touches = conflict["touches"].as_array().expect("a list of changes");
    assert_eq!(touches.last().expect("a change"), added[winner]);
}
