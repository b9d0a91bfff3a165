//! Processor time and memory of a running process.

use std::{fs, time::Duration};

use crate::error::{Context, LabError};

/// What a process has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time so far.
    pub busy: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Reads the usage of a process from the proc file system.
///
/// # Errors
/// The process has ended.
pub fn usage(id: u32) -> Result<Usage, LabError> {
    let path = format!("/proc/{id}/stat");
    let stat = fs::read_to_string(&path).context(&path)?;
    // The name in parentheses may hold spaces; fields are counted behind it.
    let fields: Vec<u64> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .map(|field| field.parse().unwrap_or(0))
        .collect();
    let field = |i: usize| fields.get(i).copied().unwrap_or(0);
    let ticks = field(11) + field(12);
    let second = rustix::param::clock_ticks_per_second();
    let page = u64::try_from(rustix::param::page_size()).unwrap_or(4_096);
    Ok(Usage {
        busy: Duration::from_millis(ticks * 1_000 / second.max(1)),
        resident: field(21) * page,
    })
}
