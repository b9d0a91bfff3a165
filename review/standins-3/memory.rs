//! The rule on processes that end by themselves, and crowds of sessions that an entry host has to bear
//! within the memory of its machine.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    crowd::Crowd,
    deployment::{Deployment, Sizes},
    record::Record,
};

/// Entry hosts in use.
pub const ENTRIES: u8 = 2;
/// The rule: on a tenth of the machines in use, two at least, processes end three times.
pub const MACHINES: usize = 2;
pub const ENDS: usize = 3;
/// Time between two readings of the memory by the platform.
pub const READING: Duration = Duration::from_millis(50);

/// Sizes of the site.
pub const SIZES: Sizes = Sizes {
    memory_mb: 160,
    descriptors: 4_400,
    connections: 26,
    timeout_ms: 800,
    idle_ms: 3_000,
    entries: ENTRIES,
};

/// Time for which the crowds are there, unless the rule is broken before.
const LENGTH: Duration = Duration::from_secs(90);
/// Time of the calm case.
const CALM: Duration = Duration::from_secs(30);
/// Descriptors that an entry host needs beside those of the sessions.
const OTHER_DESCRIPTORS: usize = 100;

/// Plays a crowd of `count` sessions, each with so many `names`, against each entry host.
pub fn run(record: &Record, trouble: bool, count: usize, names: usize) -> Result<Verdict, String> {
    let limit = descriptor_limit().ok_or("the limit on descriptors can't be read")?;
    if limit < count + OTHER_DESCRIPTORS {
        return Err(format!(
            "{limit} descriptors are too few for {count} sessions"
        ));
    }
    let mut deployment = Deployment::start(record, &SIZES)?;
    let crowds: Result<Vec<_>, _> = deployment
        .fronts
        .iter()
        .map(|front| Crowd::connect(*front, count, names))
        .collect();
    let crowds = crowds?;
    record.line(&format!(
        "{count} clients of each entry host set {names} names and prepare {names} each"
    ));
    let (start, length) = (Instant::now(), if trouble { LENGTH } else { CALM });
    let mut most = 0;
    while start.elapsed() < length && deployment.ended_often(ENDS) < MACHINES {
        thread::sleep(READING);
        let used = deployment.entry_memory_mb().into_iter().max();
        most = most.max(used.unwrap_or(0));
        deployment.supervise(record)?;
    }
    drop(crowds);
    let often = deployment.ended_often(ENDS);
    record.line(&format!(
        "most memory of an entry host: {most} MB of {}",
        SIZES.memory_mb
    ));
    record.line(&format!(
        "entry hosts whose process ended {ENDS} times: {often}"
    ));
    Ok(if often >= MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Number of descriptors that a process may open here.
fn descriptor_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}
