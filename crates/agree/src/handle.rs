//! Answers to the calls of peers.

use std::rc::Rc;

use slog::info;

use crate::{
    codec::Snapshot,
    environment::Environment,
    hard::Verdict,
    log::Log,
    message::{
        AppendReply, AppendRequest, Identity, SnapshotReply, SnapshotRequest, VoteReply,
        VoteRequest,
    },
    node::{Mechanism, Node, StateMachine},
    state::{Image, Incoming, Role, State, TERM_MAX},
};

/// A snapshot that exceeds this is not accepted; the machine holds configuration, not data.
const SNAPSHOT_MAX: usize = 1 << 30;

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Handles `Peer.vote`.
    pub async fn on_vote(&self, request: VoteRequest) -> VoteReply {
        let verdict = self.hear(&request.from).await;
        let granted = verdict.is_good() && request.term > 0 && self.decide_vote(&request);
        self.signal.notify();
        self.saved().await;
        let state = self.state.borrow();
        VoteReply {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            granted: granted && (request.pre_vote || state.hard.term == request.term),
            stale: verdict == Verdict::Stale,
        }
    }

    fn decide_vote(&self, request: &VoteRequest) -> bool {
        let now = self.environment.now();
        let mut state = self.state.borrow_mut();
        let learner = !state.is_voter() && !self.lacks(Mechanism::LearnerExclusion);
        let newer = (request.last_term, request.last_index)
            >= (state.log.last_term(), state.log.last())
            || self.lacks(Mechanism::ElectionRestriction);
        if request.pre_vote {
            let led = state.role == Role::Leader
                || state.heard.is_some_and(|heard| {
                    now.duration_since(heard) < self.tuning.election_timeout.0
                });
            return !learner && newer && !led && request.term > state.hard.term;
        }
        state.adopt(request.term);
        let free = state
            .hard
            .vote
            .as_ref()
            .is_none_or(|vote| *vote == request.from.host);
        let granted = !learner && newer && free && request.term == state.hard.term;
        if granted {
            if state.hard.vote.is_none() {
                state.hard.vote = Some(request.from.host.clone());
                state.touch();
            }
            self.postpone(&mut state);
        }
        granted
    }

    /// Notes a message of the leader of `term`. False when the term is over.
    fn follow(&self, from: &Identity, term: u64) -> bool {
        let news = {
            let mut state = self.state.borrow_mut();
            if term < state.hard.term || term > TERM_MAX {
                return false;
            }
            state.adopt(term);
            let news = state.leader.as_ref() != Some(&from.host);
            if state.role != Role::Follower {
                state.step_down();
            }
            state.leader = Some(from.host.clone());
            state.heard = Some(self.environment.now());
            self.postpone(&mut state);
            news
        };
        self.signal.notify();
        if news {
            self.news.notify();
        }
        true
    }

    /// Handles `Peer.append`.
    pub async fn on_append(&self, request: AppendRequest) -> AppendReply {
        let verdict = self.hear(&request.from).await;
        let mut success = false;
        let mut matched = 0;
        if verdict.is_good() && self.follow(&request.from, request.term) {
            match self.take_entries(&request) {
                Ok(last) => {
                    success = true;
                    matched = last;
                    self.signal.notify();
                    if !self.lacks(Mechanism::Sync) {
                        self.until(|state| {
                            (state.stored >= last || state.hard.term != request.term).then_some(())
                        })
                        .await;
                    }
                    if self.state.borrow().hard.term == request.term {
                        self.advance(request.commit.min(last));
                        self.note_current(&request);
                    }
                }
                Err(hint) => matched = hint,
            }
        }
        self.saved().await;
        let state = self.state.borrow();
        AppendReply {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            success: success && state.hard.term == request.term,
            matched,
            stale: verdict == Verdict::Stale,
            learner: !state.is_voter(),
        }
    }

    /// Notes that everything committed before the start is applied. The leader sent the request after
    /// the start, and knows all that was committed once an entry of its own term is.
    fn note_current(&self, request: &AppendRequest) {
        let mut state = self.state.borrow_mut();
        let known = state.log.term(request.commit) == Some(request.term);
        if known && state.applied >= request.commit {
            state.current.get_or_insert(request.commit);
        }
    }

    /// Takes the entries into the log in memory. Returns the last index that matches the leader's
    /// log, or a hint where the logs may agree.
    fn take_entries(&self, request: &AppendRequest) -> Result<u64, u64> {
        let mut state = self.state.borrow_mut();
        let prev = request.prev_index;
        // What is committed here is in the log of every later leader.
        if prev > state.commit && state.log.term(prev) != Some(request.prev_term) {
            return Err(conflict(&state, prev));
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
            if entry.index <= state.log.last() {
                state.truncate(entry.index - 1);
            }
            state.push(entry.clone());
        }
        Ok(expected)
    }

    /// Handles `Peer.snapshot`.
    pub async fn on_snapshot(&self, request: SnapshotRequest) -> SnapshotReply {
        let verdict = self.hear(&request.from).await;
        let mut next = 0;
        if verdict.is_good() && self.follow(&request.from, request.term) {
            next = self.take_chunk(&request);
            if request.done {
                self.until(|state| {
                    let idle = state.image_saved >= state.image.index && !state.rewrite;
                    (idle && state.stored >= state.image.index).then_some(())
                })
                .await;
            }
        }
        self.saved().await;
        let state = self.state.borrow();
        SnapshotReply {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            next,
        }
    }

    /// Takes a chunk and returns the offset wanted next.
    fn take_chunk(&self, request: &SnapshotRequest) -> u64 {
        let end = request.offset.saturating_add(request.chunk.len() as u64);
        let snapshot = {
            let mut state = self.state.borrow_mut();
            if request.last_index <= state.commit {
                return u64::MAX;
            }
            let wanted = (request.last_index, request.last_term);
            let same = state
                .incoming
                .as_ref()
                .is_some_and(|incoming| (incoming.index, incoming.term) == wanted);
            if !same || request.offset == 0 {
                state.incoming = Some(Incoming {
                    index: request.last_index,
                    term: request.last_term,
                    bytes: Vec::new(),
                });
            }
            let Some(incoming) = &mut state.incoming else {
                return 0;
            };
            let held = incoming.bytes.len() as u64;
            if held != request.offset || end > SNAPSHOT_MAX as u64 {
                return held;
            }
            incoming.bytes.extend(&request.chunk);
            if !request.done {
                return end;
            }
            let bytes = std::mem::take(&mut incoming.bytes);
            state.incoming = None;
            bytes
        };
        match Snapshot::decode(&snapshot) {
            Ok(found) if (found.index, found.term) == (request.last_index, request.last_term) => {
                self.install(&found, snapshot.into());
                end
            }
            _ => 0,
        }
    }

    fn install(&self, snapshot: &Snapshot, bytes: Rc<[u8]>) {
        info!(self.options.logger, "installing a snapshot"; "index" => snapshot.index);
        self.machine.borrow_mut().restore(&snapshot.machine);
        let replaced = {
            let mut state = self.state.borrow_mut();
            if state.log.term(snapshot.index) == Some(snapshot.term) {
                state.log.compact(snapshot.index);
            } else {
                state.log = Log::new((snapshot.index, snapshot.term));
                state.stored = 0;
                state.floor = 0;
            }
            state.readmits = state.readmits.split_off(&(snapshot.index + 1));
            let last = state.log.last();
            state.readmits.retain(|index, _| *index <= last);
            state.commit = snapshot.index;
            state.applied = snapshot.index;
            state.since = 0;
            state.image = Image {
                index: snapshot.index,
                term: snapshot.term,
                bytes,
            };
            // Whether these proposals are part of the snapshot is not known.
            state.waiting = state.waiting.split_off(&(snapshot.index + 1));
            let identity = state.hard.identity.clone();
            let former = state.members.get(&identity.host) == Some(&identity.incarnation);
            for (name, incarnation) in &snapshot.members {
                if let Some(known) = state.members.get_mut(name) {
                    *known = *incarnation;
                }
            }
            let still = state.members.get(&identity.host) == Some(&identity.incarnation);
            (former && !still).then_some(identity)
        };
        self.signal.notify();
        self.news.notify();
        if let Some(identity) = replaced {
            self.demote(&identity);
        }
    }
}

/// The last index that may agree when the entry `prev` does not.
fn conflict(state: &State, prev: u64) -> u64 {
    let Some(term) = state.log.term(prev) else {
        return state.log.last().min(prev);
    };
    let mut index = prev - 1;
    while index > state.commit && state.log.term(index) == Some(term) {
        index -= 1;
    }
    index
}
