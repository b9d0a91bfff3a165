//! Order and admission of requests that wait for a database, without I/O.
//!
//! Designed for bursts of one kind of request, an organisation that sends many times its usual load,
//! and databases that turn slow: more requests wait than can be answered in time. Then the order
//! decides which callers get an answer within the objective of their route.

mod queue;
mod terms;

pub use queue::{Queue, QueueError};
pub use terms::Terms;
