//! Routing of requests: implements [`Fleet`] with the pools of the known members.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::{
    MemberName, Position, Set, Term, Version,
    document::Service,
    fault::disabled,
    organisation::{KeyDigest, Organisation},
};
use identity::Refused;
use order::Terms;
use rand::RngExt as _;
use route::{
    AckBounds, Health, Location,
    freshness::{self, Choice, Replica, Requirement},
};

use crate::{
    dialect::Dialect,
    fleet::{Admitted, Fleet, ReadRequirement},
    group::{Group, ProbeTarget, Record},
    member::Member,
    network::Network,
    pool::{PoolError, PooledConn, SessionState},
    postgres::Postgres,
    rates::Operation,
    refusal::Refusal,
};

/// Longest wait for a notification before a decision is repeated. Ages, leases and the health of
/// members also change with time alone, without any notification.
const RECHECK: Duration = Duration::from_millis(50);

impl Fleet for Network {
    type Lease = PooledConn;
    type Operation = Operation<Postgres>;

    fn service(&self, name: &str) -> Option<Rc<Service>> {
        self.find_service(name)
    }

    fn needs_key(&self) -> bool {
        self.asks_for_keys()
    }

    fn identify(&self, key: Option<&KeyDigest>) -> Result<Option<Rc<Organisation>>, Refused> {
        Self::identify(self, None, key, base::clock::now())
    }

    fn confirm_owner(&self, key: Option<&KeyDigest>, owner: Option<&str>) -> Result<(), Refused> {
        Self::confirm_owner(self, None, key, owner, base::clock::now())
    }

    async fn admit(
        self: &Rc<Self>,
        organisation: Option<&Organisation>,
        deadline: Instant,
    ) -> Result<Operation<Postgres>, Refusal> {
        let admitted = Self::admit(self, organisation, deadline).await;
        self.count_refusal(admitted)
    }

    async fn read(
        &self,
        service: &Service,
        owner: Option<&str>,
        need: ReadRequirement,
    ) -> Result<(PooledConn, Option<Position>), Refusal> {
        let result = self.route_read(service, owner, need).await;
        if let Ok((lease, _)) = &result {
            let kind = match crate::fleet::Lease::primary(lease) {
                Some(_) => "primary",
                None => "replica",
            };
            self.metrics.reads.with_label_values(&[kind]).inc();
        }
        self.count_refusal(result)
    }

    async fn write(
        &self,
        service: &Service,
        owner: Option<&str>,
        deadline: Instant,
    ) -> Result<PooledConn, Refusal> {
        let owner = owner.map(Rc::from);
        let terms = Terms::until(deadline);
        let result = self
            .route_write(service, &Terms { owner, ..terms }, None)
            .await;
        if result.is_ok() {
            self.metrics.writes.inc();
        }
        self.count_refusal(result)
    }

    async fn confirm(
        &self,
        service: &Service,
        term: Term,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let start = Instant::now();
        let result = self
            .confirm_position(service, term, position, deadline)
            .await;
        if result.is_ok() {
            self.metrics.confirm.observe(start.elapsed().as_secs_f64());
        }
        self.count_refusal(result)
    }

    async fn pass_cancel(&self, pid: i32, secret: i32) {
        self.passing.relay(pid, secret, Instant::now()).await;
    }

    async fn stopping(&self) {
        self.stopped().await;
    }

    fn is_stopping(&self) -> bool {
        self.is_stopped()
    }
}

impl<D: Dialect> Admitted for Operation<D> {
    fn count(&mut self) -> Result<(), Refusal> {
        Self::count(self)
    }
}

impl<D: Dialect> Network<D> {
    fn count_refusal<T>(&self, result: Result<T, Refusal>) -> Result<T, Refusal> {
        if let Err(refusal) = &result {
            let refusals = &self.metrics.refusals;
            refusals.with_label_values(&[refusal.sqlstate()]).inc();
        }
        result
    }

    /// Checks that the service is still configured with the same group.
    fn check_service(&self, service: &Service) -> Result<(), Refusal> {
        self.find_service(&service.name)
            .filter(|known| known.group == service.group)
            .map(|_| ())
            .ok_or_else(|| Refusal::UnknownService(service.name.clone()))
    }

