//! Recovery of the node's state from the data directory at start.

use std::{path::Path, rc::Rc};

use crate::{
    codec::{Snapshot, parse_log},
    environment::{Disk, File},
    error::StartError,
    hard::HardState,
    log::{Entry, Log},
};

/// Content of the data directory.
pub struct Recovered {
    /// Absent on an empty data directory.
    pub hard_state: Option<HardState>,
    pub snapshot: Option<(Snapshot, Rc<[u8]>)>,
    pub log: Log,
    pub commit: u64,
    /// Whether the log file ended with a torn frame.
    pub torn: bool,
}

fn corrupt(file: File) -> impl Fn(String) -> StartError {
    move |cause| StartError::Corrupt {
        file: file.name().to_owned(),
        cause,
    }
}

/// Reads and checks all files of the data directory.
pub fn recover(disk: &impl Disk, data: &Path) -> Result<Recovered, StartError> {
    let read = |file: File| {
        disk.read(file).map_err(|cause| StartError::Disk {
            path: data.join(file.name()),
            cause,
        })
    };
    let (state, encoded, bytes) = (read(File::State)?, read(File::Snapshot)?, read(File::Log)?);
    let Some(state) = state else {
        if encoded.is_some() || bytes.is_some() {
            return Err(corrupt(File::State)(
                "the file is missing although a log or snapshot exists".into(),
            ));
        }
        return Ok(Recovered {
            hard_state: None,
            snapshot: None,
            log: Log::default(),
            commit: 0,
            torn: false,
        });
    };
    let hard_state = HardState::decode(&state).map_err(corrupt(File::State))?;
    let snapshot = match encoded {
        None => None,
        Some(encoded) => {
            let snapshot = Snapshot::decode(&encoded).map_err(corrupt(File::Snapshot))?;
            Some((snapshot, Rc::from(encoded)))
        }
    };
    let base = snapshot
        .as_ref()
        .map_or((0, 0), |(snapshot, _)| (snapshot.index, snapshot.term));
    let file = parse_log(&bytes.unwrap_or_default()).map_err(corrupt(File::Log))?;
    let mut commit = base.0;
    let mut entries: Vec<Entry> = Vec::new();
    for frame in file.frames {
        commit = commit.max(frame.commit);
        replay(&mut entries, frame.entries).map_err(corrupt(File::Log))?;
    }
    let log = attach_to_snapshot(base, entries).map_err(corrupt(File::Log))?;
    if log.last_term() > hard_state.term {
        let cause = "its term is older than that of the log, so a vote may be lost".to_owned();
        return Err(corrupt(File::State)(cause));
    }
    Ok(Recovered {
        hard_state: Some(hard_state),
        commit: commit.min(log.last_index()),
        snapshot,
        log,
        torn: file.torn,
    })
}

/// Replays one frame: its entries replace all entries from the first of them on.
fn replay(entries: &mut Vec<Entry>, written: Vec<Entry>) -> Result<(), String> {
    let (Some(first), Some(oldest)) = (written.first(), entries.first()) else {
        entries.extend(written);
        return Ok(());
    };
    let end = oldest.index + entries.len() as u64;
    if first.index > end {
        return Err(format!("entries {end} to {} are missing", first.index - 1));
    }
    let keep = first.index.saturating_sub(oldest.index);
    entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    entries.extend(written);
    Ok(())
}

/// Builds the log that continues the snapshot, whose index and term are `base`.
fn attach_to_snapshot(base: (u64, u64), entries: Vec<Entry>) -> Result<Log, String> {
    let Some(first) = entries.first() else {
        return Ok(Log::new(base));
    };
    if first.index > base.0 + 1 {
        return Err(format!(
            "entries {} to {} are missing",
            base.0 + 1,
            first.index - 1
        ));
    }
    let is_contiguous = first.index == base.0 + 1;
    let matches = entries
        .iter()
        .any(|entry| entry.index == base.0 && entry.term == base.1);
    if !is_contiguous && !matches {
        // A snapshot from the leader replaced this log, and the process ended before it rewrote the
        // log file.
        return Ok(Log::new(base));
    }
    // The term before the first entry is only known from the snapshot.
    let mut entries = entries.into_iter();
    let start = if is_contiguous {
        Some(base)
    } else {
        entries.next().map(|entry| (entry.index, entry.term))
    };
    let mut log = Log::new(start.unwrap_or(base));
    for entry in entries {
        log.push(entry);
    }
    Ok(log)
}
