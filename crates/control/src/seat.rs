//! Seats of the control hosts: a new host can replace a failed one.
//!
//! A seat is a named place in the membership of the replicated log. The number of seats is fixed
//! when the deployment is created; some may be vacant at first. A host without state may take the
//! seat of one that is gone. The log counts the new host only once it has caught up and is
//! readmitted, so the former host and the new one never count at the same time.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    path::Path,
    time::Duration,
};

use base::HostName;
use serde::{Deserialize, Serialize};

use crate::{
    host::{Host, Identity},
    log::{Log, LogError},
    machine::{Answer, Command, State},
};

/// A host that has not answered the leader for this long may be replaced. This is several election
/// timeouts, so a host that restarts keeps its seat.
pub const REPLACEABLE_AFTER: Duration = Duration::from_millis(2_500);

/// Address of a vacant seat; the text of [`base::net::UNASSIGNED`].
pub const VACANT: &str = "0.0.0.0:0";

/// Reply to a host that requests a seat.
#[derive(Debug, Default)]
pub struct JoinReply {
    /// Assigned seat; absent if none is free or this host does not lead.
    pub name: Option<HostName>,
    /// Log index at which the seat was assigned.
    pub index: u64,
    /// Addresses of all seats.
    pub seats: BTreeMap<HostName, String>,
    /// Seat of the leader, if known.
    pub leader: Option<HostName>,
}

/// Addresses of all seats: the initial ones with all later changes applied.
#[must_use]
pub fn addresses(state: &State, identity: &Identity) -> BTreeMap<HostName, String> {
    let founding = identity.peers.iter();
    let founding = founding.map(|(name, address)| (name.clone(), address.to_string()));
    let mut seats: BTreeMap<_, _> = founding.collect();
    seats.extend(state.seats.clone());
    seats
}

/// Whether another host was given the seat of `identity` after this one.
///
/// A state from before this host got its seat names a former holder and tells nothing.
#[must_use]
pub fn is_displaced(state: &State, identity: &Identity) -> bool {
    if state.applied < identity.seat_index {
        return false;
    }
    let own_address = identity
        .peers
        .iter()
        .find(|(name, _)| *name == identity.name);
    match (state.seats.get(&identity.name), own_address) {
        (Some(current), Some((_, address))) => *current != address.to_string(),
        _ => false,
    }
}

/// Seat for the host at `address`: the one it already holds, else the one whose host has been
/// absent longest, if that is at least [`REPLACEABLE_AFTER`].
#[must_use]
pub fn choose(
    seats: &BTreeMap<HostName, String>,
    address: &str,
    absent: impl Fn(&str) -> Option<Duration>,
) -> Option<HostName> {
    if let Some((name, _)) = seats.iter().find(|(_, current)| *current == address) {
        return Some(name.clone());
    }
    let candidates = seats.keys().filter_map(|name| {
        let absent = absent(name)?;
        (absent >= REPLACEABLE_AFTER).then_some((absent, name))
    });
    candidates.max().map(|(_, name)| name.clone())
}

/// Records the initial seats if hosts may be replaced, so that entry processes learn all addresses.
///
/// # Errors
/// The log gives no answer.
pub async fn record_founding<L: Log>(host: &Host<L>) -> Result<(), LogError> {
    if !host.identity.allow_replacement {
        return Ok(());
    }
    let seats = addresses(&host.state.borrow(), &host.identity);
    for (name, address) in seats {
        let known = host.state.borrow().seats.contains_key(&name);
        if !known {
            let command = Command::Seat {
                name,
                address,
                base: None,
            };
            host.log.propose(command.encode()).await?;
        }
    }
    Ok(())
}

/// Assigns a seat to the host at `address` if this host leads and a seat is free.
pub async fn join<L: Log>(host: &Host<L>, address: &str) -> JoinReply {
    let now = base::clock::now();
    let leader = host.log.leader();
    let seats = addresses(&host.state.borrow(), &host.identity);
    let refused = |seats| JoinReply {
        name: None,
        index: 0,
        seats,
        leader: leader.clone(),
    };
    if !host.log.is_leader(now) {
        return refused(seats);
    }
    // A host that was just assigned a seat may not have answered the leader yet.
    let reassigned_seats = host.reassigned_seats.borrow().clone();
    let since_reassigned = |name: &str| {
        let (_, at) = reassigned_seats.get(name)?;
        Some(now.saturating_duration_since(*at))
    };
    // A repeated request must not get a second seat while the first one is being committed.
    let pending = reassigned_seats.iter().find(|(name, (holder, _))| {
        holder == address && since_reassigned(name).is_some_and(|since| since < REPLACEABLE_AFTER)
    });
    let pending = pending.map(|(name, _)| name.clone());
    let chosen = pending.or_else(|| {
        choose(&seats, address, |name| {
            let absent = host.log.time_since_answer(name, now)?;
            Some(since_reassigned(name).map_or(absent, |since| since.min(absent)))
        })
    });
    let Some(name) = chosen else {
        return refused(seats);
    };
    slog::info!(host.logger, "seat given to a host"; "seat" => &name, "address" => address,
        "before" => seats.get(&name));
    let reassigned = (address.to_owned(), now);
    host.reassigned_seats
        .borrow_mut()
        .insert(name.clone(), reassigned);
    let command = Command::Seat {
        name: name.clone(),
        address: address.to_owned(),
        base: seats.get(&name).cloned(),
    };
    let proposed = host.log.propose(command.encode()).await;
    match proposed.map(|(index, answer)| (index, Answer::decode(&answer))) {
        Ok((index, Answer::Done { .. })) => JoinReply {
            name: Some(name),
            index,
            seats: self::addresses(&host.state.borrow(), &host.identity),
            leader,
        },
        Ok((_, answer)) => {
            slog::info!(host.logger, "seat not given: another host got it first"; "seat" => &name,
                "address" => address, "answer" => ?answer);
            refused(self::addresses(&host.state.borrow(), &host.identity))
        }
        Err(cause) => {
            slog::warn!(host.logger, "seat change failed: no answer from the replicated log";
                "seat" => &name, "cause" => %cause);
            refused(seats)
        }
    }
}

