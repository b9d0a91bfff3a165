//! Process ids of sessions, as cancel requests carry them.
//!
//! The high bits of a process id hold a tag of the entry process and the low bits the number of the
//! session. An entry process that receives a cancel request for another one's session can therefore
//! forward it.

/// Low bits of a process id, which hold the session number. The limit of callers per entry process
/// is well below 65,535.
const SESSION_BITS: u32 = 16;
/// Bits of a run id that form the tag of the entry process.
const TAG_MASK: u64 = 0x7fff;

/// Returns the tag of the entry process with the run id `run`.
#[must_use]
pub fn entry_tag(run: u64) -> i32 {
    i32::try_from(run & TAG_MASK).unwrap_or_default()
}

/// Returns the process id of session `number` of the entry process with the tag `tag`.
///
/// ```
/// use route::process_id::{compose, entry_tag, entry_tag_of};
///
/// let run = 0x0012_3456_789a;
/// assert_eq!(entry_tag_of(compose(entry_tag(run), 7)), entry_tag(run));
/// ```
#[must_use]
pub fn compose(tag: i32, number: u16) -> i32 {
    tag << SESSION_BITS | i32::from(number)
}

/// Returns the tag of the entry process that owns the session with the process id `pid`.
#[must_use]
pub const fn entry_tag_of(pid: i32) -> i32 {
    pid >> SESSION_BITS
}
