//! Entry process: accepts callers, routes their statements to database members, and acknowledges
//! writes once enough members hold them.

pub mod announce;
mod answer;
mod batch;
mod cancel;
mod config;
pub mod dialect;
mod dump;
mod extended;
pub mod fleet;
mod forward;
pub mod group;
mod implicit;
mod keyed;
pub mod link;
pub mod listener;
mod login;
pub mod member;
pub mod metrics;
pub mod near;
pub mod network;
pub mod options;
pub mod parameters;
pub mod pool;
pub mod postgres;
mod probe;
mod record;
pub mod refusal;
pub mod registry;
mod report;
mod request;
pub mod routing;
pub mod run;
mod session;
pub mod settings;
mod shared;
mod statements;
