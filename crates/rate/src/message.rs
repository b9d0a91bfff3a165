//! Messages between holders and the ledger.

use crate::{Milli, OrgId, Share};

/// Call of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Call {
    /// Grows with each call of the holder.
    pub sequence: u64,
    /// Term of the leader whose answer the holder applied last.
    pub leader: u64,
    /// Whether the call names all shares that the holder has.
    pub full: bool,
    /// Shares that the holder has or asks for.
    pub asks: Vec<Ask>,
}

/// Share of one organisation's limit that a holder has or asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Ask {
    /// Organisation.
    pub org: OrgId,
    /// Share in force.
    pub held: Share,
    /// Tokens in the bucket.
    pub tokens: Milli,
    /// Tokens given back since the last call.
    pub returned: Milli,
    /// Operations per second that callers ask for, as a moving average.
    pub demand: Milli,
    /// Number of operations that wait for the answer.
    pub waiting: u32,
    /// Whether the leader whose answer the holder applied last was the last to extend this share.
    pub acknowledged: bool,
}

/// Answer of the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Answer {
    /// Sequence number of the call.
    pub sequence: u64,
    /// Term of the leader.
    pub term: u64,
    /// Shares that change. All others that the call names stay as they are.
    pub grants: Vec<Grant>,
}

/// Changed share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Grant {
    /// Organisation.
    pub org: OrgId,
    /// Share from now on.
    pub share: Share,
    /// Tokens added to the bucket.
    pub tokens: Milli,
    /// Number of operations that may run in addition within [`crate::INSTANT`] from the sending of the
    /// call.
    pub instant: u32,
    /// Whether nothing is left for operations that wait.
    pub exhausted: bool,
}
