/*!
toucanhoist steers requests from callers to the targets that should serve them.

This crate is the library of the `toucanhoist` binary. It adds sockets, files and timers to the
decisions of `toucanhoist-core`. [`host::Host`] is a running entry host, [`cli`] the command line.
*/

pub mod cli;
pub mod dev;
pub mod host;
pub mod journal;
pub mod settings;
