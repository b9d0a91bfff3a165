//! Handlers of the RPCs of peers.

use std::rc::Rc;

use slog::info;

use crate::{
    codec::Snapshot,
    environment::Environment,
    hard::IdentityStatus,
    log::Log,
    message::{
        AppendReply, AppendRequest, Identity, SnapshotReply, SnapshotRequest, VoteReply,
        VoteRequest,
    },
    node::{Mechanism, Node, StateMachine},
    state::{EncodedSnapshot, IncomingSnapshot, MAX_TERM, Role, State},
};

/// Largest snapshot accepted; the state machine holds configuration, not data.
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Handles `Peer.vote`.
    pub async fn on_vote(&self, request: VoteRequest) -> VoteReply {
        let status = self.check_sender(&request.from).await;
        let granted = status.is_accepted() && request.term > 0 && self.grant_vote(&request);
        self.state_changed.notify();
        self.hard_state_saved().await;
        let state = self.state.borrow();
        VoteReply {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            granted: granted && (request.pre_vote || state.hard.term == request.term),
            stale: status == IdentityStatus::Stale,
        }
    }

    /// Decides on a vote or pre-vote and records a granted vote.
    ///
    /// A learner votes as well. The candidate counts only hosts whose readmission it has applied, and this
    /// one may not know of its own.
    fn grant_vote(&self, request: &VoteRequest) -> bool {
        let now = self.environment.now();
        let mut state = self.state.borrow_mut();
        let up_to_date = (request.last_term, request.last_index)
            >= (state.log.last_term(), state.log.last_index())
            || self.is_disabled(Mechanism::ElectionRestriction);
        if request.pre_vote {
            let has_leader = state.role == Role::Leader
                || state.last_leader_contact.is_some_and(|contact| {
                    now.duration_since(contact) < self.tuning.election_timeout.0
                });
            return up_to_date && !has_leader && request.term > state.hard.term;
        }
        state.advance_term(request.term);
        let may_vote = state
            .hard
            .vote
            .as_ref()
            .is_none_or(|vote| *vote == request.from.host);
        let granted = up_to_date && may_vote && request.term == state.hard.term;
        if granted {
            if state.hard.vote.is_none() {
                state.hard.vote = Some(request.from.host.clone());
                state.mark_hard_state_changed();
            }
            self.reset_election_deadline(&mut state);
        }
        granted
    }

    /// Follows the leader of `term`, which sent a message. Returns false when the term is
    /// outdated or out of range.
    fn accept_leader(&self, from: &Identity, term: u64) -> bool {
        let leader_changed = {
            let mut state = self.state.borrow_mut();
            if term < state.hard.term || term > MAX_TERM {
                return false;
            }
            state.advance_term(term);
            let leader_changed = state.leader.as_ref() != Some(&from.host);
            if state.role != Role::Follower {
                state.step_down();
            }
            state.leader = Some(from.host.clone());
            state.last_leader_contact = Some(self.environment.now());
            self.reset_election_deadline(&mut state);
            leader_changed
        };
        self.state_changed.notify();
        if leader_changed {
            self.progress_changed.notify();
        }
        true
    }

    /// Handles `Peer.append`.
    pub async fn on_append(&self, request: AppendRequest) -> AppendReply {
        let status = self.check_sender(&request.from).await;
        let mut success = false;
        let mut matched = 0;
        if status.is_accepted() && self.accept_leader(&request.from, request.term) {
            {
                let mut state = self.state.borrow_mut();
                state.leader_commit = state.leader_commit.max(request.commit);
            };
            match self.append_entries(&request) {
                Ok(last) => {
                    success = true;
                    matched = last;
                    self.state_changed.notify();
                    if !self.is_disabled(Mechanism::Sync) {
                        self.wait_until(|state| {
                            (state.durable_index >= last || state.hard.term != request.term)
                                .then_some(())
                        })
                        .await;
                    }
                    if self.state.borrow().hard.term == request.term {
                        self.advance_commit(request.commit.min(last));
                        self.record_caught_up(&request);
                    }
                }
                Err(hint) => matched = hint,
            }
        }
        self.hard_state_saved().await;
        let state = self.state.borrow();
        AppendReply {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            success: success && state.hard.term == request.term,
            matched,
            stale: status == IdentityStatus::Stale,
            learner: !state.is_voter(),
        }
    }

    /// Records that everything committed before the start of this host is applied. The leader sent
    /// the request after that start, and its commit index covers all earlier terms once an entry of
    /// its own term is committed.
    fn record_caught_up(&self, request: &AppendRequest) {
        let mut state = self.state.borrow_mut();
        let covers_earlier_terms = state.log.term(request.commit) == Some(request.term);
        if covers_earlier_terms && state.applied >= request.commit && state.caught_up_at.is_none() {
            state.caught_up_at = Some(request.commit);
            drop(state);
            self.progress_changed.notify();
        }
    }

    /// Appends the entries to the log in memory. Returns the last index that matches the leader's
    /// log, or as the error a hint at which index the logs may match.
    fn append_entries(&self, request: &AppendRequest) -> Result<u64, u64> {
        let mut state = self.state.borrow_mut();
        let prev = request.prev_index;
        // Entries that are committed here are in the log of every later leader.
        if prev > state.commit && state.log.term(prev) != Some(request.prev_term) {
            return Err(conflict_hint(&state, prev));
        }
        let mut expected = prev;
        for entry in &request.entries {
            expected += 1;
            if entry.index != expected {
                return Err(state.commit.min(prev));
            }
            if entry.index <= state.commit || state.log.term(entry.index) == Some(entry.term) {
                let differs = state
                    .log
                    .term(entry.index)
                    .is_some_and(|term| term != entry.term);
                if differs {
                    drop(state);
                    self.fail(
                        "the leader's log differs from entries that were committed here".into(),
                    );
                    return Err(0);
                }
                continue;
            }
            if entry.index <= state.log.last_index() {
                state.truncate(entry.index - 1);
            }
            state.append(entry.clone());
        }
        Ok(expected)
    }

    /// Handles `Peer.snapshot`.
    pub async fn on_snapshot(&self, request: SnapshotRequest) -> SnapshotReply {
        let status = self.check_sender(&request.from).await;
        let mut next = 0;
        if status.is_accepted() && self.accept_leader(&request.from, request.term) {
            next = self.accept_chunk(&request);
            if request.done || next == u64::MAX {
                self.snapshot_saved(request.last_index).await;
            }
        }
        self.hard_state_saved().await;
        let state = self.state.borrow();
        SnapshotReply {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            next,
        }
    }

    /// Waits until the last snapshot is on disk, and with it what this host holds up to `index`: the
    /// leader counts it. A former leader may know entries to be committed before it has them on disk.
    async fn snapshot_saved(&self, index: u64) {
        let held = index.min(self.state.borrow().commit);
        self.wait_until(|state| {
            let is_saved =
                state.durable_snapshot_index >= state.snapshot.index && !state.rewrite_log;
            (is_saved && state.durable_index >= state.snapshot.index.max(held)).then_some(())
        })
        .await;
    }

    /// Stores a chunk, installs the snapshot after the last one, and returns the next offset
    /// wanted. `u64::MAX` means that the snapshot is not needed.
    fn accept_chunk(&self, request: &SnapshotRequest) -> u64 {
        let end = request.offset.saturating_add(request.chunk.len() as u64);
        let snapshot = {
            let mut state = self.state.borrow_mut();
            if request.last_index <= state.commit {
                return u64::MAX;
            }
            let requested = (request.last_index, request.last_term);
            let same_snapshot = state
                .incoming_snapshot
                .as_ref()
                .is_some_and(|incoming| (incoming.index, incoming.term) == requested);
            if !same_snapshot || request.offset == 0 {
                state.incoming_snapshot = Some(IncomingSnapshot {
                    index: request.last_index,
                    term: request.last_term,
                    bytes: Vec::new(),
                });
            }
            let Some(incoming) = &mut state.incoming_snapshot else {
                return 0;
            };
            let received = incoming.bytes.len() as u64;
            if received != request.offset || end > MAX_SNAPSHOT_BYTES as u64 {
                return received;
            }
            incoming.bytes.extend(&request.chunk);
            if !request.done {
                return end;
            }
            let bytes = std::mem::take(&mut incoming.bytes);
            state.incoming_snapshot = None;
            bytes
        };
        match Snapshot::decode(&snapshot) {
            Ok(decoded)
                if (decoded.index, decoded.term) == (request.last_index, request.last_term) =>
            {
                self.install_snapshot(&decoded, snapshot.into());
                end
            }
            _ => 0,
        }
    }

    /// Replaces the state machine and the log up to the index of the snapshot.
    fn install_snapshot(&self, snapshot: &Snapshot, bytes: Rc<[u8]>) {
        info!(self.options.logger, "installing a snapshot"; "index" => snapshot.index);
        self.machine.borrow_mut().restore(&snapshot.machine);
        let replaced = {
            let mut state = self.state.borrow_mut();
            if state.log.term(snapshot.index) == Some(snapshot.term) {
                state.log.compact(snapshot.index);
            } else {
                state.log = Log::new((snapshot.index, snapshot.term));
                state.durable_index = 0;
                state.truncated_to = 0;
            }
            state.pending_readmissions =
                state.pending_readmissions.split_off(&(snapshot.index + 1));
            let last = state.log.last_index();
            state.pending_readmissions.retain(|index, _| *index <= last);
            state.commit = snapshot.index;
            state.applied = snapshot.index;
            state.bytes_since_snapshot = 0;
            state.snapshot = EncodedSnapshot {
                index: snapshot.index,
                term: snapshot.term,
                bytes,
            };
            // It is unknown whether the snapshot contains these proposals, so they get no answer.
            state.pending_proposals = state.pending_proposals.split_off(&(snapshot.index + 1));
            let identity = state.hard.identity.clone();
            let was_member = state.members.get(&identity.host) == Some(&identity.incarnation);
            for (name, incarnation) in &snapshot.members {
                if let Some(known) = state.members.get_mut(name) {
                    *known = *incarnation;
                }
            }
            let is_member = state.members.get(&identity.host) == Some(&identity.incarnation);
            (was_member && !is_member).then_some(identity)
        };
        self.state_changed.notify();
        self.progress_changed.notify();
        if let Some(identity) = replaced {
            self.become_learner(&identity);
        }
    }
}

/// Last index at which the logs may match when they conflict at `prev`: skips the rest of the
/// conflicting term.
fn conflict_hint(state: &State, prev: u64) -> u64 {
    let Some(term) = state.log.term(prev) else {
        return state.log.last_index().min(prev);
    };
    let mut index = prev - 1;
    while index > state.commit && state.log.term(index) == Some(term) {
        index -= 1;
    }
    index
}