    async fn route_read(
        &self,
        service: &Service,
        owner: Option<&str>,
        need: ReadRequirement,
    ) -> Result<(PooledConn<D>, Option<Position>), Refusal> {
        let start = Instant::now();
        self.check_service(service)?;
        let group = self.use_group(service, start);
        let patience = Duration::from_millis(service.freshness.wait_ms);
        let oldest = Duration::from_millis(service.freshness.max_age_ms);
        let max_age = need.max_age.map(|age| age.min(oldest));
        let mut token = need.token;
        let mut full = Set::default();
        loop {
            self.check_service(service)?;
            let mut demand = token.map(Requirement::Token);
            if demand.is_none() {
                let until = need.max_age.map_or(need.deadline, |_| {
                    (Instant::now() + patience).min(need.deadline)
                });
                match self.read_barrier(&group, need, until).await {
                    Ok(position) => {
                        token = Some(position);
                        demand = Some(Requirement::Token(position));
                    }
                    Err(refusal) => {
                        let age = max_age.ok_or(refusal)?;
                        demand = Some(Requirement::MaxAge(age));
                    }
                }
            }
            let Some(demand) = demand else { continue };
            let now = Instant::now();
            if now >= need.deadline {
                return Err(Refusal::NotFresh);
            }
            // Listens before the decision, so that no status that arrives before the wait is missed.
            let changed = group.listen();
            let waited = now.saturating_duration_since(start);
            let (choice, members) = self.choose(&group, demand, &full, waited, patience, now);
            if choice == Choice::Primary && !full.is_empty() {
                // Reads that overflow from busy replicas to the primary would take slots from writes.
                return Err(Refusal::QueueFull);
            }
            let picked = match choice {
                Choice::Replica(index) => Some((Rc::clone(&members[index]), None)),
                Choice::Wait => None,
                Choice::Primary => match demand {
                    Requirement::Token(_) => self
                        .primary(&group, now)
                        .ok()
                        .map(|(member, record)| (member, Some(record.term))),
                    Requirement::MaxAge(_) => None,
                },
            };
            let Some((member, term)) = picked else {
                fail::fail_point!("read-wait");
                let target = match choice {
                    Choice::Primary => ProbeTarget::All,
                    Choice::Wait | Choice::Replica(_) => ProbeTarget::Replicas,
                };
                let _probe_request = group.request_probes(target);
                let until = (now + RECHECK).min(need.deadline);
                let _changed = compio::time::timeout_at(until, changed).await;
                continue;
            };
            self.metrics.freshness.observe(waited.as_secs_f64());
            match member.pool.acquire_for(owner, need.deadline).await {
                Ok(mut lease) => {
                    if let Some(term) = term {
                        if !self.is_in_force(&group, term) {
                            continue;
                        }
                        lease.set_primary(term);
                    }
                    return Ok((lease, token));
                }
                // Another replica, even one of another region, is better than a refusal.
                Err(PoolError::Full) if term.is_none() => {
                    full.insert(member.name.clone());
                }
                Err(cause) => handle_pool_error(cause, need.deadline).await?,
            }
        }
    }

    /// Chooses among the replicas that may serve a read, except those in `full`, whose queues had no
    /// room. Returns the choice and the members that its index refers to.
    fn choose(
        &self,
        group: &Rc<Group>,
        demand: Requirement,
        full: &Set<MemberName>,
        waited: Duration,
        patience: Duration,
        now: Instant,
    ) -> (Choice, Vec<Rc<Member<D>>>) {
        let Some(record) = group.current() else {
            return (Choice::Primary, Vec::new());
        };
        let demand = if disabled("freshness-disabled") {
            Requirement::Token(Position::default())
        } else {
            demand
        };
        let location = Location {
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
        };
        let members: Vec<_> = record
            .members
            .iter()
            .filter_map(|known| self.member(&known.member).map(|member| (known, member)))
            .filter(|(known, member)| {
                !full.contains(&member.name)
                    && member.has_store(&known.store)
                    && member.health(now).0 == Health::Ok
                    && member.pool.is_usable(now)
                    && self.directory.borrow().is_usable(&member.name, now)
            })
            .map(|(_, member)| member)
            .collect();
        let (samples, sampled_until) = (group.samples.borrow(), base::clock::now());
        let replicas: Vec<_> = members
            .iter()
            .enumerate()
            .filter_map(|(index, member)| {
                let (position, primary) = member.position()?;
                (!primary).then(|| Replica {
                    index,
                    position,
                    age: match demand {
                        // For a token the age only tells whether waiting for the replica is worthwhile.
                        Requirement::Token(token) if position.covers(token) => None,
                        _ => samples.age(position, sampled_until),
                    },
                    proximity: location.proximity(&member.place),
                    queued: member.pool.waiting(),
                })
            })
            .collect();
        let choice = freshness::choose(&replicas, demand, record.term, waited, patience);
        (choice, members)
    }

