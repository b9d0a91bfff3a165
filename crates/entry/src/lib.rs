//! Entry daemon: serves callers, routes statements and acknowledges writes.

mod answer;
mod batch;
mod extended;
pub mod fleet;
mod keyed;
pub mod listener;
mod login;
pub mod options;
pub mod parameters;
pub mod refusal;
mod registry;
mod request;
mod session;
mod shared;
mod statements;
