//! Rate limits of organisations: the shares that this process holds, and the calls that extend them.

use std::{
    cell::RefCell,
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Map, OrgName, organisation::Organisation};
use compio::time::{sleep, timeout, timeout_at};
use event_listener::Event;
use proto::schema::control;
use rate::{Answer, Call, Grant, Holder, OrgId, Share, org_id};
use serde_json::{Value, json};

use crate::{dialect::Dialect, network::Network, refusal::Refusal};

/// Longest wait of an operation for a share: a few round trips between regions.
const PATIENCE: Duration = Duration::from_millis(300);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two calls. All operations that wait share one.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Shares that this process holds.
#[derive(Debug, Default)]
pub(crate) struct RateShares {
    holder: RefCell<Holder>,
    controls: Rc<Controls>,
    /// Notified when an operation waits for a share.
    needed: Event,
    /// Notified after each call, also a failed one.
    answered: Event,
}

/// Control interfaces of the linked control hosts.
#[derive(Default)]
struct Controls(RefCell<Map<SocketAddr, control::Client>>);

impl fmt::Debug for Controls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.0.borrow().keys()).finish()
    }
}

/// Registration of a linked control host, until it is dropped.
#[derive(Debug)]
pub(crate) struct Linked {
    controls: Rc<Controls>,
    address: SocketAddr,
}

impl Drop for Linked {
    fn drop(&mut self) {
        self.controls.0.borrow_mut().remove(&self.address);
    }
}

impl RateShares {
    /// Registers the control host at `address`, which may be asked while it leads.
    pub(crate) fn link(&self, address: SocketAddr, control: &control::Client) -> Linked {
        let mut controls = self.controls.0.borrow_mut();
        controls.insert(address, control.clone());
        Linked {
            controls: Rc::clone(&self.controls),
            address,
        }
    }
}

/// Admission of one operation: a statement outside transactions, or a transaction.
#[derive(Debug)]
pub struct Operation<D: Dialect> {
    /// Process and organisation whose limit it counts in; `None` without a limit.
    limited: Option<(Rc<Network<D>>, OrgId, OrgName)>,
    /// Whether a token is reserved for it.
    reserved: bool,
    /// Whether it was counted since the last run that may have had an effect.
    counted: bool,
}

impl<D: Dialect> Operation<D> {
    /// Counts the operation, unless it is counted already. Must be called right before each attempt to
    /// send it to a database.
    ///
    /// # Errors
    /// Its token is gone. The operation must not be sent.
    pub fn count(&mut self) -> Result<(), Refusal> {
        if self.counted {
            return Ok(());
        }
        self.release();
        if let Some((network, org, name)) = &self.limited {
            let mut holder = network.rates.holder.borrow_mut();
            if !holder.take(*org, base::clock::now()) {
                return Err(network.refuse_rate(name, "late"));
            }
        }
        self.counted = true;
        Ok(())
    }

    /// Records that a database may have run the operation. The next attempt counts again.
    pub const fn note_run(&mut self) {
        self.counted = false;
    }

    fn release(&mut self) {
        if std::mem::take(&mut self.reserved)
            && let Some((network, org, _)) = &self.limited
        {
            network.rates.holder.borrow_mut().release(*org);
        }
    }
}

impl<D: Dialect> Drop for Operation<D> {
    fn drop(&mut self) {
        self.release();
    }
}

impl<D: Dialect> Network<D> {
    /// Admits an operation of an organisation. Waits at most until `deadline` for a share of its limit.
    ///
    /// # Errors
    /// The limit is reached, or no share of it can be had in time.
    pub async fn admit(
        self: &Rc<Self>,
        organisation: Option<&Organisation>,
        deadline: Instant,
    ) -> Result<Operation<D>, Refusal> {
        let limited = organisation.filter(|organisation| organisation.rate.is_some());
        let Some(Organisation { name, .. }) = limited else {
            return Ok(Operation {
                limited: None,
                reserved: false,
                counted: true,
            });
        };
        let org = org_id(name);
        let until = deadline.min(Instant::now() + PATIENCE);
        let shares = &self.rates;
        let mut admission = shares.holder.borrow_mut().admit(org, base::clock::now());
        loop {
            match admission {
                rate::Admission::Reserved => {
                    return Ok(Operation {
                        limited: Some((Rc::clone(self), org, name.clone())),
                        reserved: true,
                        counted: false,
                    });
                }
                rate::Admission::Refused => return Err(self.refuse_rate(name, "limit")),
                rate::Admission::Wait => {
                    let answered = shares.answered.listen();
                    shares.needed.notify(usize::MAX);
                    if timeout_at(until, answered).await.is_err() {
                        return Err(self.refuse_rate(name, "no_share"));
                    }
                }
            }
            admission = shares.holder.borrow_mut().retry(org, base::clock::now());
        }
    }

