//! Admission of operations within the rate limits of organisations.

use std::time::Instant;

use entry::{dialect::Dialect, rates::Operation};

use crate::{
    shared::ResolvedRoute,
    single::refusal_failure,
    statement::{Failure, StatementClient},
};

impl<D: Dialect> ResolvedRoute<D>
where
    D::Client: StatementClient,
{
    /// Admits an operation of the caller's organisation, which is a statement outside transactions or
    /// a transaction.
    ///
    /// # Errors
    /// The organisation's limit is reached, or the shutdown ended the wait; nothing has run.
    pub(crate) async fn admit(&self, deadline: Instant) -> Result<Operation<D>, Failure> {
        let network = &self.shared.network;
        let admitting = network.admit(self.organisation.as_deref(), deadline);
        let admitted = self.shared.until_refused(admitting).await?;
        admitted.map_err(|refusal| refusal_failure(&refusal))
    }
}
