//! Rules that no interleaving may break.

use std::collections::{BTreeMap, BTreeSet};

use base::{Term, Version};
use control::machine::{Answer, Command, State};

use crate::{
    database::{self, Database},
    network::Node,
};

/// Shortest pause between acknowledgements that counts: writes are sent every 40 ms.
const PAUSE_MS: u32 = 200;

/// What happened so far, and what was wrong with it.
#[derive(Debug, Default)]
pub(crate) struct Audit {
    pub(crate) broken: BTreeSet<String>,
    pub(crate) acknowledged: BTreeSet<u64>,
    /// Acknowledged writes in the last part of the run.
    pub(crate) late: usize,
    /// Members that obeyed an order to be primary, by term.
    promoted: BTreeMap<Term, Node>,
    /// Record versions whose older leases all ended.
    pub(crate) ended: Version,
    pub(crate) applied: u64,
    configs: BTreeMap<Version, String>,
    /// How often each change of an operator took effect.
    effects: BTreeMap<String, u32>,
    /// Faults, records and promotions in their order, to read a run that broke a rule.
    pub(crate) events: Vec<String>,
    /// Milliseconds since the start.
    pub(crate) at: u32,
    /// Changes of primary after which no more entry processes reach the primary than before.
    pub(crate) needless: usize,
    /// When each entry process acknowledged last, in milliseconds.
    acks: BTreeMap<Node, u32>,
    /// Sum of the pauses between acknowledgements, over all entry processes, in milliseconds.
    pub(crate) blocked: u32,
    pub(crate) promotions: usize,
    pub(crate) changes: usize,
}

/// Change of an operator that a change id belongs to.
pub(crate) fn origin(change: &str) -> &str {
    change.split('#').next().unwrap_or(change)
}

impl Audit {
    pub(crate) fn note(&mut self, event: &str) {
        self.events.push(format!("{} ms: {event}", self.at));
    }

    pub(crate) fn broke(&mut self, rule: impl Into<String>) {
        self.broken.insert(rule.into());
    }

    /// A member obeyed an order to be primary of `term`.
    pub(crate) fn promote(&mut self, term: Term, member: &Database) {
        let name = database::name(member.node);
        let position = member.position();
        self.note(&format!("{name} is primary of {term} at {position}"));
        let first = *self.promoted.entry(term).or_insert(member.node);
        if first != member.node {
            self.broke(format!("two primaries in term {term}"));
        }
        self.promotions = self.promoted.len();
        self.survive(member);
    }

    /// An entry process acknowledged a write of `term`.
    pub(crate) fn acknowledge(&mut self, node: Node, id: u64, term: Term) {
        self.acknowledged.insert(id);
        self.pause(node);
        if self.promoted.range(term + 1..).next().is_some() {
            self.broke(format!("write of term {term} acknowledged in a later term"));
        }
    }

    /// Ends a pause of an entry process between two acknowledgements; short ones do not count.
    pub(crate) fn pause(&mut self, node: Node) {
        let last = self.acks.insert(node, self.at).unwrap_or_default();
        let pause = self.at - last;
        if pause > PAUSE_MS {
            self.blocked += pause;
        }
    }

    /// Every acknowledged write is in the log of the primary.
    pub(crate) fn survive(&mut self, member: &Database) {
        let held: BTreeSet<u64> = member.log.iter().map(|(_, id)| *id).collect();
        let missing = self.acknowledged.difference(&held).count();
        if missing > 0 {
            let name = database::name(member.node);
            self.broke(format!("{missing} acknowledged writes missing on {name}"));
        }
    }

    /// A host applied a command, with the state before and after it.
    pub(crate) fn apply(&mut self, command: &Command, before: Version, answer: &Answer, s: &State) {
        self.config(s.config.version, &s.config.digest);
        if s.applied <= self.applied {
            return;
        }
        self.applied = s.applied;
        if let (Command::Record { record, .. }, Answer::Done { .. }) = (command, answer) {
            let stores: Vec<_> = record.members.iter().map(|m| &m.store).collect();
            self.note(&format!(
                "record {:?} term {} next {} primary {} of {stores:?}",
                record.state, record.term, record.next, record.primary
            ));
        }
        let Answer::Done { version, .. } = answer else {
            return;
        };
        let change = match command {
            Command::Configure(change) if s.config.version > before => {
                if change.base != before {
                    self.broke(format!("change {} reverted another", change.change));
                }
                &change.change
            }
            Command::Plan { planned, .. } if *version == s.applied => &planned.change,
            _ => return,
        };
        self.changes += 1;
        let effects = self.effects.entry(origin(change).to_owned());
        let count = *effects.and_modify(|count| *count += 1).or_insert(1);
        if count > 1 {
            self.broke(format!("change {} applied {count} times", origin(change)));
        }
    }

    /// A version of the configuration is in effect somewhere.
    pub(crate) fn config(&mut self, version: Version, digest: &str) {
        let known = self.configs.entry(version);
        if known.or_insert_with(|| digest.to_owned()) != digest {
            self.broke(format!("two configurations of version {version}"));
        }
    }

    /// An operator was told the outcome of a change.
    pub(crate) fn tell(&mut self, change: &str, done: bool) {
        if !done && self.effects.contains_key(origin(change)) {
            self.broke(format!("change {} applied and refused", origin(change)));
        }
    }
}