/// The seat of this host as stored in its data directory, with the addresses of all seats that were
/// known at that time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seating {
    /// Seat of this host.
    pub name: HostName,
    /// Log index at which this host got its seat; 0 if it founded the deployment.
    #[serde(default)]
    pub index: u64,
    /// Addresses of all seats.
    pub seats: BTreeMap<HostName, String>,
}

/// File in the data directory that holds the seating.
const SEATING_FILE: &str = "seating";

impl Seating {
    /// Initial seating of the hosts at `addresses` for the host at `own_address`; `None` if that is
    /// not one of them. Every host computes the same seats, whatever the order of the addresses.
    ///
    /// To survive the loss of `losses` hosts, twice as many seats plus one are needed. Seats beyond
    /// the initial hosts are vacant until other hosts request them. The initial hosts must be a
    /// majority of all seats, which limits the number of vacant ones.
    ///
    /// ```
    /// use control::seat::{Seating, VACANT};
    ///
    /// let addresses = ["10.0.0.2:7000", "10.0.0.1:7000"].map(String::from);
    /// let seating = Seating::founding(&addresses, "10.0.0.1:7000", 1).unwrap();
    /// assert_eq!(seating.name, "control-1");
    /// assert_eq!(seating.seats["control-3"], VACANT);
    /// assert_eq!(Seating::founding(&addresses, "10.0.0.9:7000", 1), None);
    /// ```
    #[must_use]
    pub fn founding(addresses: &[String], own_address: &str, losses: usize) -> Option<Self> {
        let sorted: BTreeSet<_> = addresses.iter().map(String::as_str).collect();
        let max_seats = (sorted.len() * 2).saturating_sub(1);
        let wanted_seats = losses.saturating_mul(2).saturating_add(1);
        let seat_count = wanted_seats.min(max_seats).max(sorted.len());
        let holders = sorted.into_iter().chain(std::iter::repeat(VACANT));
        let seats = (1..).zip(holders.take(seat_count));
        let seats: BTreeMap<_, _> = seats
            .map(|(i, address)| (format!("control-{i}"), address.to_owned()))
            .collect();
        let (name, _) = seats.iter().find(|(_, address)| *address == own_address)?;
        Some(Self {
            name: name.clone(),
            index: 0,
            seats,
        })
    }

    /// Takes this founding seat: creates the data directory, then stores the seating. A host that was
    /// interrupted between the two has voted for nothing yet and starts over.
    ///
    /// # Errors
    /// The data directory can't be written.
    pub fn found(&self, data: &Path) -> io::Result<()> {
        fs::create_dir_all(data)?;
        remove_all_but_seating(data)?;
        agree::format(data, &self.name).map_err(|cause| io::Error::other(cause.to_string()))?;
        self.store(data)
    }

    /// Reads the seating from a data directory; `None` if there is none.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn load(data: &Path) -> io::Result<Option<Self>> {
        match fs::read_to_string(data.join(SEATING_FILE)) {
            Ok(text) if text.is_empty() => Ok(None),
            Ok(text) => toml::from_str(&text)
                .map(Some)
                .map_err(|cause| io::Error::new(io::ErrorKind::InvalidData, cause.to_string())),
            Err(cause) if cause.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(cause) => Err(cause),
        }
    }

    /// Writes the seating durably.
    ///
    /// # Errors
    /// The data directory can't be written.
    pub fn store(&self, data: &Path) -> io::Result<()> {
        fs::create_dir_all(data)?;
        let text = toml::to_string(self).map_err(io::Error::other)?;
        base::files::replace(&data.join(SEATING_FILE), text)
    }

    /// Whether a data directory belongs to a host that gave up a seat or is about to take one that
    /// it asked for. Such a host founds nothing: its founding seat may be held by another host, and
    /// the log that it voted with is gone.
    #[must_use]
    pub fn is_vacated(data: &Path) -> bool {
        data.join(SEATING_FILE).exists()
    }

    /// Removes what a former seat left in a data directory.
    ///
    /// The seating goes first, durably: after a loss of power any subset of the other files may be
    /// back, and no host may start from them.
    ///
    /// # Errors
    /// The data directory can't be written.
    pub fn vacate(data: &Path) -> io::Result<()> {
        fs::create_dir_all(data)?;
        base::files::replace(&data.join(SEATING_FILE), "")?;
        remove_all_but_seating(data)
    }
}

/// Removes all files of a data directory but the seating, durably.
fn remove_all_but_seating(data: &Path) -> io::Result<()> {
    for entry in fs::read_dir(data)? {
        let path = entry?.path();
        if path.file_name().is_some_and(|name| name != SEATING_FILE) {
            fs::remove_file(path)?;
        }
    }
    fs::File::open(data)?.sync_all()
}
