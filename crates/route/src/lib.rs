//! Routing decisions without I/O: freshness, confirmation, write lease, connection shares, queues,
//! failure detection and the directory of members.
//!
//! Every function that decides by time takes the time as an argument.

pub mod affinity;
pub mod budget;
pub mod confirm;
pub mod detect;
pub mod directory;
pub mod freshness;
pub mod lease;
pub mod limit;
pub mod observers;
pub mod placing;
pub mod process_number;
pub mod queue;
pub mod report;
pub mod share;
pub mod status;

pub use budget::Budget;
pub use confirm::Confirmation;
pub use detect::{Detector, Health};
pub use directory::{Announcement, Directory};
pub use freshness::{Nearness, Place, Samples};
pub use lease::WriteLease;
pub use queue::{Queue, QueueError};
pub use share::Share;
pub use status::{SHOW_STATUS, Status};
