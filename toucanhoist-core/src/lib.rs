/*!
The decision logic of toucanhoist, free of input and output (sans I/O).

This crate decides which target runs a request, whether a client account may send it, which revision
of the configuration is in force and which hosts are live. Nothing here opens a socket, reads a
clock or has a source of randomness of its own: time, seeds and messages are arguments, and actions
are return values, which the processes that use this crate carry out.

# Examples

A caller's address leads to the data centre that is its home:

```
use toucanhoist_core::{catalog::Catalog, fleet::Fleet};

let fleet = Fleet::from_json(
    r#"{
        "regions": [{"name": "jura", "data_centres": ["jura-1"]}],
        "client_blocks": [{"block": "10.1.0.0/16", "home": "jura-1"}]
    }"#,
)?;
let catalog = Catalog::new(1.into(), &fleet);
let home = catalog.home("10.1.2.3".parse().expect("an address")).expect("a home");
assert_eq!(home.to_string(), "jura-1");
# Ok::<(), toucanhoist_core::Error>(())
```
*/

pub mod catalog;
pub mod clock;
pub mod configuration;
pub mod connections;
mod error;
pub mod event;
pub mod fleet;
pub mod id;
pub mod key;
pub mod lookup;
pub mod machine;
pub mod membership;
pub mod memory;
pub mod planner;
pub mod quarantine;
pub mod quota;
pub mod refusal;
pub mod retry;
pub mod room;
pub mod steering;
pub mod submission;
pub mod unit;

pub use crate::error::{Error, ErrorKind, Fault};
