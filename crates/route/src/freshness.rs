//! Choice of the member that serves a read, by the age of its data.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{Position, RegionName, Term, ZoneName};

/// Minimum time between stored samples, which bounds the memory for the largest accepted age.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of stored samples: more than a minute at [`SAMPLE_INTERVAL`].
const MAX_SAMPLES: usize = 1_024;

/// Location of a host.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Location {
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: RegionName,
}

/// Proximity of two hosts, closest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// Both hosts are in the same zone.
    SameZone,
    /// Both hosts are in different zones of the same region.
    SameRegion,
    /// The hosts are in different regions.
    OtherRegion,
}

impl Location {
    /// Proximity to `other`.
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

/// Positions of the primary over time: a sample (T, P) says that the primary was at P in a status
/// whose request was sent at local time T.
///
/// The samples give the age of a replica's data without synchronised clocks.
#[derive(Debug, Clone, Default)]
pub struct PositionSamples {
    samples: VecDeque<(Instant, Position)>,
}

impl PositionSamples {
    /// Adds a sample from the current primary.
    pub fn add(&mut self, sent: Instant, position: Position) {
        if let Some(&(last, last_position)) = self.samples.back() {
            if sent <= last {
                return;
            }
            let previous = self.samples.len().checked_sub(2).map(|i| self.samples[i].0);
            let close = previous.is_some_and(|previous| last - previous < SAMPLE_INTERVAL);
            if last_position == position || close {
                self.samples.pop_back();
            }
        }
        self.samples.push_back((sent, position));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Latest known position.
    #[must_use]
    pub fn latest(&self) -> Option<Position> {
        self.samples.back().map(|(_, position)| *position)
    }

    /// Lowest known position at which a replica has all data that is older than `age`; `None` when
    /// no sample is recent enough.
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
        let recent = |(sent, _): &&(Instant, Position)| now.saturating_duration_since(*sent) <= age;
        self.samples
            .iter()
            .find(recent)
            .map(|(_, position)| *position)
    }

    /// Upper bound on the age of the data of a replica at `position`; `None` when the samples don't
    /// reach back far enough.
    #[must_use]
    pub fn age(&self, position: Position, now: Instant) -> Option<Duration> {
        self.samples
            .iter()
            .rev()
            .find(|(_, sample)| position.covers(*sample))
            .map(|(sent, _)| now.saturating_duration_since(*sent))
    }
}

/// Condition that a replica must meet to serve a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requirement {
    /// The replica covers this position.
    Token(Position),
    /// The data of the replica is at most this old.
    MaxAge(Duration),
}

/// A replica that answers probes and may get work.
#[derive(Debug, Clone, Copy)]
pub struct Replica {
    /// Index of the member in the list of the calling function.
    pub index: usize,
    /// Position in its latest status.
    pub position: Position,
    /// Upper bound on the age of its data.
    pub age: Option<Duration>,
    /// Proximity to this process.
    pub proximity: Proximity,
    /// Number of requests of this process that are queued for it.
    pub queued: usize,
}

/// Where a read goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The replica with this index serves the read.
    Replica(usize),
    /// No replica serves the read now, but one may catch up within the allowed wait.
    Wait,
    /// No replica serves the read.
    Primary,
}

/// Chooses where a read goes.
///
/// `waited` is the time that the read has waited so far, and `max_wait` the longest wait for a
/// lagging replica. `term` is the current term. A replica of an older term may follow a replaced
/// primary and therefore serves nothing.
///
/// A replica of another region is chosen without waiting only when no replica of this region is
/// likely to catch up in time, because the link between regions is slow and billed.
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
        // An idle replica in the region is preferred to a queue in the zone.
        let remote = replica.proximity == Proximity::OtherRegion;
        (
            remote,
            replica.queued > 0,
            replica.proximity,
            replica.queued,
        )
    });
    let should_wait = |proximity: Proximity| {
        waited < max_wait
            && current().any(|replica| {
                // A replica that lags by more than the allowed wait will not catch up in time.
                replica.proximity <= proximity && replica.age.is_none_or(|age| age <= max_wait)
            })
    };
    match best {
        Some(best) if best.proximity < Proximity::OtherRegion => Choice::Replica(best.index),
        Some(_) if should_wait(Proximity::SameRegion) => Choice::Wait,
        Some(replica) => Choice::Replica(replica.index),
        None if should_wait(Proximity::OtherRegion) => Choice::Wait,
        None => Choice::Primary,
    }
}
