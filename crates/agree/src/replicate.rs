//! The task for one peer: sends it the log while leading, and introduces this host otherwise.

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
    state::{Image, Role, State},
};

/// Interval at which a follower introduces its boot to its leader, which may have lost its disk or
/// have noticed that the follower did.
const INTRODUCE: Duration = Duration::from_secs(1);

/// Time allowed per byte of entries on top of the call deadline: a quarter of the bandwidth of the
/// link between regions.
const PER_BYTE: Duration = Duration::from_micros(1);

enum Plan {
    Append(AppendRequest, u64),
    Snapshot(Image, Identity, u64),
    Introduce(VoteRequest),
}

impl<M: StateMachine, E: Environment> Node<M, E> {
    pub(crate) async fn replicate(self: Rc<Self>, peer: HostName) {
        let mut introduced: Option<(Identity, Instant)> = None;
        loop {
            self.saved().await;
            let now = self.environment.now();
            let due = self.until(|state| self.plan(state, &peer, now, introduced.as_ref()));
            let done = match self.within(self.tuning.heartbeat_interval, due).await {
                None => true,
                Some(Plan::Append(request, round)) => self.send_append(&peer, request, round).await,
                Some(Plan::Snapshot(image, from, term)) => {
                    self.send_snapshot(&peer, &image, &from, term).await
                }
                Some(Plan::Introduce(request)) => {
                    let identity = request.from.clone();
                    let done = self.introduce(&peer, request).await;
                    introduced = done.then_some((identity, now)).or(introduced);
                    done
                }
            };
            if !done {
                // Avoids a busy loop while the peer refuses connections.
                self.environment
                    .sleep(self.tuning.heartbeat_interval / 3)
                    .await;
            }
        }
    }

    /// Sends heartbeats while a large entry or a snapshot is on its way to the peer, or while the
    /// peer's disk is slow: a host must not take that for the loss of its leader.
    pub(crate) async fn beat(self: Rc<Self>, peer: HostName) {
        loop {
            self.environment.sleep(self.tuning.heartbeat_interval).await;
            self.saved().await;
            let beat = self.heartbeat(&mut self.state.borrow_mut(), &peer);
            if let Some((request, round)) = beat {
                self.send_append(&peer, request, round).await;
            }
        }
    }

    fn heartbeat(&self, state: &mut State, peer: &str) -> Option<(AppendRequest, u64)> {
        let saved = state.is_saved() || self.lacks(Mechanism::Sync);
        let progress = state.peers.get(peer)?;
        let sent = self.environment.now().duration_since(progress.sent?);
        if state.role != Role::Leader || !saved || sent < self.tuning.heartbeat_interval * 3 / 2 {
            return None;
        }
        // An entry that the peer certainly holds, or the start of the log.
        let known = state.log.term(progress.matched);
        let (prev_index, prev_term) = known.map_or((0, 0), |term| (progress.matched, term));
        let request = AppendRequest {
            from: state.hard.identity.clone(),
            term: state.hard.term,
            prev_index,
            prev_term,
            commit: state.commit,
            entries: Vec::new(),
        };
        Some((request, state.round))
    }

    /// What to send now, if anything.
    fn plan(
        &self,
        state: &mut State,
        peer: &HostName,
        now: Instant,
        introduced: Option<&(Identity, Instant)>,
    ) -> Option<Plan> {
        if !state.is_saved() && !self.lacks(Mechanism::Sync) {
            return None;
        }
        if state.role != Role::Leader {
            let known = introduced.is_some_and(|(identity, at)| {
                let leads = state.leader.as_ref() == Some(peer);
                *identity == state.hard.identity && !(leads && now.duration_since(*at) >= INTRODUCE)
            });
            return (!known).then(|| {
                Plan::Introduce(VoteRequest {
                    from: state.hard.identity.clone(),
                    term: 0,
                    last_index: 0,
                    last_term: 0,
                    pre_vote: true,
                })
            });
        }
        let (round, commit, term) = (state.round, state.commit, state.hard.term);
        let from = state.hard.identity.clone();
        let progress = state.peers.get_mut(peer)?;
        // `now` is when the task last looked; the task looks again after a heartbeat interval.
        let due = progress.next <= state.log.last()
            || progress.sent_round < round
            || progress.sent_commit < commit
            || progress.sent.is_none_or(|sent| {
                self.environment.now().duration_since(sent) >= self.tuning.heartbeat_interval
            });
        if !due {
            return None;
        }
        progress.sent = Some(self.environment.now());
        progress.sent_round = round;
        let prev_index = progress.next - 1;
        let Some(prev_term) = state.log.term(prev_index) else {
            return Some(Plan::Snapshot(state.image.clone(), from, term));
        };
        progress.sent_commit = commit;
        let request = AppendRequest {
            from,
            term,
            prev_index,
            prev_term,
            commit,
            entries: state.log.batch(progress.next, self.tuning.max_batch_bytes),
        };
        Some(Plan::Append(request, round))
    }

    async fn introduce(&self, peer: &HostName, request: VoteRequest) -> bool {
        let sent = request.from.clone();
        let reply = self
            .environment
            .network()
            .vote(peer, request, self.tuning.call_timeout)
            .await;
        let Ok(reply) = reply else { return false };
        if reply.stale {
            self.demote(&sent);
        }
        self.hear_reply(peer, &reply.from).await;
        true
    }

