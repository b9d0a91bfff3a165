//! Freshness: which member may serve a read.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{Position, RegionName, Term, ZoneName};

/// Distance in time between kept samples; bounds the memory for the greatest accepted age.
const SPACING: Duration = Duration::from_millis(100);
/// Samples kept: more than a minute at [`SPACING`].
const KEPT: usize = 1_024;

/// Where a host stands.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Location {
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
}

/// Distance between two hosts, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// The same zone.
    SameZone,
    /// The same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Location {
    /// Distance to `other`.
    #[must_use]
    pub fn proximity(&self, other: &Self) -> Proximity {
        if self.region != other.region {
            Proximity::OtherRegion
        } else if self.zone == other.zone {
            Proximity::SameZone
        } else {
            Proximity::SameRegion
        }
    }
}

/// Samples (T, P): the primary was at P in a status read that was sent at local time T.
///
/// They give the age of a replica's data without synchronised clocks.
#[derive(Debug, Clone, Default)]
pub struct PositionSamples {
    kept: VecDeque<(Instant, Position)>,
}

impl PositionSamples {
    /// Adds a sample from the primary in force.
    pub fn add(&mut self, sent: Instant, position: Position) {
        if let Some(&(last, at)) = self.kept.back() {
            if sent <= last {
                return;
            }
            let before = self.kept.len().checked_sub(2).map(|i| self.kept[i].0);
            let close = before.is_some_and(|before| last - before < SPACING);
            if at == position || close {
                self.kept.pop_back();
            }
        }
        self.kept.push_back((sent, position));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
    }

    /// Oldest position known whose holders lack nothing that is older than `age`; `None` when no
    /// sample is young enough.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use base::Position;
    /// use route::PositionSamples;
    ///
    /// let start = Instant::now();
    /// let mut samples = PositionSamples::default();
    /// samples.add(start, Position::new(1, 5));
    /// let second = Duration::from_secs(1);
    /// assert_eq!(samples.min_position(second, start + second), Some(Position::new(1, 5)));
    /// assert_eq!(samples.min_position(second, start + 2 * second), None);
    /// ```
    #[must_use]
    pub fn min_position(&self, age: Duration, now: Instant) -> Option<Position> {
        let young = |(sent, _): &&(Instant, Position)| now.saturating_duration_since(*sent) <= age;
        self.kept.iter().find(young).map(|(_, position)| *position)
    }

    /// Greatest possible age of the data of a replica at `position`; `None` when the samples
    /// don't reach back far enough.
    #[must_use]
    pub fn age(&self, position: Position, now: Instant) -> Option<Duration> {
        self.kept
            .iter()
            .rev()
            .find(|(_, sample)| position.covers(*sample))
            .map(|(sent, _)| now.saturating_duration_since(*sent))
    }
}

/// What a read demands of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requirement {
    /// It covers this position.
    Token(Position),
    /// Its data is at most this old.
    MaxAge(Duration),
}

/// A replica that answers probes and may get work.
#[derive(Debug, Clone, Copy)]
pub struct Replica {
    /// Number of the member in the caller's list.
    pub index: usize,
    /// Position of its last status.
    pub position: Position,
    /// Greatest possible age of its data.
    pub age: Option<Duration>,
    /// Distance from this process.
    pub proximity: Proximity,
    /// Requests that wait for it in this process.
    pub queued: usize,
}

/// Where a read goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The replica with this number serves it.
    Replica(usize),
    /// A replica that is worth waiting for may catch up.
    Wait,
    /// No replica serves it.
    Primary,
}

/// Chooses where a read goes.
///
/// `waited` is the time that the read waited so far and `max_wait` the longest wait for a replica
/// that lags. `term` is the term in force: a replica of an older term may follow a primary that was
/// replaced, so that it serves nothing.
///
/// A replica of another region is used at once only when no replica of this region is worth
/// waiting for, because the link between regions is slow and billed.
#[must_use]
pub fn choose(
    replicas: &[Replica],
    requirement: Requirement,
    term: Term,
    waited: Duration,
    max_wait: Duration,
) -> Choice {
    let current = || {
        replicas
            .iter()
            .filter(|replica| replica.position.term >= term)
    };
    let fresh = |replica: &&Replica| match requirement {
        Requirement::Token(token) => replica.position.covers(token),
        Requirement::MaxAge(limit) => replica.age.is_some_and(|age| age <= limit),
    };
    let best = current().filter(fresh).min_by_key(|replica| {
        // A free replica of the region is better than a queue in the zone.
        let far = replica.proximity == Proximity::OtherRegion;
        (far, replica.queued > 0, replica.proximity, replica.queued)
    });
    let waits = |proximity: Proximity| {
        waited < max_wait
            && current().any(|replica| {
                // A replica whose data is older than the wait allowed will not catch up in time.
                replica.proximity <= proximity && replica.age.is_none_or(|age| age <= max_wait)
            })
    };
    match best {
        Some(best) if best.proximity < Proximity::OtherRegion => Choice::Replica(best.index),
        Some(_) if waits(Proximity::SameRegion) => Choice::Wait,
        Some(replica) => Choice::Replica(replica.index),
        None if waits(Proximity::OtherRegion) => Choice::Wait,
        None => Choice::Primary,
    }
}
