//! Rate limits of organisations that hold over all entry processes together.
//!
//! Each entry process has a token bucket for an organisation ([`Holder`]). The rate and the depth of
//! the bucket are a share of the limit, which the leading control host lends for a term ([`Ledger`]).
//!
//! # Bound
//!
//! The rates of all shares in force and the rate at which the ledger's pool fills add up to at most the
//! rate of the limit at each moment, and the depths of the shares, the pool and the instant tokens to
//! at most the capacity of [`capacity`]. Tokens move between the pool and the buckets, but only the
//! rates create them. So the operations in any window are at most the capacity plus the rate times the
//! window.
//!
//! # Changes of leader
//!
//! All shares together stay within [`lendable`]. A new leader lends only what holders claim, until all
//! other shares have ended ([`TAKEOVER`]). The rest of the limit was never lent, so it fills the pool
//! of the new leader as soon as the former one has noticed and its instant tokens have ended. Pools
//! start empty. This holds for any number of changes within a window.
//!
//! A former leader may still answer for [`DEPOSED_WITHIN`]. So a ledger lends a share whose term ended
//! to others only that much later, and a holder drops an answer that arrives after its share ended. So
//! a share that a holder extended by an answer of this ledger was not lent to others; only then it
//! counts as taken over. A share that was reduced without an order of this ledger may have been lent on
//! by a former leader; it counts in full until the holder applied an answer of this one.

mod account;
mod bucket;
mod holder;
mod ledger;
mod message;
mod share;

use std::time::Duration;

pub use holder::{Admission, Holder};
pub use ledger::{HolderId, Ledger};
pub use message::{Answer, Ask, Call, Grant};
pub use share::{Milli, OrgId, Share, capacity, lendable, org_id};

/// Time from the sending of a call after which the shares that it names end.
pub const TERM: Duration = Duration::from_secs(5);
/// Longest time that a former leader takes to notice that another host leads: the longest election
/// timeout.
pub const DEPOSED_WITHIN: Duration = Duration::from_millis(1_200);
/// Time from the sending of a call within which instant tokens must be used.
pub const INSTANT: Duration = Duration::from_millis(600);
/// Time from its start during which a ledger lends no more than what holders claim.
pub const TAKEOVER: Duration = TERM.saturating_add(DEPOSED_WITHIN);
