//! Promotion by an [`Authority`] outside the deployment.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::Term;
use compio::time::sleep;

use crate::{
    calls::Calls,
    failover::SILENCE_LIMIT,
    host::Host,
    log::{Log, LogError},
    machine::{Member, Record},
    promotion::probe,
    upstream::{Authority, CallOutcome, Fence},
};

/// Interval between reads of the member's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a status is also read through the other control hosts.
const RELAY_DELAY: Duration = Duration::from_millis(400);
/// Interval between warnings that the authority does not act.
const WARNING_INTERVAL: Duration = Duration::from_secs(5);

/// Has the authority promote `target`, and returns the term that it leads.
///
/// The member is not given up for as long as it answers: another one would need the same authority, and
/// a late promotion of this one would take its place.
///
/// # Errors
/// [`LogError::NotLeader`] once this host no longer leads. The inner error says why the member is given
/// up.
pub(crate) async fn appoint<L: Log>(
    host: &Rc<Host<L>>,
    authority: &dyn Authority,
    record: &Record,
    target: &Member,
    calls: &mut Calls,
) -> Result<Result<Term, String>, LogError> {
    let fence = Fence {
        holder: host.identity.name.clone(),
        token: host.log.term(),
    };
    let leads = || host.leads() && host.log.term() == fence.token;
    let member = target.member.as_str();
    let (mut accepted, mut silent_since) = (false, None::<Instant>);
    let mut warned_at = Instant::now();
    loop {
        if !leads() {
            return Err(LogError::NotLeader(host.log.leader()));
        }
        if host
            .announced_store(member)
            .is_some_and(|store| store != target.store)
        {
            return Ok(Err("it restarted since it was chosen".to_owned()));
        }
        let address = host.target(&record.group, target);
        if calls.is_due(member, Instant::now()) {
            let start = Instant::now();
            let outcome = authority.promote(&address, &fence, &leads).await;
            slog::info!(host.logger, "promotion requested"; "group" => &record.group,
                "member" => member, "term" => record.next, "token" => fence.token,
                "outcome" => ?outcome, "ms" => crate::host::millis(start.elapsed()));
            calls.record(member, Instant::now(), &outcome);
            accepted |= outcome == CallOutcome::Accepted;
            if let CallOutcome::Refused(cause) = outcome {
                return Ok(Err(cause));
            }
            sleep(POLL_INTERVAL).await;
        }
        let start = Instant::now();
        match probe(host, address, RELAY_DELAY).await {
            // The present primary keeps its term when it is requested again.
            Some(status)
                if status.primary
                    && (status.position.term > record.term
                        || accepted && status.position.term == record.term) =>
            {
                return Ok(Ok(status.position.term));
            }
            Some(_) => silent_since = None,
            None if silent_since.get_or_insert(start).elapsed() >= SILENCE_LIMIT => {
                return Ok(Err(format!("it does not answer for {SILENCE_LIMIT:?}")));
            }
            None => {}
        }
        if warned_at.elapsed() >= WARNING_INTERVAL {
            warned_at = Instant::now();
            slog::warn!(host.logger, "the promotion is not carried out"; "group" => &record.group,
                "member" => member, "term" => record.next);
        }
        sleep(POLL_INTERVAL.saturating_sub(start.elapsed())).await;
    }
}
