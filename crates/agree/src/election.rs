//! Elections: who leads, and when a leader gives up.

use std::rc::Rc;

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use slog::info;

use crate::{
    environment::{Environment, Network as _},
    log::Payload,
    message::VoteRequest,
    node::{Mechanism, Node, StateMachine},
    state::{Role, State},
};

impl<M: StateMachine, E: Environment> Node<M, E> {
    pub(crate) async fn elect(self: Rc<Self>) {
        self.saved().await;
        self.first_deadline(&mut self.state.borrow_mut());
        loop {
            let now = self.environment.now();
            let wait = {
                let state = self.state.borrow();
                match state.role {
                    Role::Leader => self.tuning.heartbeat_interval,
                    _ if !state.is_voter() && !self.lacks(Mechanism::LearnerExclusion) => {
                        self.tuning.heartbeat_interval
                    }
                    _ => state.deadline.saturating_duration_since(now),
                }
            };
            if wait.is_zero() {
                self.campaign(None).await;
                self.postpone(&mut self.state.borrow_mut());
                continue;
            }
            let summoned = self.until(|state| state.transfer.summoned.take());
            let wait = wait.min(self.tuning.heartbeat_interval);
            if let Some(term) = self.within(wait, summoned).await {
                self.campaign(Some(term)).await;
                self.postpone(&mut self.state.borrow_mut());
            } else {
                self.check_quorum();
            }
        }
    }

    /// A leader without a majority steps down: it can commit nothing, and another may lead.
    fn check_quorum(&self) {
        let now = self.environment.now();
        {
            let mut state = self.state.borrow_mut();
            if state.role != Role::Leader || self.lacks(Mechanism::CheckQuorum) {
                return;
            }
            let contact = self.quorum_contact(&state, now);
            // A new leader has the same time for its first heartbeat round.
            let since = contact.max(Some(state.led));
            let lost =
                since.is_none_or(|at| now.duration_since(at) > self.tuning.election_timeout.1);
            if !lost {
                return;
            }
            info!(self.options.logger, "stepping down: no majority"; "term" => state.hard.term);
            state.heard = state.heard.max(contact);
            state.step_down();
            self.postpone(&mut state);
        };
        self.signal.notify();
        self.news.notify();
    }

    fn vote_request(state: &State, pre_vote: bool) -> VoteRequest {
        VoteRequest {
            from: state.hard.identity.clone(),
            term: state.hard.term + u64::from(pre_vote),
            last_index: state.log.last(),
            last_term: state.log.last_term(),
            pre_vote,
        }
    }

    /// Stands for election. The leader of the term `summoned` gave up in favour of this host, so
    /// that no pre-vote is needed: it would be denied because that leader was heard a moment ago.
    async fn campaign(&self, summoned: Option<u64>) {
        self.saved().await;
        if summoned.is_none() && !self.lacks(Mechanism::PreVote) {
            let request = Self::vote_request(&self.state.borrow(), true);
            let start = self.environment.now();
            if !self.poll(&request).await {
                return;
            }
            let state = self.state.borrow();
            let heard = state.heard.is_some_and(|heard| heard >= start);
            if heard || state.hard.term + 1 != request.term || state.hard.identity != request.from {
                return;
            }
        }
        let request = {
            let mut state = self.state.borrow_mut();
            let valid =
                |term| state.hard.term == term && state.role == Role::Follower && state.is_voter();
            if !summoned.is_none_or(valid) {
                return;
            }
            state.hard.term += 1;
            state.hard.vote = Some(self.options.name.clone());
            state.touch();
            state.role = Role::Candidate;
            state.leader = None;
            Self::vote_request(&state, false)
        };
        self.signal.notify();
        self.saved().await;
        if self.poll(&request).await {
            self.lead(&request);
        }
    }

    /// Collects votes; true when a majority granted them.
    async fn poll(&self, request: &VoteRequest) -> bool {
        let all = self.lacks(Mechanism::LearnerExclusion);
        let (mut votes, majority, others) = {
            let state = self.state.borrow();
            let others: Vec<_> = state.peers.keys().cloned().collect();
            (
                usize::from(all || state.is_voter()),
                state.majority(),
                others,
            )
        };
        let network = self.environment.network();
        let mut calls: FuturesUnordered<_> = others
            .iter()
            .map(async |to| {
                (
                    to,
                    network
                        .vote(to, request.clone(), self.tuning.call_timeout)
                        .await,
                )
            })
            .collect();
        while votes < majority {
            let (to, reply) = match calls.next().await {
                None => return false,
                Some((_, Err(_lost))) => continue,
                Some((to, Ok(reply))) => (to, reply),
            };
            if reply.stale {
                self.demote(&request.from);
                return false;
            }
            if !self.hear_reply(to, &reply.from).await {
                continue;
            }
            let mut state = self.state.borrow_mut();
            if reply.term > state.hard.term && !(request.pre_vote && reply.granted) {
                state.adopt(reply.term);
                drop(state);
                self.signal.notify();
                return false;
            }
            let counts = all || state.counts(&reply.from.host, reply.from.incarnation);
            votes += usize::from(reply.granted && counts);
        }
        true
    }

    fn lead(&self, request: &VoteRequest) {
        {
            let mut state = self.state.borrow_mut();
            let valid = state.role == Role::Candidate
                && state.hard.term == request.term
                && state.hard.identity == request.from;
            if !valid {
                return;
            }
            info!(self.options.logger, "leading"; "term" => request.term);
            state.role = Role::Leader;
            state.leader = Some(self.options.name.clone());
            let next = state.log.last() + 1;
            state.led = self.environment.now();
            for progress in state.peers.values_mut() {
                progress.next = next;
                progress.matched = 0;
                progress.round = 0;
                progress.sent_round = 0;
                progress.sent_commit = 0;
                progress.sent = None;
                progress.contact = None;
                progress.asked = None;
            }
            state.round += 1;
            state.first = state.lead_entry(&Payload::Noop);
        };
        self.signal.notify();
        self.news.notify();
    }
}
