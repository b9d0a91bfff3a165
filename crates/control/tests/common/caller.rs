//! RPC client that acts as an entry process of a control host.

use std::net::SocketAddr;

use compio::{net::TcpStream, runtime::JoinHandle};
use control::{host::Renewal, sighting::Health};
use proto::schema::{self, control as calls, gate};

/// Connection to one control host.
pub struct Caller {
    client: calls::Client,
    _task: JoinHandle<()>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (gate, driver) = proto::rpc::open::<gate::Client>(stream);
        let task = compio::runtime::spawn(async move {
            let _ended = driver.await;
        });
        let client = gate.control_request().send().pipeline.get_control();
        Some(Self {
            client,
            _task: task,
        })
    }

    /// Sends a renewal and returns the record version of the host.
    pub async fn renew(&self, renewal: &Renewal) -> Result<u64, capnp::Error> {
        let mut request = self.client.renew_request();
        fill(renewal, request.get().init_request());
        let response = request.send().promise.await?;
        Ok(response.get()?.get_reply()?.get_record_version())
    }
}

fn fill(renewal: &Renewal, mut builder: schema::renew_request::Builder<'_>) {
    builder.set_entry(&renewal.entry);
    builder.set_zone(&renewal.zone);
    builder.set_run(renewal.run);
    builder.set_record_version(renewal.record_version);
    builder.set_config_version(renewal.config_version);
    let count = u32::try_from(renewal.announcements.len()).unwrap();
    let mut list = builder.reborrow().init_announcements(count);
    for (i, (announcement, age)) in (0..).zip(&renewal.announcements) {
        let mut builder = list.reborrow().get(i);
        builder.set_member(&announcement.member);
        builder.set_group(&announcement.group);
        builder.set_store(&announcement.store);
        builder.set_address(&announcement.address);
        builder.set_zone(&announcement.zone);
        builder.set_region(&announcement.region);
        builder.set_connections(announcement.connections);
        builder.set_slots(announcement.slots);
        builder.set_age(u32::try_from(age.as_millis()).unwrap());
    }
    let count = u32::try_from(renewal.sightings.len()).unwrap();
    let mut list = builder.init_sightings(count);
    for (i, (group, member, sighting)) in (0..).zip(&renewal.sightings) {
        let mut builder = list.reborrow().get(i);
        builder.set_group(group);
        builder.set_member(member);
        builder.set_health(match sighting.health {
            Health::Ok => schema::Health::Ok,
            Health::Refused => schema::Health::Refused,
            Health::Silent => schema::Health::Silent,
        });
        builder.set_since(u32::try_from(sighting.since.as_millis()).unwrap());
        builder.set_primary(sighting.primary);
        let mut position = builder.init_position();
        position.set_term(sighting.position.term);
        position.set_offset(sighting.position.offset);
    }
}
