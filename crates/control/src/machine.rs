//! Replicated state machine: the configuration with its history, and the group records.
//!
//! Applying a command is deterministic: everything that differs between hosts, such as the time, is
//! part of the command.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{
    GroupName, HostName, MemberName, RegionName, StoreId, Term, Version, ZoneName, document,
};
use serde::{Deserialize, Serialize};

/// Number of change ids whose answers are kept, so that a resent change gets its first answer.
const MAX_CHANGES: usize = 1_000;
/// Number of history entries that are kept; bounds the snapshot and memory.
const MAX_HISTORY: usize = 10_000;

/// A database in a group record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_field_names,
    reason = "the names are those of the messages"
)]
pub struct Member {
    /// Name of the member.
    pub member: MemberName,
    /// Id of its data directory.
    pub store: StoreId,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone that the member runs in.
    pub zone: ZoneName,
    /// Region that the member runs in.
    pub region: RegionName,
}

/// State of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum GroupState {
    /// `primary` serves in `term`.
    Stable,
    /// `term` is being ended; no write may be acknowledged in it.
    Fencing,
    /// `primary` is being promoted to lead the term `next`.
    Promoting,
}

/// Order to change the primary, from an operator or for a primary that is about to stop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedChange {
    /// Change id of the order.
    pub change: String,
    /// Requested member; any replica if absent.
    pub member: Option<MemberName>,
}

/// Operator's order to remove a database from a group, or to allow a removed one again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipChange {
    /// Group that the database belongs to.
    pub group: GroupName,
    /// Database to remove or to allow again.
    pub member: MemberName,
    /// Change id of the order.
    pub change: String,
    /// Whether to remove the database; otherwise a removed one may be added again.
    pub remove: bool,
    /// Confirmations of a write that the configuration of version `config` requires.
    pub confirmations: u32,
    /// Version of that configuration.
    pub config: Version,
}

/// Record of a group.
///
/// A stable `state` with `next` set announces a planned change: entry processes hold new writes and
/// let running transactions finish.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the group.
    pub group: GroupName,
    /// Current term, or the term that is being ended while the state is not stable.
    pub term: Term,
    /// State of the current term.
    pub state: GroupState,
    /// Next term during a change of primary, else 0.
    pub next: Term,
    /// Primary, or the member that is being promoted.
    pub primary: MemberName,
    /// Databases of the group.
    pub members: Vec<Member>,
    /// Fewest confirmations with which any write of this group may have been acknowledged.
    pub confirmations: u32,
    /// Planned change in progress.
    pub planned: Option<PlannedChange>,
    /// Databases that an operator removed. They are not added again until an operator allows it.
    #[serde(default)]
    pub removed: BTreeSet<MemberName>,
    /// Number of removed databases, and of replaced stores, that may have held the only second copy of
    /// an acknowledged write. `coverage::clear_uncovered` sets it back.
    #[serde(default)]
    pub uncovered: u32,
    /// Members for which a request to an authority may still be carried out, although they were given
    /// up or have been promoted already; see [`crate::calls`].
    #[serde(default)]
    pub abandoned: BTreeSet<MemberName>,
    /// Members that announced their stop. The primary counts them until they end, which their silence
    /// does not show.
    #[serde(default)]
    pub stopping: BTreeSet<MemberName>,
    /// Offset that the primary held when it was chosen; `None` if unknown. Writes of earlier terms beyond
    /// it were given up.
    #[serde(default)]
    pub base: Option<u64>,
    /// Primary of the term that ended, once another member was chosen; see
    /// [`Record::former_primary`].
    #[serde(default)]
    pub former: Option<MemberName>,
    /// Log index of the last change.
    pub version: Version,
}

impl Record {
    /// Finds a member by name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.member == name)
    }

    /// Primary in `term`. It differs from `primary` while a chosen member is promoted, and after that
    /// was given up.
    #[must_use]
    pub fn former_primary(&self) -> &str {
        self.former.as_deref().unwrap_or(&self.primary)
    }

    /// Number of members to read before a promotion, so that one of them holds every acknowledged
    /// write; at least one.
    ///
    /// A removed member may have confirmed writes that another member lacks. It therefore counts
    /// until the others are known to hold those writes.
    #[must_use]
    pub fn read_quorum(&self) -> usize {
        let confirmations = usize::try_from(self.confirmations).unwrap_or(usize::MAX);
        let uncovered = usize::try_from(self.uncovered).unwrap_or(usize::MAX);
        self.members
            .len()
            .saturating_add(uncovered)
            .saturating_add(1)
            .saturating_sub(confirmations)
            .max(1)
    }
}

