//! Random patterns of links that fail, for comparisons of decisions.

use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use serde::Deserialize;

use crate::network::{ENTRY, MEMBER, Node, OPERATOR, ZONES};

/// Episodes of failed links, one every 10 s.
const EPISODE: Duration = Duration::from_secs(10);
/// Episodes of a run.
const EPISODES: u32 = 6;

/// Which links fail in an episode.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pattern {
    /// Each link between an entry process and a database with probability one half.
    Partial,
    /// All messages from one zone to another, in this direction only.
    Asymmetric,
    /// All links between two zones, again and again.
    Flapping,
    /// All links of one zone to the others.
    Zone,
    /// All links between two or three entry processes and the databases.
    Observers,
}

/// A direction between two processes that loses every message for some time.
#[derive(Debug)]
pub(crate) struct Cut {
    pub(crate) sender: Node,
    pub(crate) receiver: Node,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
    pub(crate) active: bool,
}

/// Cuts of a run; they depend on the seed only, so that both decisions meet the same ones.
pub(crate) fn cuts(patterns: &[Pattern], start: Instant, seed: u64) -> Vec<Cut> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut cuts = Vec::new();
    for pattern in patterns {
        for episode in 0..EPISODES {
            let begin = start + EPISODE * episode + ms(&mut random, 3_000, 4_000);
            let until = begin + ms(&mut random, 2_000, 6_000);
            let pairs = pairs(*pattern, &mut random);
            let mut from = begin;
            while from < until {
                let (down, up) = match pattern {
                    Pattern::Flapping => (ms(&mut random, 200, 2_500), ms(&mut random, 200, 1_500)),
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

fn ms(random: &mut SmallRng, low: u64, high: u64) -> Duration {
    Duration::from_millis(random.random_range(low..=high))
}

/// Directions that fail.
fn pairs(pattern: Pattern, random: &mut SmallRng) -> Vec<(Node, Node)> {
    let (zone, other) = (random.random_range(0..ZONES), random.random_range(1..ZONES));
    let other = (zone + other) % ZONES;
    let all = (0..OPERATOR).flat_map(|a| (0..OPERATOR).map(move |b| (a, b)));
    let between = |(a, b): &(Node, Node)| (a % ZONES, b % ZONES) == (zone, other);
    let watches = |(a, b): &(Node, Node)| (ENTRY..MEMBER).contains(a) && *b >= MEMBER;
    let spared = random.random_range(0..2 * ZONES);
    match pattern {
        Pattern::Asymmetric => all.filter(between).collect(),
        Pattern::Flapping => all
            .filter(|(a, b)| between(&(*a, *b)) || between(&(*b, *a)))
            .collect(),
        Pattern::Zone => all
            .filter(|(a, b)| (a % ZONES == zone) != (b % ZONES == zone))
            .collect(),
        Pattern::Partial => all
            .filter(watches)
            .filter(|_| random.random_ratio(1, 2))
            .collect(),
        Pattern::Observers => all
            .filter(watches)
            .filter(|(a, _)| a - ENTRY != spared)
            .collect(),
    }
}