    /// Waits for a position of the primary that was read after the session began, is confirmed by
    /// enough members and is covered by a valid write lease.
    async fn read_barrier(
        &self,
        group: &Rc<Group>,
        need: ReadRequirement,
        until: Instant,
    ) -> Result<Position, Refusal> {
        loop {
            let now = Instant::now();
            if now >= until {
                return Err(Refusal::NotFresh);
            }
            let changed = group.listen();
            if let Some(position) = group.barrier(need.since) {
                fail::fail_point!("read-barrier");
                let held = self
                    .await_confirmed(group, position.term, position, until)
                    .await;
                if held.is_ok() {
                    return Ok(position);
                }
                continue;
            }
            let in_force = self.primary(group, now).is_ok();
            if !in_force && need.max_age.is_some() {
                return Err(Refusal::NotFresh);
            }
            let _probe_request = group.request_probes(if in_force {
                ProbeTarget::Primary
            } else {
                ProbeTarget::All
            });
            let slice = (now + RECHECK).min(until);
            let _changed = compio::time::timeout_at(slice, changed).await;
        }
    }

    /// Acquires a connection to the primary in force that was opened for the owner in `terms`, preferably
    /// an idle one that has most of the state of `session`. It waits until their deadline.
    ///
    /// # Errors
    /// A refusal that is "not run".
    pub async fn acquire_primary(
        &self,
        service: &Service,
        terms: &Terms,
        session: Option<&SessionState<D>>,
    ) -> Result<PooledConn<D>, Refusal> {
        if self.is_isolated(base::clock::now()) {
            // Another entry process may be able to serve the request; waiting here can't help.
            return self.count_refusal(Err(Refusal::NoPrimary));
        }
        let result = self.route_write(service, terms, session).await;
        self.count_refusal(result)
    }

    async fn route_write(
        &self,
        service: &Service,
        terms: &Terms,
        session: Option<&SessionState<D>>,
    ) -> Result<PooledConn<D>, Refusal> {
        let deadline = terms.deadline;
        let start = Instant::now();
        self.check_service(service)?;
        let group = self.use_group(service, start);
        loop {
            self.check_service(service)?;
            let now = Instant::now();
            if now >= deadline {
                return Err(Refusal::NoPrimary);
            }
            let changed = group.listen();
            let Ok((member, record)) = self.primary(&group, now) else {
                if group.gap_start.get().is_none() {
                    group.gap_start.set(Some(now));
                }
                let _probe_request = group.request_probes(ProbeTarget::All);
                let slice = (now + RECHECK).min(deadline);
                let _changed = compio::time::timeout_at(slice, changed).await;
                continue;
            };
            match member
                .pool
                .acquire_under(terms.clone(), session.cloned())
                .await
            {
                Ok(mut lease) => {
                    // The record or the write lease may have changed while the request was queued.
                    if self.is_in_force(&group, record.term) {
                        lease.set_primary(record.term);
                        fail::fail_point!("write-send");
                        return Ok(lease);
                    }
                }
                Err(cause) => handle_pool_error(cause, deadline).await?,
            }
        }
    }

    /// Returns the primary in force: its record is stable, it answers as primary of that term with
    /// the recorded store, and the write lease of this process is valid.
    ///
    /// # Errors
    /// [`Refusal::NoPrimary`] when no primary is in force.
    pub fn primary(
        &self,
        group: &Group,
        now: Instant,
    ) -> Result<(Rc<Member<D>>, Rc<Record>), Refusal> {
        let record = group.stable().ok_or(Refusal::NoPrimary)?;
        let member = self.member(&record.primary).ok_or(Refusal::NoPrimary)?;
        let leads = member
            .position()
            .is_some_and(|(position, primary)| primary && position.term == record.term);
        let known = record
            .store(&member.name)
            .is_some_and(|store| member.has_store(store));
        let usable = member.health(now).0 == Health::Ok
            && member.pool.is_usable(now)
            && self.directory.borrow().is_usable_primary(&member.name, now);
        if leads && known && usable && self.is_lease_valid(record.version) {
            Ok((member, record))
        } else {
            Err(Refusal::NoPrimary)
        }
    }

    /// Replicas of the record that can serve reads.
    #[must_use]
    pub fn replicas(&self, group: &Group, now: Instant) -> Vec<Rc<Member<D>>> {
        let Some(record) = group.current() else {
            return Vec::new();
        };
        let directory = self.directory.borrow();
        let others = record.members.iter();
        let others = others.filter(|known| known.member != record.primary);
        others
            .filter_map(|known| {
                let member = self.member(&known.member)?;
                let usable = member.has_store(&known.store)
                    && member.position().is_some()
                    && member.health(now).0 == Health::Ok
                    && member.pool.is_usable(now)
                    && directory.is_usable(&member.name, now);
                usable.then_some(member)
            })
            .collect()
    }

