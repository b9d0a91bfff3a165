//! Admission of operations within the rate limits of organisations.

use std::time::Instant;

use entry::{dialect::Dialect, rates::Operation};

use crate::{shared::ResolvedRoute, single::refusal_failure, statement::Failure};

impl<D: Dialect> ResolvedRoute<D> {
    /// Admits an operation of the caller's organisation, which is a statement outside transactions or
    /// a transaction.
    ///
    /// # Errors
    /// The organisation's limit is reached; nothing has run.
    pub(crate) async fn admit(&self, deadline: Instant) -> Result<Operation<D>, Failure> {
        let network = &self.shared.network;
        let admitted = network.admit(self.organisation.as_deref(), deadline).await;
        admitted.map_err(|refusal| refusal_failure(&refusal))
    }
}
