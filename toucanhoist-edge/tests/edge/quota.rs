//! Rates and bursts of client accounts over several hosts.

use std::{collections::BTreeMap, sync::Arc};

use toucanhoist_core::{
    id,
    quota::holders,
    steering::{Config, Key, Value},
};

use crate::support::{
    Behaviour, FakeTarget, Memory, config, entry, get, host, name, put_config, wait_until_ready,
};

const BURST: usize = 20;

/// Returns a configuration whose account has a burst, and a rate so low that practically no token is added.
fn limited() -> Config {
    let mut config = config(1);
    (config.accounts[0].rate, config.accounts[0].burst) = (0.01, BURST as f64);
    config
}

/// Returns the name of a host that holds the account's share when it has registered beside `first`.
fn name_of_holder(first: &str) -> String {
    let account: id::Account = name("farm");
    let is_holder = |text: &String| {
        let hosts = [first, text].map(|host| (name(host), name("n1")));
        holders(&account, &BTreeMap::from(hosts)) == [&name::<id::EntryHost>(text)]
    };
    (0..).map(|number| format!("added-{number}")).find(is_holder).expect("a name")
}

/// Returns how many of some requests to a host are admitted.
async fn admitted(host: &toucanhoist_edge::host::Edge, requests: usize, label: &str) -> usize {
    let mut admitted = 0;
    for number in 0..requests {
        let (status, _, body) =
            get(host.addresses().callers, "/safe/x", &format!("{label}-{number}")).await;
        assert!([200, 429].contains(&status), "{status}: {body}");
        admitted += usize::from(status == 200);
    }
    admitted
}

// Guards against a share that two hosts hold: the one that the others know of, and one that could not register.
#[tokio::test]
async fn a_host_that_has_not_registered_holds_no_share() {
    let store = Memory::new();
    put_config(&store, limited());
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    store.put(Key::Target(name("t1")), Some(Value::Target(entry(target.address))));
    let first = host("first", &store, Vec::new()).await;
    wait_until_ready(&first).await;
    // The store turns the added host away, which learns of all from the first one.
    let rejecting = Memory::new();
    rejecting.set_unavailable(true);
    let seeds = vec![first.addresses().peers];
    let added = host(&name_of_holder("first"), &Arc::clone(&rejecting), seeds).await;
    wait_until_ready(&added).await;

    // The host that holds the share gives tokens to the other one, whose callers are served.
    let at_added = admitted(&added, 8, "added").await;
    assert!(at_added > 0, "callers of the added host get nothing");
    let all =
        at_added + admitted(&first, BURST, "first").await + admitted(&added, BURST, "more").await;
    assert!(all <= BURST, "{all} of {BURST}");
}
