//! Configurations of which some entries cannot be used.

use toucanhoist_core::{key::Digest, steering::Config};

use crate::support::{
    Behaviour, FakeTarget, KEY, config, get, header, put_config, request, send, site,
};

/// Returns the status, `Retry-After` and body of the answer to a request with the key, once the configuration is in
/// force; no request reaches the target.
async fn refused(changed: Config, path: &str) -> (u16, Option<String>, String) {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    let callers = edge.addresses().callers;
    assert_eq!(get(callers, "/safe/x", "r-0").await.0, 200);
    put_config(&store, changed);
    while get(callers, path, "r-1").await.0 == 200 {}
    let before = target.request_count();
    let (status, head, body) = get(callers, path, "r-2").await;
    assert_eq!(target.request_count(), before);
    (status, header(&head, "retry-after"), body)
}

// Guards against callers that take a valid key for a withdrawn one.
#[tokio::test]
async fn a_key_of_an_unusable_account_is_refused_as_not_run() {
    let changed = Config {
        accounts: Vec::new(),
        unusable_keys: vec![Digest::of(KEY.as_bytes())],
        requires_keys: true,
        ..config(2)
    };
    let (status, retry_after, body) = refused(changed, "/once/x").await;
    assert_eq!((status, retry_after.as_deref()), (503, Some("5")), "{body}");
    assert!(body.contains("account-unusable") && body.contains("not-run"), "{body}");
}

// Guards against routes that are open to all because no account can be read.
#[tokio::test]
async fn without_a_usable_account_keys_are_still_required() {
    let changed = Config { accounts: Vec::new(), requires_keys: true, ..config(2) };
    let (status, _, body) = refused(changed, "/once/x").await;
    assert_eq!(status, 401, "{body}");
}

// Guards against callers that are told that a route is gone although nobody knows.
#[tokio::test]
async fn without_a_readable_route_requests_are_refused_as_not_run() {
    let changed = Config { hosts: Vec::new(), routes_unreadable: true, ..config(2) };
    let (status, retry_after, body) = refused(changed, "/once/x").await;
    assert_eq!((status, retry_after.as_deref()), (503, Some("5")), "{body}");
    assert!(body.contains("not-run"), "{body}");
}

// Guards against requests that fall to a route with a shorter prefix.
#[tokio::test]
async fn a_route_without_a_usable_service_is_refused_as_not_run() {
    let target = FakeTarget::spawn(Behaviour::Answer).await;
    let (edge, store) = site(&[("t1", &target)]).await;
    let mut changed = config(2);
    let mut longer = changed.hosts[0].routes[0].clone();
    longer.prefix = "/safe/plots/".into();
    longer.parts.clear();
    changed.hosts[0].routes.push(longer);
    put_config(&store, changed);
    let text = request("GET", "/safe/plots/7", "r-1", Some(KEY), "");
    let callers = edge.addresses().callers;
    while send(callers, &text).await.0 == 200 {}
    let (status, _, body) = send(callers, &text).await;
    assert_eq!(status, 503, "{body}");
    assert!(body.contains("no-room") && body.contains("not-run"), "{body}");
    assert_eq!(get(callers, "/safe/x", "r-2").await.0, 200);
}
