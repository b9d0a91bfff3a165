//! Memory and descriptors of a process, shared by its connections.
//!
//! Answers crowds of clients that send or leave behind more than a host can hold: large messages that
//! arrive at once or never end, answers that nobody reads, sessions that keep large values, and more
//! connections than descriptors.

mod budget;
mod limits;

pub use budget::{Budget, HolderId};
pub use limits::{FLOOR_BYTES, Limits};