    async fn send_append(&self, peer: &HostName, request: AppendRequest, round: u64) -> bool {
        let (sent, from, term) = (self.environment.now(), request.from.clone(), request.term);
        let size: usize = request
            .entries
            .iter()
            .map(|entry| entry.payload.len())
            .sum();
        let timeout = self.tuning.call_timeout + PER_BYTE * u32::try_from(size).unwrap_or(u32::MAX);
        let reply = self
            .environment
            .network()
            .append(peer, request, timeout)
            .await;
        let Ok(reply) = reply else {
            // The commit index may not have arrived.
            if let Some(progress) = self.state.borrow_mut().peers.get_mut(peer) {
                progress.sent_commit = 0;
            }
            return false;
        };
        if reply.stale {
            self.demote(&from);
            return true;
        }
        if !self.hear_reply(peer, &reply.from).await {
            return false;
        }
        let agreed = self.note_reply(peer, &reply, term, round, sent);
        self.signal.notify();
        self.settle();
        agreed
    }

    /// Records a reply. False when there is nothing to gain from sending again at once.
    fn note_reply(
        &self,
        peer: &HostName,
        reply: &AppendReply,
        term: u64,
        round: u64,
        sent: Instant,
    ) -> bool {
        let mut state = self.state.borrow_mut();
        if reply.term > state.hard.term {
            state.adopt(reply.term);
            return true;
        }
        if state.role != Role::Leader || state.hard.term != term || reply.term != term {
            return true;
        }
        let admitted = state.members.get(peer) == Some(&reply.from.incarnation);
        let (first, commit, last) = (state.first, state.commit, state.log.last());
        let Some(progress) = state.peers.get_mut(peer) else {
            return true;
        };
        let former = progress.identity.replace(reply.from.clone());
        if former.is_some_and(|former| former.incarnation != reply.from.incarnation) {
            // What the former disk held is gone.
            progress.matched = 0;
            progress.asked = None;
        }
        if reply.success {
            progress.matched = progress.matched.max(reply.matched.min(last));
            // The reply to a heartbeat must not undo the search for the common prefix.
            progress.next = progress.next.max(progress.matched + 1);
        } else if reply.matched < progress.matched && !self.lacks(Mechanism::BootCheck) {
            // A host never loses what it acknowledged in this term: its disk was replaced by an
            // older one between two boots that no peer could tell apart.
            warn!(self.options.logger, "host lost acknowledged entries; it must be readmitted"; "host" => peer);
            state.hard.condemn(&reply.from);
            state.touch();
            return false;
        } else {
            progress.next = (reply.matched.min(last) + 1)
                .min(progress.next.saturating_sub(1))
                .max(1);
        }
        progress.contact = progress.contact.max(Some(sent));
        progress.round = progress.round.max(round);
        if !reply.learner || admitted {
            return true;
        }
        // The commit index covers all earlier terms only once an entry of this term is committed.
        if progress.asked.is_none() && commit >= first {
            progress.asked = Some(commit);
        }
        let complete = progress
            .asked
            .is_some_and(|asked| progress.matched >= asked);
        let number = reply.from.incarnation;
        let proposed = state
            .readmits
            .values()
            .any(|(name, other)| name == peer && *other == number);
        if (complete || self.lacks(Mechanism::CatchUp)) && !proposed && !state.transfer.ceding {
            info!(self.options.logger, "readmitting host"; "host" => peer, "incarnation" => number);
            state.lead_entry(&Payload::Readmit(peer.clone(), number));
        }
        true
    }

    /// Sends a snapshot chunk by chunk; the peer says where to go on.
    async fn send_snapshot(
        &self,
        peer: &HostName,
        image: &Image,
        from: &Identity,
        term: u64,
    ) -> bool {
        let size = image.bytes.len();
        let mut offset = 0;
        let mut restarts = 0;
        while offset < size {
            let end = (offset + self.tuning.snapshot_chunk_bytes).min(size);
            let request = SnapshotRequest {
                from: from.clone(),
                term,
                last_index: image.index,
                last_term: image.term,
                offset: offset as u64,
                chunk: image.bytes[offset..end].to_vec(),
                done: end == size,
            };
            let sent = self.environment.now();
            let reply = self
                .environment
                .network()
                .snapshot(peer, request, self.tuning.snapshot_chunk_timeout)
                .await;
            let Ok(reply) = reply else { return false };
            if !self.hear_reply(peer, &reply.from).await {
                return false;
            }
            let mut state = self.state.borrow_mut();
            if reply.term > state.hard.term {
                state.adopt(reply.term);
                drop(state);
                self.signal.notify();
                return true;
            }
            if state.role != Role::Leader || state.hard.term != term {
                return true;
            }
            let Some(progress) = state.peers.get_mut(peer) else {
                return true;
            };
            progress.contact = progress.contact.max(Some(sent));
            let next = usize::try_from(reply.next).unwrap_or(size).min(size);
            if next <= offset {
                // The peer restarted in the middle, or found the snapshot damaged.
                restarts += 1;
                if restarts > 3 {
                    return false;
                }
            }
            offset = next;
        }
        let mut state = self.state.borrow_mut();
        if let Some(progress) = state.peers.get_mut(peer) {
            progress.next = image.index + 1;
        }
        true
    }
}
