//! Random patterns of link failures, to compare rules for changes of primary.

use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde::Deserialize;

use crate::network::{ENTRY, MEMBER, Node, OPERATOR, ZONES};

/// Interval between the starts of two failure episodes.
const EPISODE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of failure episodes in a run.
const EPISODES: u32 = 6;

/// Links that fail in an episode.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pattern {
    /// Messages from an entry process to a database, for each pair with a probability of one half.
    Partial,
    /// All messages from one zone to another, in one direction only.
    Asymmetric,
    /// All links between two zones, which fail and recover repeatedly.
    Flapping,
    /// All links of one zone to the others.
    Zone,
    /// All messages from two or three entry processes to the databases.
    Observers,
}

/// Loss of all messages from one process to another during an interval.
#[derive(Debug)]
pub(crate) struct Cut {
    pub(crate) sender: Node,
    pub(crate) receiver: Node,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
    pub(crate) active: bool,
}

/// Link failures of a run. They depend only on the patterns and the seed, so that compared rules
/// face the same ones.
pub(crate) fn link_cuts(patterns: &[Pattern], start: Instant, seed: u64) -> Vec<Cut> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut cuts = Vec::new();
    for pattern in patterns {
        for episode in 0..EPISODES {
            let begin =
                start + EPISODE_INTERVAL * episode + random_duration(&mut random, 3_000, 4_000);
            let until = begin + random_duration(&mut random, 2_000, 6_000);
            let pairs = failing_directions(*pattern, &mut random);
            let mut from = begin;
            while from < until {
                let (down, up) = match pattern {
                    Pattern::Flapping => (
                        random_duration(&mut random, 200, 2_500),
                        random_duration(&mut random, 200, 1_500),
                    ),
                    _ => (until - from, Duration::ZERO),
                };
                cuts.extend(pairs.iter().map(|&(sender, receiver)| Cut {
                    sender,
                    receiver,
                    from,
                    until: from + down,
                    active: false,
                }));
                from += down + up;
            }
        }
    }
    cuts
}

/// Random duration from `low` to `high` milliseconds.
fn random_duration(random: &mut SmallRng, low: u64, high: u64) -> Duration {
    Duration::from_millis(random.random_range(low..=high))
}

/// Senders and receivers of the messages that are lost in an episode.
fn failing_directions(pattern: Pattern, random: &mut SmallRng) -> Vec<(Node, Node)> {
    let (zone, other) = (random.random_range(0..ZONES), random.random_range(1..ZONES));
    let other = (zone + other) % ZONES;
    let all = (0..OPERATOR).flat_map(|a| (0..OPERATOR).map(move |b| (a, b)));
    let between = |(a, b): &(Node, Node)| (a % ZONES, b % ZONES) == (zone, other);
    let observes = |(a, b): &(Node, Node)| (ENTRY..MEMBER).contains(a) && *b >= MEMBER;
    let unaffected = random.random_range(0..2 * ZONES);
    match pattern {
        Pattern::Asymmetric => all.filter(between).collect(),
        Pattern::Flapping => all
            .filter(|(a, b)| between(&(*a, *b)) || between(&(*b, *a)))
            .collect(),
        Pattern::Zone => all
            .filter(|(a, b)| (a % ZONES == zone) != (b % ZONES == zone))
            .collect(),
        Pattern::Partial => all
            .filter(observes)
            .filter(|_| random.random_ratio(1, 2))
            .collect(),
        Pattern::Observers => all
            .filter(observes)
            .filter(|(a, _)| a - ENTRY != unaffected)
            .collect(),
    }
}
