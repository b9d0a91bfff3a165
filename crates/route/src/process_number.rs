//! Process numbers of sessions, which cancel requests carry.
//!
//! A process number holds the mark of the entry process above the number of the session, so that a
//! cancel request that arrives at another entry process can be passed on.

/// Bits of a process number that number the sessions of one entry process. Its limit of callers is
/// well below 65,535.
const NUMBER_BITS: u32 = 16;
/// Bits of a run that are its mark.
const MARK: u64 = 0x7fff;

/// Mark that the process numbers of the sessions of a run carry.
#[must_use]
pub fn mark(run: u64) -> i32 {
    i32::try_from(run & MARK).unwrap_or_default()
}

/// Process number of session `number` of the entry process with this mark.
///
/// ```
/// use route::process_number::{compose, mark, mark_of};
///
/// let run = 0x0012_3456_789a;
/// assert_eq!(mark_of(compose(mark(run), 7)), mark(run));
/// ```
#[must_use]
pub fn compose(mark: i32, number: u16) -> i32 {
    mark << NUMBER_BITS | i32::from(number)
}

/// Mark of the entry process whose session has the process number `pid`.
#[must_use]
pub const fn mark_of(pid: i32) -> i32 {
    pid >> NUMBER_BITS
}
