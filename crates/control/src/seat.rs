//! Seats among the control hosts: a host without state takes the seat of one that is gone.
//!
//! The number of seats is fixed at installation. The log counts a new host of a seat only once it
//! has caught up and is readmitted, so that the former one and it never count at the same time.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::HostName;

use crate::{
    host::{Host, Identity},
    log::Log,
    machine::{Command, State},
};

/// A host of a seat that the leader has not heard from for this long may be replaced. It is several
/// election timeouts, so that a host that restarts keeps its seat.
pub const ABSENT: Duration = Duration::from_millis(2_500);

/// Answer to a host that asks for a seat.
#[derive(Debug, Default)]
pub struct Joined {
    /// Seat; absent when none is free or this host does not lead.
    pub name: Option<HostName>,
    /// Addresses of all seats.
    pub seats: BTreeMap<HostName, String>,
    /// Seat of the leader, if known.
    pub leader: Option<HostName>,
}

/// Addresses of all seats: the founding ones with all changes.
#[must_use]
pub fn seats(state: &State, identity: &Identity) -> BTreeMap<HostName, String> {
    let founding = identity.peers.iter();
    let founding = founding.map(|(name, address)| (name.clone(), address.to_string()));
    let mut seats: BTreeMap<_, _> = founding.collect();
    seats.extend(state.seats.clone());
    seats
}

/// Whether another host than `identity` holds its seat.
#[must_use]
pub fn displaced(state: &State, identity: &Identity) -> bool {
    let own = identity.peers.iter().find(|(name, _)| *name == identity.name);
    match (state.seats.get(&identity.name), own) {
        (Some(held), Some((_, address))) => *held != address.to_string(),
        _ => false,
    }
}

/// Seat for the host at `address`: the one that it holds already, or the one whose host has been
/// absent the longest.
#[must_use]
pub fn choose(
    seats: &BTreeMap<HostName, String>,
    address: &str,
    absent: impl Fn(&str) -> Option<Duration>,
) -> Option<HostName> {
    if let Some((name, _)) = seats.iter().find(|(_, held)| *held == address) {
        return Some(name.clone());
    }
    let gone = seats.keys().filter_map(|name| {
        let absent = absent(name)?;
        (absent >= ABSENT).then_some((absent, name))
    });
    gone.max().map(|(_, name)| name.clone())
}

/// Gives the host at `address` a seat, when this host leads and one is free.
pub async fn join<L: Log>(host: &Host<L>, address: &str) -> Joined {
    let now = Instant::now();
    let leader = host.log.leader();
    let seats = seats(&host.state.borrow(), &host.identity);
    let refused = |seats| Joined {
        name: None,
        seats,
        leader: leader.clone(),
    };
    if !host.log.is_leader(now) {
        return refused(seats);
    }
    let chosen = choose(&seats, address, |name| host.log.absent(name, now));
    let Some(name) = chosen else {
        return refused(seats);
    };
    slog::info!(host.logger, "seat given to a host"; "seat" => &name, "address" => address,
        "before" => seats.get(&name));
    let command = Command::Seat {
        name: name.clone(),
        address: address.to_owned(),
    };
    match host.log.propose(command.encode()).await {
        Ok(_applied) => Joined {
            name: Some(name),
            seats: self::seats(&host.state.borrow(), &host.identity),
            leader,
        },
        Err(cause) => {
            slog::warn!(host.logger, "the change of a seat has no answer of the log";
                "seat" => &name, "cause" => %cause);
            refused(seats)
        }
    }
}