    /// Waits until the write lease proves that `term` was in force when this was called, so that
    /// earlier answers of its primary may be released to the caller.
    ///
    /// # Errors
    /// [`Refusal::OutcomeUnknown`] when the term ended, or when the lease is not renewed before the
    /// deadline.
    pub async fn verify_term(
        &self,
        group: &Rc<Group>,
        term: Term,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        loop {
            let changed = group.listen();
            let ended = || Refusal::OutcomeUnknown(format!("term {term} of the primary ended"));
            let record = group.in_force().ok_or_else(ended)?;
            if record.term != term {
                return Err(ended());
            }
            let now = Instant::now();
            if self.is_lease_valid(record.version) {
                if let Some(since) = group.gap_start.take() {
                    let gap = now.saturating_duration_since(since);
                    self.metrics.gap.observe(gap.as_secs_f64());
                }
                return Ok(());
            }
            if now >= deadline {
                let cause = "the write lease was not renewed before the deadline";
                return Err(Refusal::OutcomeUnknown(cause.to_owned()));
            }
            let _changed = compio::time::timeout_at(deadline, changed).await;
        }
    }

    /// Zone and region of this process.
    #[must_use]
    pub fn place(&self) -> Location {
        Location {
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
        }
    }

    /// Whether the write lease is valid now, also counting the time during which the machine was
    /// suspended, and was granted with record changes up to `version`.
    fn is_lease_valid(&self, version: Version) -> bool {
        disabled("lease-disabled")
            || (self.knows_control_hosts()
                && self.lease.borrow().is_valid(version, base::clock::now()))
    }

    fn is_in_force(&self, group: &Group, term: Term) -> bool {
        group
            .stable()
            .is_some_and(|record| record.term == term && self.is_lease_valid(record.version))
    }

    async fn confirm_position(
        &self,
        service: &Service,
        term: Term,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        fail::fail_point!("confirm-before");
        if position.term != term {
            let cause = format!("the primary of term {term} reported position {position}");
            return Err(Refusal::OutcomeUnknown(cause));
        }
        let group = self.use_group(service, Instant::now());
        if let Some(record) = group.in_force()
            && let Some(store) = record.store(&record.primary)
            && let Some(member) = self.member(&record.primary)
            && member.has_store(store)
        {
            group.record_primary_position(position);
        }
        self.await_confirmed(&group, term, position, deadline)
            .await?;
        group.record_acks(Instant::now(), AckBounds::exact(position));
        if let Some(since) = group.gap_start.take() {
            self.metrics.gap.observe(since.elapsed().as_secs_f64());
        }
        Ok(())
    }

    /// Waits until enough members confirm `position` and the write lease is valid after that.
    async fn await_confirmed(
        &self,
        group: &Rc<Group>,
        term: Term,
        position: Position,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let deadline_exceeded = |cause: &str| {
            Err(Refusal::OutcomeUnknown(format!(
                "{cause} before the deadline"
            )))
        };
        loop {
            let changed = group.listen();
            let record = group.current();
            let Some(record) = record.filter(|record| record.term >= term) else {
                // The term is newer than the known record; the new record has yet to arrive.
                if compio::time::timeout_at(deadline, changed).await.is_err() {
                    return deadline_exceeded("the record of the new primary did not arrive");
                }
                continue;
            };
            if record.term != term || group.in_force().is_none() {
                return Err(Refusal::OutcomeUnknown(format!(
                    "term {term} of the primary ended"
                )));
            }
            if !group.is_confirmed(position) && !disabled("confirm-disabled") {
                let _probe_request = group.request_probes(ProbeTarget::Replicas);
                let confirmed = group.wait_confirmed(position.offset);
                if compio::time::timeout_at(deadline, confirmed).await.is_err() {
                    return deadline_exceeded("too few databases confirmed it");
                }
                continue;
            }
            fail::fail_point!("confirm-after");
            // The lease must be checked after the confirmation: this process may have been frozen in
            // between, and the lease may have expired meanwhile.
            if self.is_lease_valid(record.version) {
                fail::fail_point!("lease-after");
                return Ok(());
            }
            if Instant::now() >= deadline {
                return deadline_exceeded("the write lease was not renewed");
            }
            let _changed = compio::time::timeout_at(deadline, changed).await;
        }
    }
}

/// Maps a pool error to a refusal. After [`PoolError::Closed`] it returns `Ok` following a short
/// pause with jitter, and the caller routes the request again.
async fn handle_pool_error(cause: PoolError, deadline: Instant) -> Result<(), Refusal> {
    match cause {
        PoolError::Full => Err(Refusal::QueueFull),
        PoolError::Deadline => Err(Refusal::Deadline),
        PoolError::Closed => {
            let pause = Duration::from_millis(rand::rng().random_range(2..10));
            compio::time::sleep_until((Instant::now() + pause).min(deadline)).await;
            Ok(())
        }
    }
}
