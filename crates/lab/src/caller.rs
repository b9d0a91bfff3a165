//! Session of a caller: a PostgreSQL connection and its session token.

use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    task::Poll,
    time::Duration,
};

use tokio_postgres::{Client, Config, Error, NoTls, SimpleQueryMessage, types::ToSql};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for an answer, well above every deadline of the product.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);

/// Parameter in which the product reports the token and a caller sends it.
pub const TOKEN_PARAMETER: &str = "goldcrestrail.token";

/// A session with an entry host or a database, through an unmodified PostgreSQL driver.
#[derive(Debug)]
pub struct Session {
    client: Client,
    token: Arc<Mutex<Option<String>>>,
    /// Address of the entry host or database.
    pub address: SocketAddr,
}

/// Outcome of a request, as known to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The write was acknowledged, or the read was answered.
    Done,
    /// It was certainly not run: the SQLSTATE, or a description.
    NotRun(String),
    /// It may have been run: the SQLSTATE, or a description of the failure.
    Unknown(String),
    /// It was run and failed: the SQLSTATE.
    Failed(String),
}

impl Outcome {
    /// Classifies a driver error by the SQLSTATE classes that the product documents.
    #[must_use]
    pub fn from_error(error: &Error) -> Self {
        match error.code() {
            None => Self::Unknown(error.to_string()),
            Some(code) if code.code().starts_with("ZN") => Self::NotRun(code.code().into()),
            Some(code) if code.code().starts_with("ZU") => Self::Unknown(code.code().into()),
            // The connection was closed at a transaction boundary or before login.
            Some(code) if matches!(code.code(), "57P01" | "57P03" | "53300") => {
                Self::NotRun(code.code().into())
            }
            Some(code) => Self::Failed(code.code().into()),
        }
    }
}

impl Session {
    /// Opens a session, with the token of an earlier session if there is one.
    ///
    /// # Errors
    /// The host can't be reached in time or refuses the connection.
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
            .connect_timeout(CONNECT_TIMEOUT);
        if let Some(token) = token {
            config.options(format!("-c {TOKEN_PARAMETER}={token}"));
        }
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, config.connect(NoTls));
        let (client, mut connection) = match connecting.await {
            Ok(Ok(pair)) => pair,
            Ok(Err(error)) => return Err(Outcome::NotRun(error.to_string())),
            Err(_elapsed) => return Err(Outcome::NotRun("connect timeout".into())),
        };
        let shared_token = Arc::new(Mutex::new(token.map(str::to_owned)));
        let reported_token = Arc::clone(&shared_token);
        tokio::spawn(poll_fn(move |context| {
            loop {
                let polled = connection.poll_message(context);
                if let Some(token) = connection.parameter(TOKEN_PARAMETER)
                    && !token.is_empty()
                {
                    *reported_token
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner) = Some(token.to_owned());
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
            token: shared_token,
            address,
        })
    }

    /// Latest token, which the caller's next session should send.
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

    /// Whether the connection is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs statements with the simple query protocol and returns the rows as text.
    ///
    /// # Errors
    /// The outcome of a request that did not succeed.
    pub async fn simple(&self, sql: &str) -> Result<Vec<Vec<Option<String>>>, Outcome> {
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, self.client.simple_query(sql))
            .await
            .map_err(|_elapsed| Outcome::Unknown("no answer".into()))?
            .map_err(|error| Outcome::from_error(&error))?;
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

    /// Reads a caller's counter with the extended query protocol, as (owner, count).
    ///
    /// # Errors
    /// The outcome of a request that did not succeed.
    pub async fn counter(&self, caller: i64) -> Result<(i64, i64), Outcome> {
        let parameters: [&(dyn ToSql + Sync); 1] = [&caller];
        let reading = self.client.query_one(
            "SELECT caller, n FROM counter WHERE caller = $1",
            &parameters,
        );
        let row = tokio::time::timeout(ANSWER_TIMEOUT, reading)
            .await
            .map_err(|_elapsed| Outcome::Unknown("no answer".into()))?
            .map_err(|error| Outcome::from_error(&error))?;
        Ok((row.get(0), row.get(1)))
    }
}
