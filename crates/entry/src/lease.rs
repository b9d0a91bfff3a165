//! Connections for the requests of a session, and the caller's right to them.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::document::Service;

use crate::{
    fleet::{Admitted as _, Fleet, Lease, ReadRequirement},
    refusal::Refusal,
    request::RequestError,
    session::{Session, State},
};

impl<F: Fleet> Session<F> {
    /// Checks the caller's key before a request. If it doesn't hold any more, an open transaction is
    /// rolled back.
    pub(crate) fn check_key(&mut self) -> Result<(), Refusal> {
        match self.state {
            State::Idle => {
                self.owner = self.shared.fleet.identify(self.settings.key.as_ref())?;
                Ok(())
            }
            State::Open(_) | State::Replay(_) => {
                let confirmed = self.confirm_owner();
                if confirmed.is_err() {
                    // Closing the connection rolls the transaction back.
                    self.state = State::Aborted;
                }
                confirmed
            }
            State::Aborted => Ok(()),
        }
    }

    fn confirm_owner(&self) -> Result<(), Refusal> {
        let owner = self.owner.as_ref().map(|known| known.name.as_str());
        let key = self.settings.key.as_ref();
        Ok(self.shared.fleet.confirm_owner(key, owner)?)
    }

    /// Leases a connection that may run the request, within the rate limit of the caller's
    /// organisation, and unless its key was taken away while it waited.
    pub(crate) async fn lease(
        &mut self,
        service: &Service,
        primary: bool,
        deadline: Instant,
    ) -> Result<F::Lease, RequestError> {
        let organisation = self.owner.as_deref();
        let shared = Rc::clone(&self.shared);
        let admitting = shared.fleet.admit(organisation, deadline);
        let admitted = shared.until_ending(admitting).await;
        let mut operation = admitted.ok_or(Refusal::Stopping)??;
        let acquiring = self.acquire(service, primary, deadline);
        let acquired = shared.until_ending(acquiring).await;
        let lease = acquired.ok_or(Refusal::Stopping)??;
        let confirmed = self.confirm_owner();
        if let Err(cause) = confirmed.and_then(|()| operation.count()) {
            lease.release();
            return Err(cause.into());
        }
        Ok(lease)
    }

    async fn acquire(
        &mut self,
        service: &Service,
        primary: bool,
        deadline: Instant,
    ) -> Result<F::Lease, RequestError> {
        let cancelled = || {
            let text = "not run: cancelled while it waited for a connection";
            RequestError::Error("57014", text.to_owned())
        };
        let slot = &self.registration.slot;
        let owner = self.owner.as_ref().map(|known| known.name.as_str());
        if primary {
            let acquiring = self.shared.fleet.write(service, owner, deadline);
            let lease = slot
                .unless_cancelled(acquiring)
                .await
                .ok_or_else(cancelled)?;
            return Ok(lease?);
        }
        let parameters = &self.settings.parameters;
        let max_age_limit = Duration::from_millis(service.freshness.max_age_ms);
        let requirement = ReadRequirement {
            token: parameters.token,
            max_age: parameters.max_age.map(|age| age.min(max_age_limit)),
            since: self.started_at,
            deadline,
        };
        let acquiring = self.shared.fleet.read(service, owner, requirement);
        let outcome = slot.unless_cancelled(acquiring).await;
        let (lease, token) = outcome.ok_or_else(cancelled)??;
        if token.is_some() {
            self.settings.parameters.token = token;
        }
        Ok(lease)
    }
}
