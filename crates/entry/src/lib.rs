//! Entry daemon: serves callers, routes statements and acknowledges writes.

pub mod announce;
pub mod fleet;
pub mod group;
pub mod link;
pub mod member;
pub mod metrics;
pub mod network;
pub mod pool;
pub mod refusal;
pub mod routing;
pub mod run;
pub mod settings;
