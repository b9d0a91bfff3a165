//! Fake operators that submit concurrent changes, and resend a change that was not answered.

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

/// Interval at which a change without an answer is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Share of the changes that request a change of primary, in percent.
const PRIMARY_CHANGE_PERCENT: u32 = 2;

/// An operator, with the change that has not been answered yet.
#[derive(Debug)]
pub(crate) struct Operator {
    changes_created: u64,
    requests_sent: u64,
    command: Option<Command>,
    next_action: Instant,
}

/// ID of the change, or an empty string for commands without one.
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
            changes_created: 0,
            requests_sent: 0,
            command: None,
            next_action: now,
        }
    }
}

impl Simulation {
    /// Sends the next change, or resends the one that has not been answered.
    pub(crate) fn run_operator(&mut self, node: Node) {
        let now = self.network.now;
        let i = node - OPERATOR;
        if self.script.pause == 0 || now < self.operators[i].next_action {
            return;
        }
        // The base version is read from this host, which may be behind the others.
        let host = self.network.random.random_range(0..ZONES);
        let change_primary = self
            .network
            .random
            .random_ratio(PRIMARY_CHANGE_PERCENT, 100);
        let member = self.network.random.random_range(MEMBER..MEMBER + ZONES);
        let base = self.hosts[host].state.config.version;
        let operator = &mut self.operators[i];
        operator.requests_sent += 1;
        let new_id = self.disabled == Some(Mechanism::Ids);
        if let Some(command) = operator.command.as_mut() {
            let request = operator.requests_sent;
            let renew = |id: &str| format!("{}#{request}", crate::audit::original_change(id));
            match command {
                Command::Configure(change) if new_id => change.change = renew(&change.change),
                Command::Plan { planned, .. } if new_id => planned.change = renew(&planned.change),
                _ => {}
            }
        } else {
            operator.changes_created += 1;
            let change = format!("operator-{i}-{}", operator.changes_created);
            operator.command = Some(if change_primary {
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
        operator.next_action = now + RESEND_INTERVAL;
        if let Some(command) = operator.command.clone() {
            let message = Message::Propose(node, Box::new(command));
            self.network.send(node, host, message);
        }
    }

    /// Handles an answer; an answer to any other than the current change is ignored.
    pub(crate) fn handle_answer(&mut self, node: Node, change: &str, answer: &Answer) {
        let operator = &mut self.operators[node - OPERATOR];
        let is_answered = |command: &Command| crate::audit::original_change(id(command)) == change;
        if !operator.command.as_ref().is_some_and(is_answered) {
            return;
        }
        operator.command = None;
        operator.next_action = self.network.now + Duration::from_millis(self.script.pause);
        let done = matches!(answer, Answer::Done { .. });
        self.audit.check_told_outcome(change, done);
    }
}
