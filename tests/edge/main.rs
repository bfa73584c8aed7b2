//! The callers' and the operators' listeners with invalid input, over loopback.

mod answers;
mod input;
mod keys;
mod operators;
mod streams;
mod support;
