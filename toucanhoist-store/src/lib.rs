/*!
Client of the platform: its transactional table service, its object store and its list of hosts.

[`Platform`] is the interface. [`Memory`] implements it in the process, for development and tests;
[`Http`] calls the platform's service (docs/PLATFORM.md describes its API). [`Channel`] makes the
HTTP calls, also for services with other APIs.

# Examples

A conditional write succeeds once:

```
use toucanhoist_store::{Check, Expect, Memory, Platform, Transaction, Write};

# tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
let platform = Memory::new();
let transaction = Transaction {
    checks: vec![Check::new("submissions", "a/1", Expect::Absent)],
    writes: vec![Write::put("submissions", "a/1", "running".into())],
};
assert!(platform.transact(transaction.clone()).await.is_ok());
assert!(platform.transact(transaction).await.unwrap_err().is_conflict());
# });
```
*/

mod api;
mod channel;
mod error;
mod http;
mod memory;
pub mod socket;

pub use crate::{
    api::{Check, Expect, ListedHost, ListedState, Platform, Row, Transaction, Version, Write},
    channel::{Answer, Channel},
    error::{Error, ErrorKind},
    http::Http,
    memory::Memory,
};
