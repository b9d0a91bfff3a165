//! Safety rules that must hold in every interleaving.

use std::collections::{BTreeMap, BTreeSet};

use base::{Term, Version};
use control::machine::{Answer, Command, State};

use crate::{
    database::{self, Database},
    network::Node,
};

/// Shorter pauses between acknowledgements don't count, since writes are sent every 40 ms.
const MIN_PAUSE_MS: u32 = 200;

/// Events and counts of a run, and the rules that it has violated.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    pub(crate) violations: BTreeSet<String>,
    pub(crate) acknowledged: BTreeSet<u64>,
    /// Number of writes acknowledged in the final phase of the run.
    pub(crate) final_writes: usize,
    /// First member that accepted a promotion, by term.
    promoted: BTreeMap<Term, Node>,
    /// Latest record version for which all older leases have ended.
    pub(crate) released_version: Version,
    pub(crate) applied: u64,
    /// Digest of each version of the configuration.
    configs: BTreeMap<Version, String>,
    /// How often each operator's change took effect.
    effects: BTreeMap<String, u32>,
    /// Faults, records and promotions in order, to diagnose a run that violated a rule.
    pub(crate) events: Vec<String>,
    /// Milliseconds since the start.
    pub(crate) now_ms: u32,
    /// Changes of primary after which the primary is reachable from no more entry processes than
    /// before.
    pub(crate) needless: usize,
    /// Time of the last acknowledgement of each entry process, in milliseconds since the start.
    last_acknowledged: BTreeMap<Node, u32>,
    /// Sum of the pauses between acknowledgements of all entry processes, in milliseconds.
    pub(crate) blocked: u32,
    pub(crate) promotions: usize,
    pub(crate) changes: usize,
}

/// Change id without the suffix `#number` that marks a resent change.
pub(crate) fn original_change(change: &str) -> &str {
    change.split('#').next().unwrap_or(change)
}

impl Audit {
    /// Adds an event with the current time.
    pub(crate) fn log_event(&mut self, event: &str) {
        self.events.push(format!("{} ms: {event}", self.now_ms));
    }

    pub(crate) fn report_violation(&mut self, rule: impl Into<String>) {
        self.violations.insert(rule.into());
    }

    /// Records that a member became the primary of `term`, and checks that it is the only one.
    pub(crate) fn record_promotion(&mut self, term: Term, member: &Database) {
        let name = database::name(member.node);
        let position = member.position();
        self.log_event(&format!("{name} is primary of {term} at {position}"));
        let first = *self.promoted.entry(term).or_insert(member.node);
        if first != member.node {
            self.report_violation(format!("two primaries in term {term}"));
        }
        self.promotions = self.promoted.len();
        self.check_acknowledged_writes(member);
    }

    /// Records that an entry process acknowledged a write of `term`, and checks that no later term
    /// has begun.
    pub(crate) fn record_acknowledgement(&mut self, node: Node, id: u64, term: Term) {
        self.acknowledged.insert(id);
        self.end_pause(node);
        if self.promoted.range(term + 1..).next().is_some() {
            self.report_violation(format!("write of term {term} acknowledged in a later term"));
        }
    }

    /// Ends the pause since the last acknowledgement of an entry process and adds it if it is long
    /// enough to count.
    pub(crate) fn end_pause(&mut self, node: Node) {
        let last = self
            .last_acknowledged
            .insert(node, self.now_ms)
            .unwrap_or_default();
        let pause = self.now_ms - last;
        if pause > MIN_PAUSE_MS {
            self.blocked += pause;
        }
    }

    /// Checks that the log of the primary holds every acknowledged write.
    pub(crate) fn check_acknowledged_writes(&mut self, member: &Database) {
        let held: BTreeSet<u64> = member.log.iter().map(|(_, id)| *id).collect();
        let missing = self.acknowledged.difference(&held).count();
        if missing > 0 {
            let name = database::name(member.node);
            self.report_violation(format!("{missing} acknowledged writes missing on {name}"));
        }
    }

    /// Records a command that a host applied, given the configuration version before it and the
    /// state after it.
    pub(crate) fn record_applied(
        &mut self,
        command: &Command,
        before: Version,
        answer: &Answer,
        state: &State,
    ) {
        self.check_config(state.config.version, &state.config.digest);
        if state.applied <= self.applied {
            return;
        }
        self.applied = state.applied;
        if let (Command::Record { record, .. }, Answer::Done { .. }) = (command, answer) {
            let stores: Vec<_> = record.members.iter().map(|m| &m.store).collect();
            self.log_event(&format!(
                "record {:?} term {} next {} primary {} of {stores:?}",
                record.state, record.term, record.next, record.primary
            ));
        }
        let Answer::Done { version, .. } = answer else {
            return;
        };
        let change = match command {
            Command::Configure(change) if state.config.version > before => {
                if change.base != before {
                    self.report_violation(format!("change {} reverted another", change.change));
                }
                &change.change
            }
            Command::Plan { planned, .. } if *version == state.applied => &planned.change,
            _ => return,
        };
        self.changes += 1;
        let effects = self.effects.entry(original_change(change).to_owned());
        let count = *effects.and_modify(|count| *count += 1).or_insert(1);
        if count > 1 {
            self.report_violation(format!(
                "change {} applied {count} times",
                original_change(change)
            ));
        }
    }

    /// Checks that a configuration version has the same digest wherever it is in effect.
    pub(crate) fn check_config(&mut self, version: Version, digest: &str) {
        let known = self.configs.entry(version);
        if known.or_insert_with(|| digest.to_owned()) != digest {
            self.report_violation(format!("two configurations of version {version}"));
        }
    }

    /// Checks the outcome that an operator received: a refused change must not have taken effect.
    pub(crate) fn check_told_outcome(&mut self, change: &str, done: bool) {
        if !done && self.effects.contains_key(original_change(change)) {
            self.report_violation(format!(
                "change {} applied and refused",
                original_change(change)
            ));
        }
    }
}
