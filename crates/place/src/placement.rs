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
/// Largest part of the reads that probe a database without recent answers. It falls with the square
/// of what the database would gain, since the expected time is only a guess.
const PROBES: f64 = 1.0 / 8.0;
/// Least loss that is assumed for a distant database that doesn't pay, or has no recent answers, so
/// that reads are back in the zone some seconds after the reason to leave it has gone.
const RETURN_LOSS: f64 = 0.25;
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
    /// Whether the expected time rests on recent answers.
    pub measured: bool,
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
/// gets nothing. The cost of an answer is its expected time and the price of its distance. The share of
/// a distant database without recent answers shrinks; a small part of the reads probes it if that may
/// pay.
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
    ///     name, proximity, expected: Duration::from_millis(ms), measured: true, lags: false,
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
        let measured: Vec<bool> = usable
            .iter()
            .map(|index| candidates[*index].measured)
            .collect();
        let shares = self.normalised(candidates, &usable, &costs)?;
        let gains = gains(&shares, &costs);
        let shares = self.shift(shares, &drifts(candidates, &usable, &gains), now);
        let drawn = draw_index(&with_probes(&shares, &gains, &measured), draw)?;
        self.store(candidates, &usable, &shares);
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

    /// Stores the shares of the usable candidates. Together they keep what they had, so that those of
    /// databases that are away for now stay as they are.
    fn store(&mut self, candidates: &[Candidate<'_>], usable: &[usize], shares: &[f64]) {
        let known = usable
            .iter()
            .map(|index| self.share(candidates[*index].name));
        let total: f64 = known.sum();
        let scale = if total > f64::EPSILON { total } else { 1.0 };
        for (index, share) in usable.iter().zip(shares) {
            let name = candidates[*index].name;
            if let Some(known) = self.shares.get_mut(name) {
                *known = share * scale;
            } else {
                self.shares.insert(name.to_owned(), share * scale);
            }
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

    /// Moves shares towards the candidates with a gain, by a bounded step.
    fn shift(&mut self, shares: Vec<f64>, gains: &[f64], now: Instant) -> Vec<f64> {
        let since = self.moved_at.replace(now);
        let elapsed = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let step = (MAX_RATE * elapsed.as_secs_f64()).min(MAX_STEP);
        let moved = shares.iter().zip(gains).map(|(share, gain)| {
            if gain.abs() >= TOLERANCE {
                (share + step * gain).max(0.0)
            } else {
                *share
            }
        });
        let moved: Vec<f64> = moved.collect();
        let total: f64 = moved.iter().sum();
        // All of many small shares may shrink to nothing at once.
        if total <= f64::EPSILON {
            return shares;
        }
        moved.iter().map(|share| share / total).collect()
    }

    /// Records that the part `away` of the reads leaves the zone, and returns a change.
    fn turn(&mut self, away: f64) -> Option<bool> {
        let leaving = away > if self.leaving { STAYING } else { LEAVING };
        (std::mem::replace(&mut self.leaving, leaving) != leaving).then_some(leaving)
    }
}

/// What a read gains at each candidate over the mean, as a part of the mean cost.
fn gains(shares: &[f64], costs: &[f64]) -> Vec<f64> {
    let mean: f64 = shares
        .iter()
        .zip(costs)
        .map(|(share, cost)| share * cost)
        .sum();
    let gain = |cost: &f64| ((mean - cost) / mean.max(f64::EPSILON)).clamp(-1.0, 1.0);
    costs.iter().map(gain).collect()
}

/// Gains by which shares move. At the least distance, the share of a candidate without recent answers
/// stays. Beyond it, every share shrinks that doesn't pay, however little it loses: otherwise reads
/// would stay outside the zone after the reason has gone.
fn drifts(candidates: &[Candidate<'_>], usable: &[usize], gains: &[f64]) -> Vec<f64> {
    let usable = usable.iter().map(|index| &candidates[*index]);
    let nearest = usable.clone().map(|candidate| candidate.proximity).min();
    let drift = |(candidate, gain): (&Candidate<'_>, &f64)| match (
        Some(candidate.proximity) == nearest,
        candidate.measured,
    ) {
        (true, false) => 0.0,
        (false, false) => -RETURN_LOSS,
        (false, true) if *gain < 0.0 => gain.min(-RETURN_LOSS),
        (_, true) => *gain,
    };
    usable.zip(gains).map(drift).collect()
}

/// Shares, with probes of the candidates that may gain and have no recent answers.
fn with_probes(shares: &[f64], gains: &[f64], measured: &[bool]) -> Vec<f64> {
    let probe = |(gain, measured): (&f64, &bool)| {
        if *measured || *gain <= TOLERANCE {
            0.0
        } else {
            PROBES * gain * gain
        }
    };
    let probes: Vec<f64> = gains.iter().zip(measured).map(probe).collect();
    let rest = 1.0 - probes.iter().sum::<f64>().min(1.0);
    let all = shares.iter().zip(&probes);
    all.map(|(share, probe)| share * rest + probe).collect()
}

/// Index whose weight covers `draw`, of at least 0 and below 1. Weights add up to 1.
fn draw_index(weights: &[f64], draw: f64) -> Option<usize> {
    let mut rest = draw;
    let drawn = weights.iter().position(|weight| {
        rest -= weight;
        rest < 0.0
    });
    // Rounding may leave a draw just below 1 without an index.
    drawn.or_else(|| weights.iter().rposition(|weight| *weight > 0.0))
}
