/*!
Stand-ins for the platform and for targets, for tests and development.

A [`platform::Server`] serves a [`Memory`](toucanhoist_store::Memory) over HTTP and can be told
to be slow, to be down and to lose answers. A [`target::Server`] answers with what reached it.
*/

pub mod platform;
#[cfg(feature = "process")]
pub mod process;
pub mod quota;
mod server;
pub mod target;
#[cfg(feature = "process")]
pub mod world;
