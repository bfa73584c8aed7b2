/*!
An entry host that sends straight to targets.

Targets register themselves in a store that all hosts follow ([`store`]). Every host knows every target
and sends to it without a hop; what hosts must tell each other (who is alive, tokens of client accounts,
requests that crash targets, and the registry itself when a host cannot reach the store) travels in
datagrams ([`peers`]).

[`Edge::spawn`](host::Edge::spawn) starts the tasks:

- [`fleet`] owns the registry and the failure detector, and publishes routes and members;
- [`steer`] owns the decisions: accounts' tokens, crash quarantine, placement;
- [`gateway`] serves callers, [`directory`] tells them which hosts to use;
- [`target`] keeps connections to targets and runs one request on one of them.

The names of headers, paths and fields come in as a [`dialect::Dialect`], so that a platform's own names
need no code here.
*/

pub mod clock;
pub mod dialect;
pub mod directory;
pub mod fleet;
pub mod gateway;
pub mod headers;
pub mod host;
pub mod journal;
pub mod packing;
pub mod peers;
pub mod recorder;
mod server;
pub mod settings;
pub mod steer;
pub mod store;
pub mod target;