/// A proposed change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Id chosen by the operator's program. A resent change has the same id.
    pub change: String,
    /// Version that the change is based on.
    pub base: Version,
    /// Text of the proposed document.
    pub document: String,
    /// Operator who proposed the change.
    pub author: String,
    /// Reason given by the operator.
    pub reason: String,
    /// Seconds since the epoch on the host that took the change.
    pub time: u64,
    /// Confirmations of each group in the document.
    pub confirmations: BTreeMap<GroupName, u32>,
}

/// A configuration whose version was chosen by its operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version chosen by the operator.
    pub version: Version,
    /// Text of the document.
    pub document: String,
    /// Text in the operator's own format, returned when the operator reads the configuration.
    pub origin: String,
    /// Operator who submitted the configuration.
    pub author: String,
    /// Seconds since the epoch on the host that took the change.
    pub time: u64,
    /// Confirmations of each group in the document.
    pub confirmations: BTreeMap<GroupName, u32>,
}

/// A command in the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "lowercase")]
pub enum Command {
    /// Change of the configuration.
    Configure(ConfigChange),
    /// Change of a group record, if its version still is `base` (0: no record exists).
    Record {
        /// Version that the change is based on.
        base: Version,
        /// New record. Its version is set when the command is applied.
        record: Record,
    },
    /// Order of a planned change of primary.
    Plan {
        /// Group whose primary is to change.
        group: GroupName,
        /// Change id and target of the order.
        planned: PlannedChange,
    },
    /// Order to remove a database from a group, or to allow it again.
    Membership(MembershipChange),
    /// Configuration whose version was chosen by its operator. The highest version is in force.
    Supersede(VersionedConfig),
    /// Assigns a seat, a named place among the control hosts, to the host at an address.
    Seat {
        /// Name of the seat.
        name: HostName,
        /// RPC address of the host, `ip:port`.
        address: String,
        /// Address that the choice was based on. The seat is given only if it still has this one, or
        /// has the new one already.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        base: Option<String>,
    },
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Panics
    /// Never: every command can be written as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("commands hold only string keys")
    }
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "lowercase")]
pub enum Answer {
    /// The command was applied.
    Done {
        /// Configuration version, or record version.
        version: Version,
        /// Digest of the document, else empty.
        digest: String,
    },
    /// The version that the command is based on is no longer in force.
    Conflict {
        /// Version in force.
        version: Version,
    },
    /// The command is not possible in this state.
    Refused {
        /// Invalid argument; empty if the command is not possible at the moment.
        field: String,
        /// Reason for the refusal.
        cause: String,
    },
}

impl Answer {
    /// Decodes an answer from the log.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Self {
        serde_json::from_slice(bytes).unwrap_or_else(|cause| Self::Refused {
            field: String::new(),
            cause: format!("the answer of the log can't be read: {cause}"),
        })
    }

    fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("answers hold only string keys")
    }
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    /// Version; 0 when none was ever set.
    pub version: Version,
    /// Digest of the document.
    pub digest: String,
    /// Text of the document.
    pub document: String,
    /// Operator who set the configuration.
    pub author: String,
    /// Reason given by the operator.
    pub reason: String,
    /// Time of the change, in seconds since the epoch.
    pub time: u64,
    /// Text in the operator's own format, if the operator has one; else empty.
    #[serde(default)]
    pub origin: String,
}

/// An accepted change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that it created.
    pub version: Version,
    /// Change id.
    pub change: String,
    /// Operator who made the change.
    pub author: String,
    /// Reason given by the operator.
    pub reason: String,
    /// Time of the change, in seconds since the epoch.
    pub time: u64,
    /// Digest of the document.
    pub digest: String,
}

/// State that results from applying the replicated log, equal on all control hosts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct State {
    /// Configuration in force.
    pub config: Config,
    /// Accepted changes, oldest first.
    pub history: VecDeque<HistoryEntry>,
    /// Latest change ids with their answers, oldest first.
    pub changes: VecDeque<(String, Answer)>,
    /// Group records.
    pub records: BTreeMap<GroupName, Record>,
    /// Log index of the last change of any record.
    pub version: Version,
    /// Log index of the last record change that ended a term.
    pub fenced: Version,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// RPC addresses of the control hosts by seat. Seats that never changed may be missing.
    #[serde(default)]
    pub seats: BTreeMap<HostName, String>,
    /// Log index of the last change of a seat.
    #[serde(default)]
    pub seated: Version,
}

