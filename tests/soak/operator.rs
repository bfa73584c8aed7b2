//! Versions of the configuration. Each withdraws a key, and all but the first have a value that cannot be read.

use serde_json::{Value, json};

use crate::{
    caller::ACCOUNTS,
    ledger::{BURST, RATE},
};

/// Fields, each of an entry that no caller uses, that get an odd value.
const ODD_FIELDS: [&str; 13] = [
    "/tenants/0/name",
    "/tenants/0/apiKeys",
    "/tenants/0/priority",
    "/tenants/0/ratePerS",
    "/tenants/0/homeRegions",
    "/services/0/name",
    "/services/0/coldS",
    "/hosts/0/host",
    "/hosts/0/paths/0/prefix",
    "/hosts/0/paths/0/timeoutS",
    "/hosts/0/paths/0/service",
    "/hosts/0/paths/0/split",
    "/hosts/0/paths/0/homeRegions",
];
/// JSON texts, of which some are no value of any field. Their number has no factor in common with that of the fields,
/// so that versions combine all of them.
const ODD_VALUES: [&str; 11] = [
    "null",
    "300",
    "-1",
    "1e400",
    "1e18",
    "{}",
    "[7]",
    "\"Beratung-Chur\"",
    "\"Żółw 山\"",
    "\"a\\nb\"",
    "\"\"",
];
/// Text in the place of an odd value.
const MARK: &str = "@odd@";

/// Returns the key that a version has and the next one withdraws.
pub fn guest_key(version: u64) -> String {
    format!("key-guest-{version}")
}

/// Returns the text of a version with a repeatable route, an at-most-once route, and a route named after the version.
pub fn config(version: u64) -> String {
    let mut document = document(version);
    let number = usize::try_from(version).expect("a small number");
    if version > 1 {
        let field = ODD_FIELDS[number % ODD_FIELDS.len()];
        *document.pointer_mut(field).expect("a field") = MARK.into();
    }
    document.to_string().replace(&format!("\"{MARK}\""), ODD_VALUES[number % ODD_VALUES.len()])
}

fn document(version: u64) -> Value {
    let path = |name: &str, kind: &str| {
        json!({"name": name, "prefix": format!("/{name}/"), "kind": kind, "service": "curves",
            "timeoutS": 1.2, "targetLatencyS": 0.3, "priority": 1, "maxAttempts": 2,
            "sessionAffinity": true})
    };
    let account = |name: &str, key: &str| json!({"name": name, "apiKeys": [key], "ratePerS": RATE, "burst": BURST});
    let mut spare_path = path("spare", "safe");
    (spare_path["split"], spare_path["homeRegions"]) = (json!([]), json!([]));
    let mut spare_account = account("spare", "key-spare");
    (spare_account["priority"], spare_account["homeRegions"]) = (json!(1), json!([]));
    let mut accounts = vec![spare_account, account("guest", &guest_key(version))];
    accounts.extend(ACCOUNTS.iter().map(|(name, key)| account(name, key)));
    let service = |name: &str| json!({"name": name, "healthPath": "/health", "maxConns": 300, "coldS": 0, "coldPerS": 1000});
    json!({
        "version": format!("{version:08x}"),
        "services": [service("spare"), service("curves")],
        "tenants": accounts,
        "hosts": [
            {"host": "spare.example", "paths": [spare_path]},
            {"host": "soak.example", "paths": [path("reads", "safe"), path("writes", "unsafe"),
                path(&format!("idle{version}"), "safe")]},
        ],
    })
}