    /// Counts a refusal by its cause.
    fn refuse_rate(&self, name: &str, cause: &str) -> Refusal {
        let refusals = &self.metrics.rate_refusals;
        refusals.with_label_values(&[cause]).inc();
        Refusal::RateLimit(name.to_owned())
    }

    /// Control host that led when it answered last.
    fn leader(&self) -> Option<control::Client> {
        let hosts = self.hosts.borrow();
        let controls = self.rates.controls.0.borrow();
        let leaders = hosts.iter().filter(|(_, host)| host.leader);
        let linked = leaders.filter_map(|(address, host)| {
            let control = controls.get(address)?;
            Some((host.last_answer, control))
        });
        let latest = linked.max_by_key(|(last_answer, _)| *last_answer);
        latest.map(|(_, control)| control.clone())
    }

    /// Shares of rate limits for the dump.
    pub(crate) fn rates_json(&self) -> Value {
        let names: Map<_, _> = self
            .organisations()
            .iter()
            .map(|organisation| (org_id(&organisation.name), organisation.name.clone()))
            .collect();
        let holder = self.rates.holder.borrow();
        let shares = holder
            .shares(base::clock::now())
            .map(|(org, share, tokens)| {
                json!({
                    "organisation": names.get(&org),
                    "rate": f64::from(share.rate) / 1e3,
                    "depth": f64::from(share.depth) / 1e3,
                    "tokens": f64::from(tokens) / 1e3,
                })
            });
        shares.collect()
    }
}

/// Calls the leader while operations wait or shares have to be extended, until the process ends.
pub(crate) async fn run<D: Dialect>(network: Rc<Network<D>>) {
    let shares = &network.rates;
    loop {
        let needed = shares.needed.listen();
        let now = base::clock::now();
        let (urgent, due) = {
            let holder = shares.holder.borrow();
            (holder.is_urgent(), holder.due(now))
        };
        if !urgent && due.is_none_or(|due| now < due) {
            match due {
                Some(due) => {
                    let _early = timeout(due.saturating_duration_since(now), needed).await;
                }
                None => needed.await,
            }
            continue;
        }
        if let Some(leader) = network.leader() {
            let done = call(&network, &leader).await;
            let result = if done.is_ok() { "ok" } else { "failed" };
            let calls = &network.metrics.control_calls;
            calls.with_label_values(&["lend_rates", result]).inc();
        } else {
            shares.holder.borrow_mut().clear_waiting();
        }
        let held = shares.holder.borrow().len();
        let gauge = &network.metrics.rate_shares;
        gauge.set(i64::try_from(held).unwrap_or(i64::MAX));
        shares.answered.notify(usize::MAX);
        sleep(CALL_INTERVAL).await;
    }
}

async fn call<D: Dialect>(
    network: &Network<D>,
    leader: &control::Client,
) -> Result<(), capnp::Error> {
    let holder = &network.rates.holder;
    let call = holder.borrow_mut().next_call(base::clock::now());
    let mut request = leader.lend_rates_request();
    let mut params = request.get();
    params.set_entry(&network.settings.name);
    params.set_run(network.run);
    write(&call, params);
    let answer = timeout(CALL_TIMEOUT, request.send().promise).await;
    let response =
        answer.map_err(|_elapsed| capnp::Error::failed("no answer in time".into()))??;
    let answer = read(call.sequence, response.get()?)?;
    holder.borrow_mut().apply(&answer, base::clock::now());
    Ok(())
}

fn write(call: &Call, mut params: control::lend_rates_params::Builder<'_>) {
    params.set_sequence(call.sequence);
    params.set_leader(call.leader);
    params.set_full(call.full);
    let count = u32::try_from(call.asks.len()).unwrap_or(u32::MAX);
    let mut list = params.init_asks(count);
    for (i, ask) in (0..).zip(&call.asks) {
        let mut builder = list.reborrow().get(i);
        builder.set_org(ask.org);
        builder.set_rate(ask.held.rate);
        builder.set_depth(ask.held.depth);
        builder.set_tokens(ask.tokens);
        builder.set_returned(ask.returned);
        builder.set_demand(ask.demand);
        builder.set_waiting(ask.waiting);
        builder.set_acknowledged(ask.acknowledged);
    }
}

fn read(
    sequence: u64,
    results: control::lend_rates_results::Reader<'_>,
) -> Result<Answer, capnp::Error> {
    if results.get_term() == 0 {
        return Err(capnp::Error::failed(
            "lend_rates: this host does not lead".into(),
        ));
    }
    let grants = results.get_grants()?.iter().map(|grant| Grant {
        org: grant.get_org(),
        share: Share {
            rate: grant.get_rate(),
            depth: grant.get_depth(),
        },
        tokens: grant.get_tokens(),
        instant: grant.get_instant(),
        exhausted: grant.get_exhausted(),
    });
    Ok(Answer {
        sequence,
        term: results.get_term(),
        grants: grants.collect(),
    })
}
