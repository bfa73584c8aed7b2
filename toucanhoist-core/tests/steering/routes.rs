use {
    rstest::rstest,
    toucanhoist_core::{
        key::Digest,
        steering::{AccountTerms, Config, Host, Part, Routes},
    },
};

use crate::support::{name, route};

fn routes() -> Routes {
    let host = |text: &str, routes| Host { name: text.into(), routes };
    Routes::new(Config {
        accounts: vec![AccountTerms {
            name: name("farm"),
            keys: vec![Digest::of(b"k1"), Digest::of(b"k2")],
            priority: None,
            rate: 1.0,
            burst: 1.0,
            homes: Vec::new(),
        }],
        hosts: vec![
            host("one.example", vec![route("/a/", "curves"), route("/a/b/", "cuts")]),
            host("two.example", vec![route("/", "curves")]),
        ],
        ..Config::default()
    })
}

#[rstest]
#[case("one.example", "/a/x", Some("/a/"))]
#[case("one.example", "/a/b/x", Some("/a/b/"))]
#[case("one.example", "/a/bx", Some("/a/"))]
#[case("one.example", "/a", None)]
#[case("one.example", "/c/", None)]
#[case("ONE.example:8080", "/a/", Some("/a/"))]
#[case("two.example", "/a/b/", Some("/"))]
#[case("three.example", "/a/", None)]
#[case("", "/a/", None)]
fn the_longest_prefix_of_the_host_name_decides(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = routes();
    assert_eq!(routes.route(host, path).map(|route| &*route.prefix), expected);
}

#[rstest]
#[case(b"k1", true)]
#[case(b"k2", true)]
#[case(b"k3", false)]
#[case(b"", false)]
fn a_key_leads_to_its_account(#[case] key: &[u8], #[case] known: bool) {
    assert_eq!(routes().account(key).is_some(), known);
}

#[rstest]
#[case(0.0, "curves")]
#[case(0.89, "curves")]
#[case(0.91, "cuts")]
#[case(0.999_999, "cuts")]
#[case(1.0, "cuts")]
fn services_get_requests_by_weight(#[case] point: f64, #[case] expected: &str) {
    let mut route = route("/a/", "curves");
    route.parts[0].weight = 90.0;
    route.parts.push(Part { service: name("cuts"), weight: 10.0 });
    assert_eq!(route.service(point).map(|service| service.as_str()), Some(expected));
}

#[test]
fn a_service_without_weight_gets_no_requests() {
    let mut route = route("/a/", "curves");
    route.parts.push(Part { service: name("cuts"), weight: 0.0 });
    for step in 0..=100 {
        let service = route.service(f64::from(step) / 100.0);
        assert_eq!(service.map(|service| service.as_str()), Some("curves"));
    }
}
