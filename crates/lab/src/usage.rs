//! Processor time and memory use of a running process.

use std::{fs, time::Duration};

use crate::error::{Context, LabError};

/// Resource use of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time used so far.
    pub busy: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Reads the resource use of a process from the proc file system.
///
/// # Errors
/// The process doesn't exist.
pub fn usage(id: u32) -> Result<Usage, LabError> {
    let path = format!("/proc/{id}/stat");
    let stat = fs::read_to_string(&path).context(&path)?;
    // The second field, the name in parentheses, may contain spaces; the indexes count from the
    // field after it.
    let fields: Vec<u64> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    let field = |i: usize| fields.get(i).copied().unwrap_or(0);
    let ticks = field(11) + field(12);
    let ticks_per_second = rustix::param::clock_ticks_per_second();
    let page_size = u64::try_from(rustix::param::page_size()).unwrap_or(4_096);
    Ok(Usage {
        busy: Duration::from_millis(ticks * 1_000 / ticks_per_second.max(1)),
        resident: field(21) * page_size,
    })
}
