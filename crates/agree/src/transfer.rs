//! Leadership transfer before a planned stop, so that no election timeout has to pass.

use std::time::Duration;

use base::HostName;
use slog::info;

use crate::{
    environment::{Environment, Network as _},
    message::{TransferReply, TransferRequest},
    node::{Node, StateMachine},
    state::{Role, State},
};

/// Outcome of the request to one host to take over the leadership.
enum Takeover {
    /// Another host leads.
    Elected,
    /// The host may have started an election that is not decided yet.
    Pending,
    /// The host did not start an election.
    Refused,
}

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Transfers the leadership to a host that holds the whole log, and returns whether another
    /// host leads afterwards. Proposals are refused from the start of the call. If no host holds
    /// the whole log in time, this host continues to lead and accepts proposals again.
    pub async fn transfer_leadership(&self) -> bool {
        {
            let mut state = self.state.borrow_mut();
            if state.role != Role::Leader || state.stopping {
                return false;
            }
            state.transfer.in_progress = true;
        };
        let ready = self.wait_until(|state| {
            if state.role == Role::Leader {
                transfer_targets(state)
            } else {
                Some(Vec::new())
            }
        });
        let targets = self.with_timeout(self.tuning.call_timeout, ready).await;
        let request = {
            let mut state = self.state.borrow_mut();
            state.transfer.in_progress = false;
            if targets.is_none() || state.role != Role::Leader {
                return false;
            }
            info!(self.options.logger, "transferring the leadership"; "term" => state.hard.term);
            // Another host may be elected as soon as the first request is sent, while this host
            // would still consider itself the leader because a majority replied just now.
            state.step_down();
            self.reset_election_deadline(&mut state);
            TransferRequest {
                from: state.hard.identity.clone(),
                term: state.hard.term,
                last_index: state.log.last_index(),
                last_term: state.log.last_term(),
            }
        };
        self.state_changed.notify();
        self.progress_changed.notify();
        let mut may_be_elected = false;
        for target in targets.into_iter().flatten() {
            match self.request_takeover(&target, &request).await {
                Takeover::Elected => return true,
                Takeover::Pending => may_be_elected = true,
                Takeover::Refused => {}
            }
        }
        may_be_elected
            && self
                .wait_for_successor(self.tuning.election_timeout.1)
                .await
    }

    /// Asks one host to start an election and waits for the first message of the new leader.
    async fn request_takeover(&self, target: &HostName, request: &TransferRequest) -> Takeover {
        // Leaves time to ask two hosts one after the other before the election timeouts of the
        // followers.
        let limit = self.tuning.heartbeat_interval * 2;
        let network = self.environment.network();
        let reply = network.transfer(target, request.clone(), limit).await;
        let Ok(reply) = reply else {
            return Takeover::Pending;
        };
        if !self.check_reply_sender(target, &reply.from).await || !reply.accepted {
            return Takeover::Refused;
        }
        if self.wait_for_successor(limit).await {
            Takeover::Elected
        } else {
            Takeover::Pending
        }
    }

    /// Waits until another host leads, at most for `limit`. Returns whether one does.
    async fn wait_for_successor(&self, limit: Duration) -> bool {
        let elected = self.wait_until(|state| {
            let leader = state.leader.as_ref();
            leader
                .is_some_and(|leader| *leader != self.options.name)
                .then_some(())
        });
        self.with_timeout(limit, elected).await.is_some()
    }

    /// Handles `Peer.transfer`.
    pub async fn on_transfer(&self, request: TransferRequest) -> TransferReply {
        let status = self.check_sender(&request.from).await;
        self.hard_state_saved().await;
        let accepted = status.is_accepted() && self.accept_transfer(&request);
        // The reply does not wait until the vote of the election is stored: a sender that gets no
        // reply asks another host, and the two would split the votes.
        self.state_changed.notify();
        TransferReply {
            from: self.state.borrow().hard.identity.clone(),
            accepted,
        }
    }

    /// Requests an election if this host is a voter that has the whole log of the former leader on
    /// disk. Returns whether it did.
    fn accept_transfer(&self, request: &TransferRequest) -> bool {
        let mut state = self.state.borrow_mut();
        let last = (state.log.last_term(), state.log.last_index());
        let has_whole_log = last == (request.last_term, request.last_index)
            && state.durable_index >= request.last_index;
        let leader_matches = state
            .leader
            .as_ref()
            .is_none_or(|leader| *leader == request.from.host);
        let accepted = has_whole_log
            && leader_matches
            && !state.stopping
            && state.is_voter()
            && state.role == Role::Follower
            && state.hard.term == request.term;
        if accepted {
            state.transfer.requested_term = Some(request.term);
        }
        accepted
    }
}

/// Voters in the order in which they are asked, or `None` while none is known to have the whole log
/// on disk.
///
/// Voters that are not known to have it are included: their replies may be in flight, and they
/// check their log themselves.
fn transfer_targets(state: &State) -> Option<Vec<HostName>> {
    let last = state.log.last_index();
    let mut targets: Vec<_> = state
        .peers
        .iter()
        .filter(|(name, peer)| {
            let identity = peer.identity.as_ref();
            identity.is_some_and(|known| state.counts_in_quorum(name, known.incarnation))
        })
        .map(|(name, peer)| ((peer.match_index >= last, peer.last_contact), name.clone()))
        .collect();
    targets.sort_by(|a, b| b.cmp(a));
    let held = targets.first().is_some_and(|((held, _), _)| *held);
    held.then(|| targets.into_iter().map(|(_, name)| name).collect())
}
