//! Shares of organisations' rate limits, lent to entry processes by the leader.

use std::time::Instant;

use base::{Version, document::Document, rates::Rates};
use capnp::Error;
use proto::schema::control;
use rate::{Answer, Ask, Call, HolderId, Ledger, OrgId, Share, capacity, org_id};

use crate::{gate::list_len, host::Host, log::Log};

/// Ledger of a leading host, with the version of the configuration that it applies.
#[derive(Debug)]
pub struct Lending {
    ledger: Ledger,
    config: Version,
}

impl Lending {
    /// Ledger of a host that became leader in `term` at `now`, with the configuration that former
    /// leaders may have applied.
    #[must_use]
    pub fn new(
        term: u64,
        (version, document): (Version, &Document),
        rates: &Rates,
        now: Instant,
    ) -> Self {
        let limits = (version > 0).then(|| limits(document, rates));
        Self {
            ledger: Ledger::new(term, limits, now),
            config: version,
        }
    }
}

/// Limits of the organisations that have one.
fn limits(document: &Document, rates: &Rates) -> Vec<(OrgId, Share)> {
    let limited = document
        .organisations
        .iter()
        .flatten()
        .filter_map(|organisation| {
            let limit = organisation.rate?;
            Some((org_id(&organisation.name), capacity(limit, rates)))
        });
    limited.collect()
}

impl<L: Log> Host<L> {
    /// Starts to lend at `now`, as the leader of `term`.
    pub(crate) fn start_lending(&self, term: u64, now: Instant) {
        let document = self.document();
        let config = (self.state.borrow().config.version, &**document);
        let lending = Lending::new(term, config, &self.identity.rates, now);
        *self.rates.borrow_mut() = Some(lending);
    }

    /// Extends and changes the shares of an entry process. `None` if this host doesn't lead, or the
    /// process has sent a later call. `now` is by [`base::clock`].
    pub fn lend_rates(&self, holder: &HolderId, call: &Call, now: Instant) -> Option<Answer> {
        let document = self.document();
        let version = self.state.borrow().config.version;
        let term = self.log.term();
        let mut lending = self.rates.borrow_mut();
        let lending = lending.as_mut()?;
        if !self.log.is_leader(now) || lending.ledger.term() != term {
            return None;
        }
        if lending.config != version {
            lending.config = version;
            let limits = limits(&document, &self.identity.rates);
            lending.ledger.configure(limits, now);
        }
        let answer = lending.ledger.lend(holder, call, now);
        let result = if answer.is_some() { "lent" } else { "late" };
        self.metrics.rate_calls.with_label_values(&[result]).inc();
        answer
    }
}

pub(crate) fn read_call(params: control::lend_rates_params::Reader<'_>) -> Result<Call, Error> {
    let asks = params.get_asks()?.iter().map(|ask| Ask {
        org: ask.get_org(),
        held: Share {
            rate: ask.get_rate(),
            depth: ask.get_depth(),
        },
        tokens: ask.get_tokens(),
        returned: ask.get_returned(),
        demand: ask.get_demand(),
        waiting: ask.get_waiting(),
        acknowledged: ask.get_acknowledged(),
    });
    Ok(Call {
        sequence: params.get_sequence(),
        leader: params.get_leader(),
        full: params.get_full(),
        asks: asks.collect(),
    })
}

pub(crate) fn fill_answer(answer: &Answer, mut results: control::lend_rates_results::Builder<'_>) {
    results.set_term(answer.term);
    let mut list = results.init_grants(list_len(&answer.grants));
    for (i, grant) in (0..).zip(&answer.grants) {
        let mut builder = list.reborrow().get(i);
        builder.set_org(grant.org);
        builder.set_rate(grant.share.rate);
        builder.set_depth(grant.share.depth);
        builder.set_tokens(grant.tokens);
        builder.set_instant(grant.instant);
        builder.set_exhausted(grant.exhausted);
    }
}