impl State {
    /// Applies a command and returns its answer.
    pub fn apply(&mut self, index: u64, command: Command) -> Answer {
        self.applied = index;
        match command {
            Command::Configure(change) => self.configure(change),
            Command::Record { base, record } => self.replace_record(index, base, record),
            Command::Plan { group, planned } => self.plan_change(index, &group, planned),
            Command::Membership(order) => self.change_membership(index, order),
            Command::Supersede(change) => self.supersede(change),
            Command::Seat {
                name,
                address,
                base,
            } => self.assign_seat(index, name, address, base.as_ref()),
        }
    }

    /// Records that changed after `version`.
    pub fn records_since(&self, version: Version) -> impl Iterator<Item = &Record> {
        // Most watches already have the newest version.
        let records = (version < self.version).then(|| self.records.values());
        records
            .into_iter()
            .flatten()
            .filter(move |record| record.version > version)
    }

    fn previous_answer(&self, change: &str) -> Option<Answer> {
        let (_, answer) = self.changes.iter().rev().find(|(id, _)| id == change)?;
        Some(answer.clone())
    }

    /// Keeps the answer to a change id for resent changes.
    fn remember_answer(&mut self, change: String, answer: &Answer) {
        self.changes.push_back((change, answer.clone()));
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Puts a configuration in force if its version is the highest so far. An older one is accepted
    /// too but changes nothing: its operator may have missed the answer, or a newer one came first.
    fn supersede(&mut self, change: VersionedConfig) -> Answer {
        if change.version > self.config.version {
            let digest = document::digest(&change.origin);
            self.lower_confirmations(change.confirmations);
            self.push_history(HistoryEntry {
                version: change.version,
                change: String::new(),
                author: change.author.clone(),
                reason: String::new(),
                time: change.time,
                digest: digest.clone(),
            });
            self.config = Config {
                version: change.version,
                digest,
                document: change.document,
                author: change.author,
                reason: String::new(),
                time: change.time,
                origin: change.origin,
            };
        }
        Answer::Done {
            version: self.config.version,
            digest: self.config.digest.clone(),
        }
    }

    /// Assigns a seat to an address. Like the end of a term, a change of the address ends older
    /// leases: the former host of the seat may go on granting leases, and must no longer count
    /// towards a majority.
    fn assign_seat(
        &mut self,
        index: u64,
        name: HostName,
        address: String,
        base: Option<&String>,
    ) -> Answer {
        let current = self.seats.get(&name);
        if current != Some(&address) {
            if current.is_some() && base.is_some() && current != base {
                return Answer::Conflict {
                    version: self.seated,
                };
            }
            self.seats.insert(name, address);
            self.seated = index;
            self.version = index;
            self.fenced = index;
        }
        Answer::Done {
            version: self.seated,
            digest: String::new(),
        }
    }

    /// Lowers the confirmations in the group records to those of a new configuration.
    fn lower_confirmations(&mut self, confirmations: BTreeMap<GroupName, u32>) {
        for (group, confirmations) in confirmations {
            if let Some(record) = self.records.get_mut(&group) {
                record.confirmations = record.confirmations.min(confirmations);
            }
        }
    }

    fn push_history(&mut self, event: HistoryEntry) {
        self.history.push_back(event);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn configure(&mut self, change: ConfigChange) -> Answer {
        if let Some(answer) = self.previous_answer(&change.change) {
            return answer;
        }
        if change.base != self.config.version {
            let answer = Answer::Conflict {
                version: self.config.version,
            };
            self.remember_answer(change.change, &answer);
            return answer;
        }
        let version = self.config.version + 1;
        let digest = document::digest(&change.document);
        self.lower_confirmations(change.confirmations);
        self.push_history(HistoryEntry {
            version,
            change: change.change.clone(),
            author: change.author.clone(),
            reason: change.reason.clone(),
            time: change.time,
            digest: digest.clone(),
        });
        self.config = Config {
            version,
            origin: String::new(),
            digest: digest.clone(),
            document: change.document,
            author: change.author,
            reason: change.reason,
            time: change.time,
        };
        let answer = Answer::Done { version, digest };
        self.remember_answer(change.change, &answer);
        answer
    }

    fn replace_record(&mut self, index: u64, base: Version, mut record: Record) -> Answer {
        let old = self.records.get(&record.group);
        let version = old.map_or(0, |old| old.version);
        if version != base {
            return Answer::Conflict { version };
        }
        if let Some(old) = old {
            // The configuration may have lowered the number after the proposer read the record.
            record.confirmations = record.confirmations.min(old.confirmations);
        }
        self.store_record(index, record)
    }

    fn plan_change(&mut self, index: u64, group: &str, planned: PlannedChange) -> Answer {
        if let Some(answer) = self.previous_answer(&planned.change) {
            return answer;
        }
        let Some(record) = self.records.get(group) else {
            return Answer::Refused {
                field: "group".into(),
                cause: format!("group {group} has no record yet"),
            };
        };
        if record.state != GroupState::Stable || record.next != 0 {
            return Answer::Refused {
                field: String::new(),
                cause: format!("group {group} is changing its primary"),
            };
        }
        if let Some(name) = &planned.member {
            if record.member(name).is_none() {
                return Answer::Refused {
                    field: "member".into(),
                    cause: format!("{name} is no member of group {group}"),
                };
            }
            if *name == record.primary {
                let answer = Answer::Done {
                    version: record.version,
                    digest: String::new(),
                };
                self.remember_answer(planned.change, &answer);
                return answer;
            }
        }
        let mut record = record.clone();
        let change = planned.change.clone();
        record.next = record.term + 1;
        record.planned = Some(planned);
        let answer = self.store_record(index, record);
        self.remember_answer(change, &answer);
        answer
    }

    fn change_membership(&mut self, index: u64, order: MembershipChange) -> Answer {
        if let Some(answer) = self.previous_answer(&order.change) {
            return answer;
        }
        let changed = match self.changed_membership(&order) {
            Ok(changed) => changed,
            Err((field, cause)) => {
                return Answer::Refused {
                    field: field.into(),
                    cause,
                };
            }
        };
        let answer = match changed {
            Ok(record) => self.store_record(index, record),
            Err(version) => Answer::Done {
                version,
                digest: String::new(),
            },
        };
        self.remember_answer(order.change, &answer);
        answer
    }

    /// Record after a membership order, or the record's version if nothing changes. The error holds
    /// the invalid argument and the cause.
    fn changed_membership(
        &self,
        order: &MembershipChange,
    ) -> Result<Result<Record, Version>, (&'static str, String)> {
        let (group, member) = (&order.group, &order.member);
        let Some(record) = self.records.get(group) else {
            return Err(("group", format!("group {group} has no record yet")));
        };
        let mut changed = record.clone();
        if !order.remove {
            return Ok(if changed.removed.remove(member) {
                Ok(changed)
            } else {
                Err(record.version)
            });
        }
        if record.removed.contains(member) {
            return Ok(Err(record.version));
        }
        if record.state != GroupState::Stable || record.next != 0 {
            return Err(("", format!("group {group} is changing its primary")));
        }
        if record.member(member).is_none() {
            return Err(("member", format!("{member} is no member of group {group}")));
        }
        if record.primary == *member {
            let cause = format!("{member} is the primary of group {group}; change it first");
            return Err(("member", cause));
        }
        if order.config != self.config.version {
            let cause = "the configuration was changed at the same time; send the order again";
            return Err(("", cause.to_owned()));
        }
        let needed = usize::try_from(order.confirmations.max(record.confirmations));
        let left = record.members.len() - 1;
        if needed.is_ok_and(|needed| left < needed) || needed.is_err() {
            let cause = format!(
                "{left} members of group {group} would be left, fewer than the {} confirmations \
                 of a write",
                order.confirmations.max(record.confirmations)
            );
            return Err(("member", cause));
        }
        changed.members.retain(|known| known.member != *member);
        changed.removed.insert(member.clone());
        changed.uncovered += 1;
        Ok(Ok(changed))
    }

    fn store_record(&mut self, index: u64, mut record: Record) -> Answer {
        record.version = index;
        self.version = index;
        if record.state != GroupState::Stable {
            self.fenced = index;
        }
        self.records.insert(record.group.clone(), record);
        Answer::Done {
            version: index,
            digest: String::new(),
        }
    }
}

impl State {
    /// Applies an encoded command and returns the encoded answer.
    pub fn execute(&mut self, index: u64, payload: &[u8]) -> Vec<u8> {
        match serde_json::from_slice(payload) {
            Ok(command) => self.apply(index, command),
            Err(cause) => {
                self.applied = index;
                Answer::Refused {
                    field: "command".into(),
                    cause: format!("the command can't be read: {cause}"),
                }
            }
        }
        .encode()
    }

    /// Encodes the state for [`State::restore`].
    ///
    /// # Panics
    /// Never: the state can always be written as JSON.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("the state holds only string keys")
    }

    /// Replaces the state with a snapshot.
    ///
    /// # Panics
    /// If the bytes are not a snapshot. The log has verified their checksum before.
    pub fn restore(&mut self, bytes: &[u8]) {
        *self = serde_json::from_slice(bytes)
            .expect("a snapshot that passed its checksum was written by this program");
    }
}
