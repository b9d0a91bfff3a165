//! Entry daemon: serves callers, routes statements and acknowledges writes.

pub mod announce;
mod answer;
mod batch;
mod extended;
pub mod fleet;
pub mod group;
mod keyed;
pub mod link;
pub mod listener;
mod login;
pub mod member;
pub mod metrics;
pub mod network;
pub mod options;
pub mod parameters;
pub mod pool;
pub mod refusal;
mod registry;
mod report;
mod request;
pub mod routing;
pub mod run;
mod session;
pub mod settings;
mod shared;
mod statements;
