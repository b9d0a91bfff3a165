//! Fake operators, who race on one version and resend a change whose answer they did not get.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use control::machine::{Answer, Command, ConfigChange, PlannedChange};
use rand::RngExt as _;

use crate::{
    database,
    network::{MEMBER, Node, OPERATOR, ZONES},
    simulation::{GROUP, Mechanism, Message, Simulation},
};

/// Pause after which a change without an answer is sent again.
const RESEND: Duration = Duration::from_millis(300);
/// Part of the changes that order a change of primary, in percent.
const PLANS: u32 = 2;

/// An operator with the change that waits for an answer.
#[derive(Debug)]
pub(crate) struct Operator {
    drafted: u64,
    sent: u64,
    command: Option<Command>,
    next: Instant,
}

/// Id of a change.
pub(crate) fn id(command: &Command) -> &str {
    match command {
        Command::Configure(change) => &change.change,
        Command::Plan { planned, .. } => &planned.change,
        Command::Membership(order) => &order.change,
        Command::Record { .. } | Command::Supersede(_) | Command::Seat { .. } => "",
    }
}

impl Operator {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            drafted: 0,
            sent: 0,
            command: None,
            next: now,
        }
    }
}

impl Simulation {
    /// Drafts the next change, or sends one again that has no answer.
    pub(crate) fn run_operator(&mut self, node: Node) {
        let now = self.network.now;
        let i = node - OPERATOR;
        if self.script.pause == 0 || now < self.operators[i].next {
            return;
        }
        // The operator reads what this host serves, which may be behind.
        let host = self.network.random.random_range(0..ZONES);
        let plan = self.network.random.random_ratio(PLANS, 100);
        let member = self.network.random.random_range(MEMBER..MEMBER + ZONES);
        let base = self.hosts[host].state.config.version;
        let operator = &mut self.operators[i];
        operator.sent += 1;
        let fresh = self.disabled == Some(Mechanism::Ids);
        if let Some(command) = operator.command.as_mut() {
            let sent = operator.sent;
            let resent = |id: &str| format!("{}#{sent}", crate::audit::original_change(id));
            match command {
                Command::Configure(change) if fresh => change.change = resent(&change.change),
                Command::Plan { planned, .. } if fresh => planned.change = resent(&planned.change),
                _ => {}
            }
        } else {
            operator.drafted += 1;
            let change = format!("operator-{i}-{}", operator.drafted);
            operator.command = Some(if plan {
                Command::Plan {
                    group: GROUP.into(),
                    planned: PlannedChange {
                        change,
                        member: Some(database::name(member)),
                    },
                }
            } else {
                Command::Configure(ConfigChange {
                    document: format!("# {change}"),
                    change,
                    base,
                    author: format!("operator-{i}"),
                    reason: String::new(),
                    time: 0,
                    confirmations: BTreeMap::new(),
                })
            });
        }
        operator.next = now + RESEND;
        if let Some(command) = operator.command.clone() {
            let proposal = Message::Propose(node, Box::new(command));
            self.network.send(node, host, proposal);
        }
    }

    /// Takes the answer to the change that waits.
    pub(crate) fn settle(&mut self, node: Node, change: &str, answer: &Answer) {
        let operator = &mut self.operators[node - OPERATOR];
        let waits = |command: &Command| crate::audit::original_change(id(command)) == change;
        if !operator.command.as_ref().is_some_and(waits) {
            return;
        }
        operator.command = None;
        operator.next = self.network.now + Duration::from_millis(self.script.pause);
        let done = matches!(answer, Answer::Done { .. });
        self.audit.check_told_outcome(change, done);
    }
}
