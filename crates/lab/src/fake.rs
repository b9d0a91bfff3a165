//! Lightweight fake members and entry processes, to measure the cost of each to the real processes.

use std::{
    cell::RefCell,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use base::Position;
use compio::net::{TcpListener, TcpStream};
use proto::schema::{control, gate};
use serde_json::{Value, json};
use wire::{
    FrontendMessage, InitialMessage, Reader, WireError, Writer,
    pg::{
        data::{DataRow, FieldDescription, RowDescription},
        response::TransactionStatus,
        startup::Authentication,
    },
    reply,
};

use crate::site::{Host, UPSTREAM_PORT};

/// Limit for a message accepted by a member, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Interval between two lease renewals of an entry process.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Object id of the type `text`.
const TEXT_OID: u32 = 25;

/// A fake member that answers management statements and holds no data.
#[derive(Debug)]
pub struct Member {
    name: String,
    group: String,
    address: SocketAddr,
    state: RefCell<State>,
}

#[derive(Debug, Clone, Default)]
struct State {
    position: Position,
    primary: bool,
    following: String,
}

impl Member {
    /// Creates the member with a number; three consecutive numbers form a group.
    #[must_use]
    pub fn new(number: u16) -> Self {
        let [high, low] = number.to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, 1, high, low));
        Self {
            name: format!("member-{number}"),
            group: group(number / 3),
            address: SocketAddr::new(ip, UPSTREAM_PORT),
            state: RefCell::default(),
        }
    }

    /// Body of its announcement for the given zone and region.
    #[must_use]
    pub fn announcement(&self, zone: &str, region: &str) -> Value {
        json!({
            "member": self.name, "group": self.group, "store": self.name,
            "address": self.address.to_string(), "zone": zone, "region": region,
            "connections": 16, "slots": 2, "leaving": false,
        })
    }

    /// Accepts management connections until the process ends.
    ///
    /// # Errors
    /// The address can't be bound.
    pub async fn serve(self: Rc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        loop {
            let (stream, _peer) = listener.accept().await?;
            let member = Rc::clone(&self);
            compio::runtime::spawn(async move {
                let _ended = member.answer(stream).await;
            })
            .detach();
        }
    }

    async fn answer(&self, stream: TcpStream) -> Result<(), WireError> {
        let (read, write) = (stream.clone(), stream);
        let mut reader = Reader::new(read, MAX_MESSAGE_BYTES);
        let mut writer = Writer::new(write);
        let Some(InitialMessage::Startup(..)) = reader.initial_message().await? else {
            return Ok(());
        };
        writer.message(&Authentication::Ok)?;
        writer.message(&reply::backend_key_data(1, 1))?;
        writer.message(&reply::ready_for_query(TransactionStatus::Idle))?;
        writer.flush().await?;
        while let Some(frame) = reader.next().await? {
            if let FrontendMessage::Query(sql) = FrontendMessage::parse(&frame)? {
                self.run(&sql, &mut writer)?;
                writer.message(&reply::ready_for_query(TransactionStatus::Idle))?;
                writer.flush().await?;
            }
        }
        Ok(())
    }

    fn run(&self, sql: &str, writer: &mut Writer) -> Result<(), WireError> {
        let mut state = self.state.borrow_mut();
        let term = sql
            .rsplit(' ')
            .next()
            .and_then(|term| term.parse().ok())
            .unwrap_or(0);
        if sql.starts_with("PROMOTE") {
            *state = State {
                position: Position::new(term, state.position.offset),
                primary: true,
                following: String::new(),
            };
        } else if sql.starts_with("FOLLOW") {
            *state = State {
                position: Position::new(term, state.position.offset),
                primary: false,
                following: sql.split('\'').nth(1).unwrap_or_default().to_owned(),
            };
        } else {
            self.status(&state, writer)?;
        }
        writer.message(&reply::command_complete("OK"))
    }

    fn status(&self, state: &State, writer: &mut Writer) -> Result<(), WireError> {
        let role = if state.primary { "primary" } else { "replica" };
        let values = [
            ("member", self.name.clone()),
            ("store", self.name.clone()),
            ("role", role.to_owned()),
            ("term", state.position.term.to_string()),
            ("offset", state.position.offset.to_string()),
            ("primary", state.following.clone()),
        ];
        let field = |name: &str| FieldDescription::new(name.into(), 0, 0, TEXT_OID, -1, -1, 0);
        let fields = values.iter().map(|(name, _)| field(name)).collect();
        writer.message(&RowDescription::new(fields))?;
        let mut body = bytes::BytesMut::new();
        for (_, value) in &values {
            let length = i32::try_from(value.len()).unwrap_or(0);
            body.extend_from_slice(&length.to_be_bytes());
            body.extend_from_slice(value.as_bytes());
        }
        writer.message(&DataRow::new(body, 6))
    }
}

/// Name of the group with a number.
#[must_use]
pub fn group(number: u16) -> String {
    format!("group-{number}")
}

/// Latest configuration version of each fake entry process, by entry number and control host.
pub type Versions = Rc<RefCell<base::Map<(u32, Host), u64>>>;

/// Renews leases at one control host and watches its changes, as an entry process does, until a
/// call fails.
///
/// # Errors
/// The host can't be reached or the connection failed.
pub async fn run_entry(number: u32, control: Host, seen: Versions) -> Result<(), capnp::Error> {
    let from = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let stream = base::net::connect(from, control.address(), Duration::from_secs(5))
        .await
        .map_err(|cause| capnp::Error::failed(cause.to_string()))?;
    let (gate, system) = proto::rpc::open::<gate::Client>(stream);
    compio::runtime::spawn(async move {
        let _ended = system.await;
    })
    .detach();
    let client = gate
        .control_request()
        .send()
        .promise
        .await?
        .get()?
        .get_control()?;
    let versions = Rc::new(RefCell::new((0, 0)));
    let on_config_version = move |version| {
        seen.borrow_mut().insert((number, control), version);
    };
    let watching = watch(
        client.clone(),
        number,
        Rc::clone(&versions),
        on_config_version,
    );
    compio::runtime::spawn(async move {
        let _ended = watching.await;
    })
    .detach();
    loop {
        let mut call = client.renew_request();
        {
            let mut request = call.get().init_request();
            let (records, config) = *versions.borrow();
            request.set_entry(format!("fake-{number}").as_str());
            request.set_zone("fake");
            request.set_run(u64::from(number));
            request.set_record_version(records);
            request.set_config_version(config);
        };
        call.send().promise.await?;
        compio::time::sleep(RENEWAL_INTERVAL).await;
    }
}

async fn watch(
    client: control::Client,
    number: u32,
    versions: Rc<RefCell<(u64, u64)>>,
    on_config_version: impl Fn(u64),
) -> Result<(), capnp::Error> {
    let (mut directory, mut run) = (0, 0);
    loop {
        let mut call = client.watch_request();
        {
            let mut request = call.get().init_request();
            let (records, config) = *versions.borrow();
            request.set_entry(format!("fake-{number}").as_str());
            request.set_record_version(records);
            request.set_config_version(config);
            request.set_directory_version(directory);
            request.set_directory_run(run);
        };
        let answer = call.send().promise.await?;
        let reply = answer.get()?.get_reply()?;
        *versions.borrow_mut() = (reply.get_record_version(), reply.get_config_version());
        on_config_version(reply.get_config_version());
        (directory, run) = (reply.get_directory_version(), reply.get_directory_run());
    }
}
