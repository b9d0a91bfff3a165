//! Replication to one peer: sends it the log while leading, and introduces this host otherwise.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::HostName;
use slog::{info, warn};

use crate::{
    environment::{Environment, Network as _},
    log::Payload,
    message::{AppendReply, AppendRequest, Identity, SnapshotRequest, VoteRequest},
    node::{Mechanism, Node, StateMachine},
    state::{EncodedSnapshot, Role, State},
};

/// Interval at which a follower sends its identity to its leader again. The leader may have lost
/// its record of seen boots with its disk, or may have marked the follower's disk as outdated
/// since.
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout per byte of entries in addition to the call timeout. Corresponds to a quarter of the
/// bandwidth of the link between regions.
const TIMEOUT_PER_BYTE: Duration = Duration::from_micros(1);

/// Request to a peer. `Append` carries the heartbeat round, `Snapshot` the sender and its term.
enum PeerRequest {
    Append(AppendRequest, u64),
    Snapshot(EncodedSnapshot, Identity, u64),
    Introduce(VoteRequest),
}

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Sends requests to one peer, one at a time.
    pub(crate) async fn run_replication(self: Rc<Self>, peer: HostName) {
        let mut introduced: Option<(Identity, Instant)> = None;
        loop {
            self.hard_state_saved().await;
            let now = self.environment.now();
            let due =
                self.wait_until(|state| self.next_request(state, &peer, now, introduced.as_ref()));
            let proceed = match self.with_timeout(self.tuning.heartbeat_interval, due).await {
                None => true,
                Some(PeerRequest::Append(request, round)) => {
                    self.send_append(&peer, request, round).await
                }
                Some(PeerRequest::Snapshot(snapshot, from, term)) => {
                    self.send_snapshot(&peer, &snapshot, &from, term).await
                }
                Some(PeerRequest::Introduce(request)) => {
                    let identity = request.from.clone();
                    let replied = self.send_introduction(&peer, request).await;
                    introduced = replied.then_some((identity, now)).or(introduced);
                    replied
                }
            };
            if !proceed {
                // Avoids a busy loop while the peer refuses connections.
                self.environment
                    .sleep(self.tuning.heartbeat_interval / 3)
                    .await;
            }
        }
    }

    /// Sends heartbeats while a large entry or a snapshot is in flight to the peer, or while the
    /// peer's disk is slow, so that the peer does not start an election.
    pub(crate) async fn run_heartbeats(self: Rc<Self>, peer: HostName) {
        loop {
            self.environment.sleep(self.tuning.heartbeat_interval).await;
            self.hard_state_saved().await;
            let heartbeat = self.heartbeat(&mut self.state.borrow_mut(), &peer);
            if let Some((request, round)) = heartbeat {
                self.send_append(&peer, request, round).await;
            }
        }
    }

    /// Heartbeat to send if no request was sent for one and a half heartbeat intervals.
    fn heartbeat(&self, state: &mut State, peer: &str) -> Option<(AppendRequest, u64)> {
        let saved = state.is_hard_state_saved() || self.is_disabled(Mechanism::Sync);
        let progress = state.peers.get(peer)?;
        let sent = self.environment.now().duration_since(progress.last_sent?);
        if state.role != Role::Leader || !saved || sent < self.tuning.heartbeat_interval * 3 / 2 {
            return None;
        }
        // An entry that the peer is known to hold, or the start of the log.
        let known = state.log.term(progress.match_index);
        let (prev_index, prev_term) = known.map_or((0, 0), |term| (progress.match_index, term));
        let request = AppendRequest {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            prev_index,
            prev_term,
            commit: state.commit,
            entries: Vec::new(),
        };
        Some((request, state.heartbeat_round))
    }

    /// Next request to the peer, if one is due.
    fn next_request(
        &self,
        state: &mut State,
        peer: &HostName,
        now: Instant,
        introduced: Option<&(Identity, Instant)>,
    ) -> Option<PeerRequest> {
        if !state.is_hard_state_saved() && !self.is_disabled(Mechanism::Sync) {
            return None;
        }
        if state.role != Role::Leader {
            let is_known = introduced.is_some_and(|(identity, at)| {
                let leads = state.leader.as_ref() == Some(peer);
                *identity == state.hard.identity
                    && !(leads && now.duration_since(*at) >= INTRODUCTION_INTERVAL)
            });
            return (!is_known).then(|| {
                PeerRequest::Introduce(VoteRequest {
                    from: state.hard.identity.clone(),
                    term: 0,
                    last_index: 0,
                    last_term: 0,
                    pre_vote: true,
                })
            });
        }
        let (round, commit, term) = (state.heartbeat_round, state.commit, state.hard.term);
        let from = state.hard.identity.clone();
        let progress = state.peers.get(peer)?;
        // `now` may be up to one heartbeat interval old, so the clock is read again here.
        let due = progress.next_index <= state.log.last_index()
            || progress.sent_round < round
            || progress.sent_commit < commit
            || progress.last_sent.is_none_or(|sent| {
                self.environment.now().duration_since(sent) >= self.tuning.heartbeat_interval
            });
        if !due {
            return None;
        }
        let next_index = progress.next_index;
        let needs_snapshot = self.prepare_snapshot(state, next_index);
        let progress = state.peers.get_mut(peer)?;
        progress.last_sent = Some(self.environment.now());
        progress.sent_round = round;
        let prev_index = next_index - 1;
        let prev_term = state.log.term(prev_index).filter(|_| !needs_snapshot);
        let Some(prev_term) = prev_term else {
            return Some(PeerRequest::Snapshot(state.snapshot.clone(), from, term));
        };
        progress.sent_commit = commit;
        let request = AppendRequest {
            from,
            term,
            prev_index,
            prev_term,
            commit,
            entries: state.log.batch(next_index, self.tuning.max_batch_bytes),
        };
        Some(PeerRequest::Append(request, round))
    }

    /// Decides whether a peer that lacks the entries from `next_index` on is sent a snapshot, and takes a
    /// new one if a peer that has the last one would still lack many entries. So what a peer is sent does not grow with
    /// the number of entries that it lacks, nor with the pace of new ones.
    fn prepare_snapshot(&self, state: &mut State, next_index: u64) -> bool {
        let is_compacted = state.log.term(next_index - 1).is_none();
        // The size of the last snapshot estimates that of the next one.
        let limit = self.tuning.catch_up_bytes.max(state.snapshot.bytes.len());
        if !is_compacted && !state.log.exceeds(next_index, state.applied, limit) {
            return false;
        }
        if state.bytes_since_snapshot > self.tuning.max_batch_bytes {
            self.take_snapshot(state);
            self.state_changed.notify();
        }
        is_compacted || state.snapshot.index >= next_index
    }

    /// Sends this host's identity as a pre-vote with term 0. Returns whether the peer replied.
    async fn send_introduction(&self, peer: &HostName, request: VoteRequest) -> bool {
        let sent = request.from.clone();
        let reply = self
            .environment
            .network()
            .vote(peer, request, self.tuning.call_timeout)
            .await;
        let Ok(reply) = reply else { return false };
        if reply.stale {
            self.become_learner(&sent);
        }
        self.check_reply_sender(peer, &reply.from).await;
        true
    }

    /// Sends entries or a heartbeat. Returns false when the next request should be delayed.
    async fn send_append(&self, peer: &HostName, request: AppendRequest, round: u64) -> bool {
        let (sent, from, term) = (self.environment.now(), request.from.clone(), request.term);
        let size: usize = request
            .entries
            .iter()
            .map(|entry| entry.payload.len())
            .sum();
        let timeout =
            self.tuning.call_timeout + TIMEOUT_PER_BYTE * u32::try_from(size).unwrap_or(u32::MAX);
        let reply = self
            .environment
            .network()
            .append(peer, request, timeout)
            .await;
        let Ok(reply) = reply else {
            // The peer may not have received the commit index, so it is sent again.
            if let Some(progress) = self.state.borrow_mut().peers.get_mut(peer) {
                progress.sent_commit = 0;
            }
            return false;
        };
        if reply.stale {
            self.become_learner(&from);
            return true;
        }
        if !self.check_reply_sender(peer, &reply.from).await {
            return false;
        }
        let send_now = self.record_append_reply(peer, &reply, term, round, sent);
        self.state_changed.notify();
        self.maybe_commit();
        send_now
    }

    /// Records an append reply. Returns false when the next request should be delayed.
    fn record_append_reply(
        &self,
        peer: &HostName,
        reply: &AppendReply,
        term: u64,
        round: u64,
        sent: Instant,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        if reply.term > state.hard.term {
            state.advance_term(reply.term);
            return true;
        }
        if state.role != Role::Leader || state.hard.term != term || reply.term != term {
            return true;
        }
        let is_voter = state.members.get(peer) == Some(&reply.from.incarnation);
        let (first, commit, last) = (
            state.first_index_of_term,
            state.commit,
            state.log.last_index(),
        );
        let (log_bytes, snapshot_bytes) = (state.log.payload_bytes(), state.snapshot.bytes.len());
        let Some(progress) = state.peers.get_mut(peer) else {
            return true;
        };
        let former = progress.identity.replace(reply.from.clone());
        if former.is_some_and(|former| former.incarnation != reply.from.incarnation) {
            // The entries on the former disk are lost.
            progress.match_index = 0;
            progress.catch_up_index = None;
        }
        if reply.success {
            progress.match_index = progress.match_index.max(reply.matched.min(last));
            // A heartbeat may match at an index below `next_index`; its reply must not move that
            // back.
            progress.next_index = progress.next_index.max(progress.match_index + 1);
        } else if reply.matched < progress.match_index && !self.is_disabled(Mechanism::BootCheck) {
            // A host never loses entries that it acknowledged in this term, so its disk was
            // replaced by an older one between two boots that no peer could tell apart.
            warn!(self.options.logger, "host lost acknowledged entries; it must be readmitted"; "host" => peer);
            state.hard.mark_incarnation_stale(&reply.from);
            state.mark_hard_state_changed();
            return false;
        } else {
            progress.next_index = (reply.matched.min(last) + 1)
                .min(progress.next_index.saturating_sub(1))
                .max(1);
        }
        progress.last_contact = progress.last_contact.max(Some(sent));
        progress.acked_round = progress.acked_round.max(round);
        if !reply.learner || is_voter {
            return true;
        }
        // The commit index covers all earlier terms only once an entry of this term is committed.
        if progress.catch_up_index.is_none() && commit >= first {
            progress.catch_up_index = Some(commit);
            progress.learner_since = Some(sent);
            info!(self.options.logger, "host is a learner"; "host" => peer,
                "incarnation" => reply.from.incarnation, "matched" => progress.match_index,
                "wanted" => commit, "log_bytes" => log_bytes, "snapshot_bytes" => snapshot_bytes);
        }
        let caught_up = progress
            .catch_up_index
            .is_some_and(|index| progress.match_index >= index);
        let took = progress
            .learner_since
            .map(|since| sent.saturating_duration_since(since));
        let matched = progress.match_index;
        let incarnation = reply.from.incarnation;
        let already_proposed = state
            .pending_readmissions
            .values()
            .any(|(name, other)| name == peer && *other == incarnation);
        if (caught_up || self.is_disabled(Mechanism::CatchUp))
            && !already_proposed
            && !state.transfer.in_progress
        {
            info!(self.options.logger, "readmitting host"; "host" => peer, "incarnation" => incarnation,
                "matched" => matched, "catch_up_ms" => took.map(|took| took.as_millis()));
            state.append_as_leader(&Payload::Readmit(peer.clone(), incarnation));
        }
        true
    }

    /// Sends a snapshot in chunks; each reply has the offset of the next one. Returns false when
    /// the next request should be delayed.
    async fn send_snapshot(
        &self,
        peer: &HostName,
        snapshot: &EncodedSnapshot,
        from: &Identity,
        term: u64,
    ) -> bool {
        let size = snapshot.bytes.len();
        let mut offset = 0;
        let mut restarts = 0;
        while offset < size {
            let end = (offset + self.tuning.snapshot_chunk_bytes).min(size);
            let request = SnapshotRequest {
                from: from.clone(),
                term,
                last_index: snapshot.index,
                last_term: snapshot.term,
                offset: offset as u64,
                chunk: snapshot.bytes[offset..end].to_vec(),
                done: end == size,
            };
            let sent = self.environment.now();
            let reply = self
                .environment
                .network()
                .snapshot(peer, request, self.tuning.snapshot_chunk_timeout)
                .await;
            let Ok(reply) = reply else { return false };
            if !self.check_reply_sender(peer, &reply.from).await {
                return false;
            }
            let mut state = self.state.borrow_mut();
            if reply.term > state.hard.term {
                state.advance_term(reply.term);
                drop(state);
                self.state_changed.notify();
                return true;
            }
            if state.role != Role::Leader || state.hard.term != term {
                return true;
            }
            let Some(progress) = state.peers.get_mut(peer) else {
                return true;
            };
            progress.last_contact = progress.last_contact.max(Some(sent));
            let next = usize::try_from(reply.next).unwrap_or(size).min(size);
            if next == size && progress.identity.as_ref() == Some(&reply.from) {
                // The peer replies once it has the snapshot on disk. Without this, a peer that gets
                // one snapshot after the other would never be known to hold anything.
                progress.match_index = progress.match_index.max(snapshot.index);
            }
            if next <= offset {
                // The peer restarted during the transfer, or found the snapshot damaged.
                restarts += 1;
                if restarts > 3 {
                    return false;
                }
            }
            offset = next;
        }
        let mut state = self.state.borrow_mut();
        if let Some(progress) = state.peers.get_mut(peer) {
            progress.next_index = snapshot.index + 1;
        }
        true
    }
}
