//! Dialect of databases that speak the PostgreSQL protocol.

use std::{net::IpAddr, rc::Rc};

use compio::net::TcpStream;
use wire::WireError;

use crate::{
    dialect::{Client, Dialect, OpenError, Upstream},
    member::Member,
    metrics::Metrics,
    probe,
};

/// Parameters of pooled connections.
///
/// A transaction on a broken connection holds its locks until the database ends it, and all others
/// that need the same rows wait. To keep healthy transactions that wait for their caller, an entry
/// process sends something on them every [`KEEPALIVE_INTERVAL`](crate::session::KEEPALIVE_INTERVAL).
const SESSION_DEFAULTS: [(&str, &str); 1] = [("idle_in_transaction_session_timeout", "5000")];

/// The PostgreSQL protocol.
#[derive(Debug, Clone, Copy, Default)]
pub struct Postgres;

impl Dialect for Postgres {
    type Client = wire::Client;

    const BINDS_STORE: bool = false;
    const TRACKS_POSITIONS: bool = true;
    const REPORTS_OVERLOAD: bool = false;

    async fn open(&self, stream: TcpStream, to: &Upstream) -> Result<wire::Client, OpenError> {
        wire::Client::open_with(stream, &to.user, &to.group, &SESSION_DEFAULTS)
            .await
            .map_err(|cause| OpenError::Failed(cause.to_string()))
    }

    async fn watch(member: Rc<Member<Self>>, from: IpAddr, metrics: Metrics) {
        probe::probe(member, from, metrics).await;
    }
}

impl Client for wire::Client {
    // These sessions set their parameters and prepared statements themselves.
    type SessionState = ();

    fn setup_cost(&self, (): &()) -> u32 {
        0
    }

    fn gains_from_early_setup((): &()) -> bool {
        false
    }

    fn has_bytes(&self) -> bool {
        self.reader.has_bytes()
    }

    fn traffic(&self) -> (u64, u64) {
        (self.writer.sent(), self.reader.received())
    }

    async fn check(&mut self) -> bool {
        let exchange = async {
            self.writer.parts(b'S', &[]);
            self.writer.flush().await?;
            loop {
                if self.frame().await?.transaction_status() == Some(b'I') {
                    return Ok::<_, WireError>(());
                }
            }
        };
        exchange.await.is_ok()
    }
}
