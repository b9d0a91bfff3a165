//! Entry daemon: serves callers, routes statements and acknowledges writes.

pub mod fleet;
pub mod refusal;
