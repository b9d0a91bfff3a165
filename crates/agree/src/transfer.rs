//! Transfer of the leadership before a planned stop, so that it costs no election timeout.

use base::HostName;
use slog::info;

use crate::{
    environment::{Environment, Network as _},
    message::{TransferReply, TransferRequest},
    node::{Node, StateMachine},
    state::{Role, State},
};

impl<M: StateMachine, E: Environment> Node<M, E> {
    /// Gives up the leadership in favour of a host that holds the whole log, and returns whether
    /// another host leads then. Proposals are refused from the call on, unless no host holds the
    /// whole log in time: this host goes on leading then.
    pub async fn transfer_leadership(&self) -> bool {
        {
            let mut state = self.state.borrow_mut();
            if state.role != Role::Leader || state.stopping {
                return false;
            }
            state.transfer.ceding = true;
        };
        let held = self.until(|state| {
            if state.role == Role::Leader {
                heirs(state)
            } else {
                Some(Vec::new())
            }
        });
        let heirs = self.within(self.tuning.call_timeout, held).await;
        let request = {
            let mut state = self.state.borrow_mut();
            state.transfer.ceding = false;
            if heirs.is_none() || state.role != Role::Leader {
                return false;
            }
            info!(self.options.logger, "giving up the leadership"; "term" => state.hard.term);
            // Another host may be elected from the first request on, while this one heard from a
            // majority a moment ago and would still take itself for the leader.
            state.step_down();
            self.postpone(&mut state);
            TransferRequest {
                from: state.hard.identity.clone(),
                term: state.hard.term,
                last_index: state.log.last(),
                last_term: state.log.last_term(),
            }
        };
        self.signal.notify();
        self.news.notify();
        for heir in heirs.into_iter().flatten() {
            if self.summon(&heir, &request).await {
                return true;
            }
        }
        false
    }

    /// Asks one host to take over and waits for the first message of the new leader.
    async fn summon(&self, heir: &HostName, request: &TransferRequest) -> bool {
        // Two hosts can be asked one after the other before the followers' election timeouts end.
        let limit = self.tuning.heartbeat_interval * 2;
        let network = self.environment.network();
        let reply = network.transfer(heir, request.clone(), limit).await;
        let Ok(reply) = reply else { return false };
        if !self.hear_reply(heir, &reply.from).await || !reply.accepted {
            return false;
        }
        let led = self.until(|state| state.leader.is_some().then_some(()));
        self.within(limit, led).await.is_some()
    }

    /// Handles `Peer.transfer`.
    pub async fn on_transfer(&self, request: TransferRequest) -> TransferReply {
        let verdict = self.hear(&request.from).await;
        let accepted = verdict.is_good() && self.stand(&request);
        self.signal.notify();
        self.saved().await;
        TransferReply {
            from: self.state.borrow().hard.identity.clone(),
            accepted,
        }
    }

    /// Plans an election when this host holds the whole log of the leader that gave up.
    fn stand(&self, request: &TransferRequest) -> bool {
        let mut state = self.state.borrow_mut();
        let end = (state.log.last_term(), state.log.last());
        let whole =
            end == (request.last_term, request.last_index) && state.stored >= request.last_index;
        let led = state
            .leader
            .as_ref()
            .is_none_or(|leader| *leader == request.from.host);
        let stands = whole
            && led
            && !state.stopping
            && state.is_voter()
            && state.role == Role::Follower
            && state.hard.term == request.term;
        if stands {
            state.transfer.summoned = Some(request.term);
        }
        stands
    }
}

/// Voters in the order in which they are asked, once one is known to have the whole log on disk.
///
/// The others may have it too, with the answer still on its way; they check that themselves.
fn heirs(state: &State) -> Option<Vec<HostName>> {
    let last = state.log.last();
    let mut heirs: Vec<_> = state
        .peers
        .iter()
        .filter(|(name, peer)| {
            let identity = peer.identity.as_ref();
            identity.is_some_and(|known| state.counts(name, known.incarnation))
        })
        .map(|(name, peer)| ((peer.matched >= last, peer.contact), name.clone()))
        .collect();
    heirs.sort_by(|a, b| b.cmp(a));
    let held = heirs.first().is_some_and(|((held, _), _)| *held);
    held.then(|| heirs.into_iter().map(|(_, name)| name).collect())
}
