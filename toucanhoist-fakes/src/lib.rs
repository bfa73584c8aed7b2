/*!
Fakes of the platform and of targets, for tests and development.

A [`platform::Server`] serves a [`Memory`](toucanhoist_store::Memory) over HTTP and injects faults
on demand: delays, outages and lost responses. A [`target::Server`] answers each request with a
report of what it received. [`link::Links`] cut the connections from some addresses.
*/

#[cfg(feature = "process")]
pub mod cluster;
pub mod link;
pub mod platform;
#[cfg(feature = "process")]
pub mod process;
pub mod quota;
mod server;
pub mod target;
