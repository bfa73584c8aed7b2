//! Names of any characters, which operators of a platform may choose.

use std::{collections::BTreeMap, sync::Arc};

use {
    rstest::rstest,
    toucanhoist_core::{
        id,
        steering::{Config, Key, Value},
    },
    toucanhoist_edge::{host::Edge, settings::Settings},
};

use crate::support::{
    Behaviour, FakeTarget, KEY, Memory, config, entry, get, header, host, name, put_config,
    request, send, settings, spawn, wait_until_ready,
};

/// Returns a configuration whose account has a name of any characters.
fn named(account: &str) -> Config {
    let mut config = config(1);
    config.accounts[0].name = id::Account::from_text(account).expect("a name");
    config
}

/// Spawns a host with a configuration and a target.
async fn site_with(config: Config, target: &FakeTarget) -> (Edge, Arc<Memory>) {
    let store = Memory::new();
    put_config(&store, config);
    store.put(Key::Target(name("t1")), Some(Value::Target(entry(target.address))));
    let edge = host("h1", &store, Vec::new()).await;
    wait_until_ready(&edge).await;
    (edge, store)
}

// Guards against requests that run for nobody because a header does not hold the account's name.
#[rstest]
#[case::capital_letter("Beratung-Chur")]
#[case::other_script("Żółw 山")]
#[case::long(&"n".repeat(2_000))]
#[tokio::test]
async fn a_target_gets_the_name_of_the_account_as_it_is(#[case] account: &str) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site_with(named(account), &target).await;
    assert_eq!(get(edge.addresses().callers, "/once/x", "r-1").await.0, 200);
    let sent = target.last_request();
    assert_eq!(header(&sent, "toucanhoist-account").as_deref(), Some(account));
}

// Guards against requests that run for another account: receivers trim a header's value.
#[rstest]
#[case::line_break("farm\r\nx-forged: 1")]
#[case::control("farm\u{7f}")]
#[case::space_before(" farm")]
#[case::space_after("farm ")]
#[tokio::test]
async fn an_account_that_no_header_can_name_is_refused(#[case] account: &str) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, _store) = site_with(named(account), &target).await;
    let before = target.request_count();
    let (status, head, body) = get(edge.addresses().callers, "/once/x", "r-1").await;
    assert_eq!((status, target.request_count()), (503, before), "{body}");
    assert!(header(&head, "retry-after").is_some(), "{head}");
    assert!(body.contains("account-unusable") && body.contains("not-run"), "{body}");
}

// Guards against requests that another target runs at the address of one that is gone.
#[tokio::test]
async fn a_target_that_no_header_can_name_gets_no_requests() {
    let targets =
        [FakeTarget::spawn(Behaviour::Answer).await, FakeTarget::spawn(Behaviour::Answer).await];
    let (edge, store) = site_with(config(1), &targets[0]).await;
    for unusable in [" t", "t\n"] {
        let key = Key::Target(id::Target::from_text(unusable).expect("a name"));
        store.put(key, Some(Value::Target(entry(targets[1].address))));
    }
    // A later entry of the same topic shows that the first two have arrived.
    let third = FakeTarget::spawn(Behaviour::Answer).await;
    let usable = id::Target::from_text("Ziel 3").expect("a name");
    store.put(Key::Target(usable), Some(Value::Target(entry(third.address))));
    for number in 0.. {
        let id = format!("r-{number}");
        let text = request("GET", &format!("/safe/{number}"), &id, Some(KEY), "")
            .replace("\r\n\r\n", &format!("\r\ncookie: toucanhoist-object={number}\r\n\r\n"));
        assert_eq!(send(edge.addresses().callers, &text).await.0, 200);
        if third.request_count() > 0 {
            break;
        }
    }
    assert_eq!(header(&third.last_request(), "toucanhoist-target").as_deref(), Some("Ziel 3"));
    assert_eq!(targets[1].request_count(), 0);
}

// Guards against a rate of which each host admits only its own share.
#[tokio::test]
async fn hosts_exchange_tokens_of_an_account_with_any_name() {
    const BURST: u32 = 20;
    let store = Memory::new();
    let mut config = named("Żółw 山");
    // The rate is so low that practically all tokens are those of the burst.
    (config.accounts[0].rate, config.accounts[0].burst) = (0.01, f64::from(BURST));
    put_config(&store, config);
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    store.put(Key::Target(name("t1")), Some(Value::Target(entry(target.address))));
    let regions = ["N 1", "Ñ2"].map(|text| {
        (
            id::DataCentre::from_text(text).expect("a name"),
            id::Region::from_text("Süd").expect("a name"),
        )
    });
    let mut hosts: Vec<Edge> = Vec::new();
    for (number, (data_centre, _)) in regions.iter().enumerate() {
        let seeds = hosts.iter().map(|host| host.addresses().peers).collect();
        let own = Settings {
            name: id::EntryHost::from_text(&format!("Host {number}")).expect("a name"),
            data_centre: data_centre.clone(),
            regions: BTreeMap::from(regions.clone()),
            ..settings("h1", seeds)
        };
        hosts.push(spawn(own, &store).await);
    }
    for host in &hosts {
        wait_until_ready(host).await;
    }
    // Each host knows that the other one holds half of the burst.
    while store.registered() < hosts.len() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    tokio::time::sleep(std::time::Duration::from_secs(1)).await;
    for number in 0..BURST - 2 {
        let answer = get(hosts[0].addresses().callers, "/safe/x", &format!("r-{number}")).await;
        assert_eq!(answer.0, 200, "request {number}: {}", answer.2);
    }
}
