//! One caller: a driver session through an entry host, with its token.

use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    task::Poll,
    time::Duration,
};

use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage, types::ToSql};

/// How long a caller waits for a connection.
const CONNECT: Duration = Duration::from_secs(5);
/// How long a caller waits for an answer, well over every deadline of the product.
const ANSWER: Duration = Duration::from_secs(40);

/// Reported parameter that carries the token.
pub const TOKEN_PARAMETER: &str = "goldcrestrail.token";

/// A session of an ordinary driver.
#[derive(Debug)]
pub struct Session {
    client: Client,
    token: Arc<Mutex<Option<String>>>,
    /// Address of the entry host or database.
    pub address: SocketAddr,
}

/// What a request came to, as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The write was acknowledged, or the read answered.
    Done,
    /// Refused as certainly not run, with the SQLSTATE.
    NotRun(String),
    /// It may have run: the SQLSTATE, or what broke.
    Unknown(String),
    /// It ran and failed, with the SQLSTATE.
    Failed(String),
}

impl Outcome {
    /// Reads a driver error by the outcome table of the product.
    #[must_use]
    pub fn of(error: &Error) -> Self {
        match error.code() {
            None => Self::Unknown(error.to_string()),
            Some(code) if code.code().starts_with("ZN") => Self::NotRun(code.code().into()),
            Some(code) if code.code().starts_with("ZU") => Self::Unknown(code.code().into()),
            // The connection is ended at a transaction boundary or before login.
            Some(code) if matches!(code.code(), "57P01" | "57P03" | "53300") => {
                Self::NotRun(code.code().into())
            }
            Some(code) => Self::Failed(code.code().into()),
        }
    }
}

impl Session {
    /// Opens a session, with the token of an earlier one if there is any.
    ///
    /// # Errors
    /// The host can't be reached in time or refuses.
    pub async fn open(
        address: SocketAddr,
        database: &str,
        token: Option<&str>,
    ) -> Result<Self, Outcome> {
        let mut config = Config::new();
        config
            .host(address.ip().to_string())
            .port(address.port())
            .user("lab")
            .dbname(database)
            .connect_timeout(CONNECT);
        if let Some(token) = token {
            config.options(format!("-c {TOKEN_PARAMETER}={token}"));
        }
        let connecting = tokio::time::timeout(CONNECT, config.connect(NoTls));
        let (client, mut connection) = match connecting.await {
            Ok(Ok(pair)) => pair,
            Ok(Err(error)) => return Err(Outcome::NotRun(error.to_string())),
            Err(_elapsed) => return Err(Outcome::NotRun("connect timeout".into())),
        };
        let shared = Arc::new(Mutex::new(token.map(str::to_owned)));
        let slot = Arc::clone(&shared);
        tokio::spawn(poll_fn(move |context| {
            loop {
                let polled = connection.poll_message(context);
                if let Some(token) = connection.parameter(TOKEN_PARAMETER)
                    && !token.is_empty()
                {
                    *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(token.to_owned());
                }
                match polled {
                    Poll::Ready(Some(Ok(_notice))) => {}
                    Poll::Ready(_ended) => return Poll::Ready(()),
                    Poll::Pending => return Poll::Pending,
                }
            }
        }));
        Ok(Self {
            client,
            token: shared,
            address,
        })
    }

    /// Token that the next session should carry.
    #[must_use]
    pub fn token(&self) -> Option<String> {
        self.token
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// The driver's client.
    #[must_use]
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs statements by the simple protocol and returns the rows as text.
    ///
    /// # Errors
    /// What the refusal or the break means.
    pub async fn simple(&self, sql: &str) -> Result<Vec<Vec<Option<String>>>, Outcome> {
        let answer = tokio::time::timeout(ANSWER, self.client.simple_query(sql))
            .await
            .map_err(|_elapsed| Outcome::Unknown("no answer".into()))?
            .map_err(|error| Outcome::of(&error))?;
        Ok(answer
            .iter()
            .filter_map(|message| match message {
                SimpleQueryMessage::Row(row) => Some(
                    (0..row.len())
                        .map(|i| row.get(i).map(str::to_owned))
                        .collect(),
                ),
                _ => None,
            })
            .collect())
    }

    /// Reads a caller's counter by the extended protocol, as (owner, count).
    ///
    /// # Errors
    /// What the refusal or the break means.
    pub async fn counter(&self, caller: i64) -> Result<(i64, i64), Outcome> {
        let parameters: [&(dyn ToSql + Sync); 1] = [&caller];
        let reading = self.client.query_one(
            "SELECT caller, n FROM counter WHERE caller = $1",
            &parameters,
        );
        let row = tokio::time::timeout(ANSWER, reading)
            .await
            .map_err(|_elapsed| Outcome::Unknown("no answer".into()))?
            .map_err(|error| Outcome::of(&error))?;
        Ok((row.get(0), row.get(1)))
    }
}
