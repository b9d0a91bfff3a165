//! Routing decisions without I/O: freshness, confirmation, write leases, connection shares, failure
//! detection and the directory of members.
//!
//! Functions whose result depends on time take the time as an argument.

pub mod acks;
pub mod affinity;
pub mod budget;
pub mod confirm;
pub mod detect;
pub mod directory;
pub mod freshness;
pub mod lease;
pub mod limit;
pub mod load;
pub mod observers;
pub mod process_id;
pub mod report;
pub mod share;
pub mod status;

pub use acks::AckBounds;
pub use budget::RetryBudget;
pub use confirm::Confirmation;
pub use detect::{FailureDetector, Health};
pub use directory::{Announcement, Directory};
pub use freshness::{Location, PositionSamples, Proximity};
pub use lease::WriteLease;
pub use share::ConnectionShare;
pub use status::{SHOW_STATUS, Status};
