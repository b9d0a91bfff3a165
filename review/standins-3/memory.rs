//! Crowds of sessions that an entry host has to bear within the memory of its machine.

use std::{thread, time::Duration};

use crate::{
    Verdict,
    crowd::Crowd,
    deployment::{Deployment, Sizes, serves_write},
    record::Record,
};

/// Memory of a front machine of the site, in MB.
const MEMORY_MB: u32 = 160;
/// Descriptors of a front machine of the site.
const DESCRIPTORS: u32 = 4_400;
/// Time that the crowd stays connected before the memory is read.
const HOLD: Duration = Duration::from_secs(1);

/// Descriptors that an entry host needs beside those of the sessions.
const OTHER_DESCRIPTORS: usize = 100;

const SIZES: Sizes = Sizes {
    memory_mb: MEMORY_MB,
    descriptors: DESCRIPTORS,
    connections: 26,
    timeout_ms: 800,
    idle_ms: 3_000,
    entries: 1,
};

/// Plays a crowd of `count` sessions, each with so many `names`, against an entry host with the sizes of
/// the site.
pub fn run(record: &Record, trouble: bool, count: usize, names: usize) -> Result<Verdict, String> {
    let limit = descriptor_limit().ok_or("the limit on descriptors can't be read")?;
    if limit < count + OTHER_DESCRIPTORS {
        return Err(format!(
            "{limit} descriptors are too few for {count} sessions"
        ));
    }
    let mut deployment = Deployment::start(record, &SIZES)?;
    let before = deployment.entry_peak_mb();
    let before = before.ok_or("the memory of the entry host can't be read")?;
    let crowd = Crowd::connect(deployment.front, count, names)?;
    record.line(&format!(
        "{} of {count} sessions are connected and got all answers",
        crowd.sessions
    ));
    thread::sleep(HOLD);
    let ordinary = (0..20).find_map(|i| {
        thread::sleep(Duration::from_millis(100));
        serves_write(deployment.front, &format!("ordinary-{i}")).ok()
    });
    let (runs, peak) = (deployment.entry_runs(), deployment.entry_peak_mb());
    record.line(&format!("ordinary write: {ordinary:?}"));
    record.line(&format!("entry host runs: {runs}"));
    let most = peak.unwrap_or(0);
    record.line(&format!(
        "entry host's memory: {before} MB before, {most} MB at most, {MEMORY_MB} MB allowed"
    ));
    if !trouble && crowd.sessions != count {
        return Err(format!("only {} sessions could connect", crowd.sessions));
    }
    let within = peak.is_some_and(|peak| peak <= u64::from(MEMORY_MB));
    Ok(if runs && within && ordinary.is_some() {
        Verdict::Held
    } else {
        Verdict::Broken
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
