//! Membership and authentication between running hosts.

use std::{sync::Arc, time::Duration};

use {
    rstest::rstest,
    tokio::time,
    toucanhoist::host::Host,
    toucanhoist_core::membership::State,
    toucanhoist_fakes::platform::Faulty,
    toucanhoist_wire::configuration::{Query, configuration_client::ConfigurationClient},
};

mod common;

use common::{listed, settings, spawn};

const TIMEOUT: Duration = Duration::from_secs(30);

async fn spawn_with(name: &str, secrets: &[&str], platform: &Arc<Faulty>) -> Host {
    let mut settings = settings(name, "lake-1");
    settings.fleet_secrets = secrets.iter().map(|&secret| secret.into()).collect();
    Host::spawn(settings, Arc::clone(platform) as Arc<_>).await.expect("the host starts")
}

async fn wait_for_state(host: &Host, name: &str, state: State) {
    let name = name.parse().expect("valid name");
    let waiting = async {
        while host.fleet().view().member(&name).map(|member| member.state) != Some(state) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(TIMEOUT, waiting).await.expect("the state is seen in time");
}

/// Hosts before and after each step of a rotation of the fleet secrets accept each other.
#[rstest]
#[case::added(&["old"], &["old", "new"])]
#[case::put_first(&["old", "new"], &["new", "old"])]
#[case::removed(&["new", "old"], &["new"])]
#[tokio::test]
async fn hosts_accept_each_other_during_a_secret_rotation(
    #[case] before: &[&str],
    #[case] after: &[&str],
) {
    let platform = Arc::new(Faulty::new());
    let first = spawn_with("entry-1", before, &platform).await;
    let second = spawn_with("entry-2", after, &platform).await;
    platform
        .memory()
        .set_hosts(vec![listed("entry-1", "lake-1", &first), listed("entry-2", "lake-1", &second)]);
    wait_for_state(&first, "entry-2", State::Live).await;
    wait_for_state(&second, "entry-1", State::Live).await;
}

#[tokio::test]
async fn a_call_without_the_secret_is_refused() {
    let host = spawn_with("entry-1", &["old", "new"], &Arc::new(Faulty::new())).await;
    let url = format!("http://{}", host.addresses().peers);
    let mut client = ConfigurationClient::connect(url).await.expect("the connection works");
    let refused = client.locate(Query {}).await.expect_err("no secret was sent");
    assert_eq!(refused.code(), tonic::Code::Unauthenticated);
}

#[tokio::test]
async fn a_host_that_shuts_down_is_seen_as_leaving() {
    let platform = Arc::new(Faulty::new());
    let first = spawn("entry-1", "lake-1", &platform).await;
    let second = spawn("entry-2", "lake-1", &platform).await;
    platform
        .memory()
        .set_hosts(vec![listed("entry-1", "lake-1", &first), listed("entry-2", "lake-1", &second)]);
    wait_for_state(&first, "entry-2", State::Live).await;
    wait_for_state(&second, "entry-1", State::Live).await;
    second.shutdown().await;
    wait_for_state(&first, "entry-2", State::Leaving).await;
}
