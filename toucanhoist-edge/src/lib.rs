/*!
An entry host that sends requests directly to targets.

Targets register themselves in a store that all hosts follow ([`store`]). Every host knows every target
and sends to it without an intermediate host. Hosts exchange datagrams ([`peers`]) about membership, tokens
of client accounts, requests that crash targets, and changes of the registry. The changes also reach hosts
that cannot reach the store.

[`Edge::spawn`](host::Edge::spawn) starts the tasks:

- [`fleet`] owns the registry and the failure detector, and publishes routes and members;
- [`steer`] decides about requests: tokens of client accounts, crash quarantine, choice of the target;
- [`gateway`] serves callers, [`directory`] lists the hosts that they may use;
- [`target`] pools connections to targets and runs requests on them.

The names of headers, paths and fields are values of a [`dialect::Dialect`], so that a platform with its
own names needs no code here.
*/

pub mod clock;
pub mod connections;
pub mod dialect;
pub mod directory;
pub mod fleet;
pub mod gateway;
pub mod headers;
pub mod held;
pub mod host;
pub mod journal;
pub mod packing;
pub mod peers;
pub mod process;
pub mod recorder;
mod server;
pub mod settings;
pub mod status;
pub mod steer;
pub mod store;
pub mod target;
pub mod window;
