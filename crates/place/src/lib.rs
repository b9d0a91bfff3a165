//! Placement of reads: which database serves a read, and how much leaves the zone.
//!
//! Designed for demand that is uneven between zones, zones with too few databases or none, and
//! databases that turn slow. Each process decides by itself, without messages.

mod placement;
mod prices;

pub use placement::{Candidate, Choice, Placement, queue_time};
pub use prices::Prices;
