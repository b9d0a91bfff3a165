//! Leader election with pre-vote, and the quorum check of the leader.

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
    /// Starts an election when the election deadline passes or a transfer asks for it; checks the
    /// quorum while leading.
    pub(crate) async fn run_elections(self: Rc<Self>) {
        self.hard_state_saved().await;
        self.set_initial_election_deadline(&mut self.state.borrow_mut());
        loop {
            let now = self.environment.now();
            let wait = {
                let state = self.state.borrow();
                match state.role {
                    Role::Leader => self.tuning.heartbeat_interval,
                    _ if !state.is_voter() && !self.is_disabled(Mechanism::LearnerExclusion) => {
                        self.tuning.heartbeat_interval
                    }
                    _ => state.election_deadline.saturating_duration_since(now),
                }
            };
            if wait.is_zero() {
                self.campaign(None).await;
                self.reset_election_deadline(&mut self.state.borrow_mut());
                continue;
            }
            let requested_term = self.wait_until(|state| state.transfer.requested_term.take());
            let wait = wait.min(self.tuning.heartbeat_interval);
            if let Some(term) = self.with_timeout(wait, requested_term).await {
                self.campaign(Some(term)).await;
                self.reset_election_deadline(&mut self.state.borrow_mut());
            } else {
                self.check_quorum();
            }
        }
    }

    /// Steps down if no majority replies: this leader can commit nothing, and there may be another.
    fn check_quorum(&self) {
        let now = self.environment.now();
        {
            let mut state = self.state.borrow_mut();
            if state.role != Role::Leader || self.is_disabled(Mechanism::CheckQuorum) {
                return;
            }
            let contact = self.quorum_contact(&state, now);
            // A new leader has the same time to complete its first heartbeat round.
            let since = contact.max(Some(state.elected_at));
            let lost =
                since.is_none_or(|at| now.duration_since(at) > self.tuning.election_timeout.1);
            if !lost {
                return;
            }
            info!(self.options.logger, "stepping down: no majority replied within the election timeout"; "term" => state.hard.term);
            state.last_leader_contact = state.last_leader_contact.max(contact);
            state.step_down();
            self.reset_election_deadline(&mut state);
        };
        self.state_changed.notify();
        self.progress_changed.notify();
    }

    fn vote_request(state: &State, pre_vote: bool) -> VoteRequest {
        VoteRequest {
            from: state.hard.identity.clone(),
            term: state.hard.term + u64::from(pre_vote),
            last_index: state.log.last_index(),
            last_term: state.log.last_term(),
            pre_vote,
        }
    }

    /// Runs an election. If the leader of `requested_term` transferred its leadership to this host,
    /// the pre-vote is skipped: the others would deny it, having heard from that leader just now.
    async fn campaign(&self, requested_term: Option<u64>) {
        self.hard_state_saved().await;
        if requested_term.is_none() && !self.is_disabled(Mechanism::PreVote) {
            let request = Self::vote_request(&self.state.borrow(), true);
            let start = self.environment.now();
            if !self.request_votes(&request).await {
                return;
            }
            let state = self.state.borrow();
            let contacted_by_leader = state
                .last_leader_contact
                .is_some_and(|contact| contact >= start);
            if contacted_by_leader
                || state.hard.term + 1 != request.term
                || state.hard.identity != request.from
            {
                return;
            }
        }
        let request = {
            let mut state = self.state.borrow_mut();
            let valid =
                |term| state.hard.term == term && state.role == Role::Follower && state.is_voter();
            if !requested_term.is_none_or(valid) {
                return;
            }
            state.hard.term += 1;
            state.hard.vote = Some(self.options.name.clone());
            state.mark_hard_state_changed();
            state.role = Role::Candidate;
            state.leader = None;
            Self::vote_request(&state, false)
        };
        self.state_changed.notify();
        self.hard_state_saved().await;
        if self.request_votes(&request).await {
            self.become_leader(&request);
        }
    }

    /// Requests votes from all peers. Returns whether a majority granted them.
    async fn request_votes(&self, request: &VoteRequest) -> bool {
        let count_learners = self.is_disabled(Mechanism::LearnerExclusion);
        let (mut votes, majority, others) = {
            let state = self.state.borrow();
            let others: Vec<_> = state.peers.keys().cloned().collect();
            (
                usize::from(count_learners || state.is_voter()),
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
                self.become_learner(&request.from);
                return false;
            }
            if !self.check_reply_sender(to, &reply.from).await {
                continue;
            }
            let mut state = self.state.borrow_mut();
            if reply.term > state.hard.term && !(request.pre_vote && reply.granted) {
                state.advance_term(reply.term);
                drop(state);
                self.state_changed.notify();
                return false;
            }
            let counts =
                count_learners || state.counts_in_quorum(&reply.from.host, reply.from.incarnation);
            votes += usize::from(reply.granted && counts);
        }
        true
    }

    /// Becomes the leader if the election of `request` is still current.
    fn become_leader(&self, request: &VoteRequest) {
        {
            let mut state = self.state.borrow_mut();
            let valid = state.role == Role::Candidate
                && state.hard.term == request.term
                && state.hard.identity == request.from;
            if !valid {
                return;
            }
            info!(self.options.logger, "became leader"; "term" => request.term);
            state.role = Role::Leader;
            state.leader = Some(self.options.name.clone());
            let next = state.log.last_index() + 1;
            state.elected_at = self.environment.now();
            for progress in state.peers.values_mut() {
                progress.next_index = next;
                progress.match_index = 0;
                progress.acked_round = 0;
                progress.sent_round = 0;
                progress.sent_commit = 0;
                progress.last_sent = None;
                progress.last_contact = None;
                progress.catch_up_index = None;
            }
            state.heartbeat_round += 1;
            state.first_index_of_term = state.append_as_leader(&Payload::Noop);
            self.confirm_readmissions(&mut state);
        };
        self.state_changed.notify();
        self.progress_changed.notify();
    }
}
