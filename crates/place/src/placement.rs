//! Shares of the reads that each database gets.

use std::time::{Duration, Instant};

use base::{Map, MemberName};
use route::Proximity;

use crate::Prices;

/// Largest change of a share by one read, so that a few slow answers don't move all reads.
const MAX_STEP: f64 = 1.0 / 16.0;
/// Largest change of a share in one second. Response times show a change of load only after some
/// tens of milliseconds, and processes that move faster would all move before they see it.
const MAX_RATE: f64 = 2.0;
/// Difference from the mean cost, as a part of it, below which shares stay as they are.
const TOLERANCE: f64 = 0.1;
/// Part of the reads above which a process counts as leaving its zone.
const LEAVING: f64 = 0.1;
/// Part of the reads below which it no longer does.
const STAYING: f64 = 0.02;

/// A database that may serve a read.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Name of the database.
    pub name: &'a str,
    /// Distance from this process.
    pub proximity: Proximity,
    /// Expected time until an answer arrives.
    pub expected: Duration,
    /// Whether its data may be too old for the read.
    pub lags: bool,
}

/// Database chosen for a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// Index among the candidates.
    pub index: usize,
    /// Whether the read leaves the zone although a database in the zone could serve it.
    pub left: bool,
    /// Whether the process starts (`true`) or stops (`false`) to leave its zone.
    pub turned: Option<bool>,
}

/// Placement of the reads of one group by one process.
///
/// Each read draws a database by its share. Shares move towards databases whose answers cost less
/// than the mean, in proportion to the difference, until the costs are equal or the dearer database
/// gets nothing. The cost of an answer is its expected time and the price of its distance.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    shares: Map<MemberName, f64>,
    moved_at: Option<Instant>,
    leaving: bool,
}

/// Time that a read waits for a connection when `waiting` reads are before it, `running`
/// statements are in flight on the connections, and each takes `answer`.
///
/// ```
/// use std::time::Duration;
/// use place::queue_time;
///
/// let answer = Duration::from_millis(10);
/// assert_eq!(queue_time(answer, 6, 3), Duration::from_millis(20));
/// assert_eq!(queue_time(answer, 0, 3), Duration::ZERO);
/// ```
#[must_use]
pub fn queue_time(answer: Duration, waiting: usize, running: u32) -> Duration {
    answer.saturating_mul(u32::try_from(waiting).unwrap_or(u32::MAX)) / running.max(1)
}

impl Placement {
    /// Chooses the database for a read. `draw` is a random number of at least 0 and below 1.
    /// Candidates with data that may be too old are chosen only if there are no others; `None` if
    /// there are no candidates.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use place::{Candidate, Placement, Prices};
    /// use route::Proximity::{SameRegion, SameZone};
    ///
    /// let candidate = |name, proximity, ms| Candidate {
    ///     name, proximity, expected: Duration::from_millis(ms), lags: false,
    /// };
    /// let near_and_far = [candidate("far", SameRegion, 9), candidate("near", SameZone, 10)];
    /// let mut placement = Placement::default();
    /// let choice = placement.choose(&near_and_far, &Prices::default(), Instant::now(), 0.5);
    /// assert_eq!(choice.map(|choice| choice.index), Some(1));
    /// ```
    pub fn choose(
        &mut self,
        candidates: &[Candidate<'_>],
        prices: &Prices,
        now: Instant,
        draw: f64,
    ) -> Option<Choice> {
        let lags = candidates.iter().all(|candidate| candidate.lags);
        let usable: Vec<_> = (0..candidates.len())
            .filter(|index| candidates[*index].lags == lags)
            .collect();
        let cost = |index: &usize| {
            let candidate = &candidates[*index];
            (candidate.expected + prices.at(candidate.proximity)).as_secs_f64()
        };
        let costs: Vec<f64> = usable.iter().map(cost).collect();
        let shares = self.normalised(candidates, &usable, &costs)?;
        let shares = self.shift(shares, &costs, now);
        let mut rest = draw;
        let drawn = shares.iter().position(|share| {
            rest -= share;
            rest < 0.0
        });
        // Rounding may leave a draw just below 1 without a database.
        let drawn = drawn.or_else(|| shares.iter().rposition(|share| *share > 0.0))?;
        let total: f64 = usable
            .iter()
            .map(|index| self.share(candidates[*index].name))
            .sum();
        let scale = if total > 0.0 { total } else { 1.0 };
        for (index, share) in usable.iter().zip(&shares) {
            self.set_share(candidates[*index].name, share * scale);
        }
        let outside = |index: usize| candidates[index].proximity != Proximity::SameZone;
        let has_nearby = usable.iter().any(|index| !outside(*index));
        let away = usable.iter().zip(&shares);
        let away: f64 = away
            .filter(|(index, _)| outside(**index))
            .map(|(_, share)| share)
            .sum();
        let index = usable[drawn];
        Some(Choice {
            index,
            left: has_nearby && outside(index),
            turned: has_nearby.then(|| self.turn(away)).flatten(),
        })
    }

    /// Part of the reads that a database gets, among all that were candidates.
    #[must_use]
    pub fn share(&self, name: &str) -> f64 {
        self.shares.get(name).copied().unwrap_or_default()
    }

    fn set_share(&mut self, name: &str, share: f64) {
        if let Some(known) = self.shares.get_mut(name) {
            *known = share;
        } else {
            self.shares.insert(name.to_owned(), share);
        }
    }

    /// Shares of the usable candidates, which add up to 1. Without any, those of least cost share
    /// the reads.
    fn normalised(
        &self,
        candidates: &[Candidate<'_>],
        usable: &[usize],
        costs: &[f64],
    ) -> Option<Vec<f64>> {
        let least = costs.iter().copied().min_by(f64::total_cmp)?;
        let known = usable
            .iter()
            .map(|index| self.share(candidates[*index].name));
        let mut shares: Vec<f64> = known.collect();
        if shares.iter().sum::<f64>() <= f64::EPSILON {
            let limit = least * (1.0 + TOLERANCE);
            shares = costs
                .iter()
                .map(|cost| f64::from(u8::from(*cost <= limit)))
                .collect();
        }
        let total: f64 = shares.iter().sum();
        Some(shares.iter().map(|share| share / total).collect())
    }

    /// Moves shares towards the candidates that cost less than the mean, by a bounded step.
    fn shift(&mut self, mut shares: Vec<f64>, costs: &[f64], now: Instant) -> Vec<f64> {
        let since = self.moved_at.replace(now);
        let elapsed = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let step = (MAX_RATE * elapsed.as_secs_f64()).min(MAX_STEP);
        let mean: f64 = shares
            .iter()
            .zip(costs)
            .map(|(share, cost)| share * cost)
            .sum();
        let part = |cost: f64| ((mean - cost) / mean.max(f64::EPSILON)).clamp(-1.0, 1.0);
        for (share, cost) in shares.iter_mut().zip(costs) {
            let part = part(*cost);
            if part.abs() > TOLERANCE {
                *share = (*share + step * part).max(0.0);
            }
        }
        let total: f64 = shares.iter().sum();
        for share in &mut shares {
            *share /= total;
        }
        shares
    }

    /// Records that the part `away` of the reads leaves the zone, and returns a change.
    fn turn(&mut self, away: f64) -> Option<bool> {
        let leaving = away > if self.leaving { STAYING } else { LEAVING };
        (std::mem::replace(&mut self.leaving, leaving) != leaving).then_some(leaving)
    }
}
