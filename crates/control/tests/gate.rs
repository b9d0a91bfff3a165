//! RPC server over loopback.

mod common;

use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use base::Set;
use common::{Cluster, FakeLog, Group, SharedLog, configure, past_start, stable_group};
use compio::{
    io::AsyncWriteExt as _,
    net::{TcpListener, TcpStream},
    runtime::spawn,
    time::{sleep, timeout},
};
use control::{
    directory::Announcement,
    gate,
    host::{Host, Identity},
    log::Log,
    machine::{Command, GroupState, Record},
    permits::NEW_LEADER_DELAY,
    upstream::Postgres,
};
use proto::schema::{self, control as calls};
use rstest::rstest;

type Watched = capnp::capability::Response<calls::watch_results::Owned>;

/// Starts a single control host with its RPC server.
async fn serve() -> (Rc<Host<FakeLog>>, SocketAddr, Rc<SharedLog>) {
    let shared = Rc::new(SharedLog::default());
    let (log, state) = FakeLog::join("c0", &shared);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = Identity {
        name: "c0".to_owned(),
        zone: "z0".to_owned(),
        region: "r0".to_owned(),
        host: IpAddr::V4(Ipv4Addr::LOCALHOST),
        peers: vec![("c0".to_owned(), address)],
        allow_replacement: false,
        seat_index: 0,
        rates: base::rates::Rates::default(),
    };
    let databases = Rc::new(Postgres {
        host: identity.host,
    });
    let host = Host::new(
        past_start(),
        identity,
        log,
        databases,
        state,
        base::log::silent(),
    );
    spawn(gate::serve(Rc::clone(&host), listener)).detach();
    spawn(control::leader::report_applied(Rc::clone(&host))).detach();
    spawn(control::leader::run(Rc::clone(&host))).detach();
    shared.set_leader("c0");
    (host, address, shared)
}

async fn connect(address: SocketAddr) -> calls::Client {
    let stream = TcpStream::connect(address).await.unwrap();
    let (gate, driver) = proto::rpc::open::<schema::gate::Client>(stream);
    spawn(async move {
        let _ended = driver.await;
    })
    .detach();
    gate.control_request().send().pipeline.get_control()
}

/// Sends a watch request with the versions that the caller has: records, configuration, directory,
/// and the run of the directory.
async fn watch(client: &calls::Client, has: (u64, u64, u64, u64)) -> Watched {
    let mut request = client.watch_request();
    let mut builder = request.get().init_request();
    builder.set_entry("e");
    builder.set_record_version(has.0);
    builder.set_config_version(has.1);
    builder.set_directory_version(has.2);
    builder.set_directory_run(has.3);
    request.send().promise.await.unwrap()
}

/// Guards against a change that entry processes learn of only at the end of a poll.
#[compio::test]
async fn watch_answers_at_once_on_change() {
    let (host, address, _shared) = serve().await;
    let client = connect(address).await;
    let run = host.run;

    let start = Instant::now();
    let (reply, ()) = futures_util::join!(watch(&client, (0, 0, 0, run)), async {
        sleep(Duration::from_millis(100)).await;
        host.log
            .propose(configure("one", 0, "# text").encode())
            .await
            .unwrap();
    });

    let reply = reply.get().unwrap().get_reply().unwrap();
    assert_eq!(reply.get_config_version(), 1);
    assert_eq!(reply.get_document().unwrap().to_str().unwrap(), "# text");
    assert!(
        start.elapsed() < Duration::from_millis(500),
        "{:?}",
        start.elapsed()
    );
}

/// Guards against entry processes that turn to control hosts that are gone: a host that still applies
/// what was committed before its start knows former seats only.
#[compio::test]
async fn seats_are_told_once_the_host_is_current() {
    let (host, address, _shared) = serve().await;
    let client = connect(address).await;
    let seat = Command::Seat {
        name: "c0".to_owned(),
        address: "127.0.0.7:1".to_owned(),
        base: None,
    };
    host.log.propose(seat.encode()).await.unwrap();
    let mut told = Vec::new();

    for (caught_up, known) in [(false, 1), (true, 1), (true, 2)] {
        host.log.caught_up.set(caught_up);
        let mut request = client.watch_request();
        request.get().init_request().set_seats_known(known);
        let reply = request.send().promise.await.unwrap();
        let reply = reply.get().unwrap().get_reply().unwrap();
        told.push((reply.get_seats_version(), reply.get_seats().unwrap().len()));
    }

    assert_eq!(told, [(0, 0), (1, 1), (0, 0)]);
}

/// Guards against a poll that never ends, and against sending what the caller already has.
#[compio::test]
async fn watch_without_changes_answers_after_one_second() {
    let (host, address, _shared) = serve().await;
    host.log
        .propose(configure("one", 0, "# text").encode())
        .await
        .unwrap();
    let client = connect(address).await;

    let start = Instant::now();
    let reply = watch(&client, (0, 1, 0, host.run)).await;

    let reply = reply.get().unwrap().get_reply().unwrap();
    assert!(start.elapsed() >= Duration::from_millis(950));
    assert!(start.elapsed() < Duration::from_millis(1_500));
    assert!(reply.get_document().unwrap().is_empty());
}

/// Guards against memory that grows with every poll that ends without a change.
#[compio::test]
async fn ended_polls_leave_no_wakers() {
    let (host, address, _shared) = serve().await;
    let client = connect(address).await;

    for _ in 0..3 {
        watch(&client, (0, 0, 0, host.run)).await;
    }

    assert_eq!(host.changes.waiting(), 0);
}

/// Guards against an empty reply after a restart of the control host, because the caller has the
/// directory version of the former run.
#[compio::test]
async fn watch_sends_whole_directory_to_caller_of_another_run() {
    let (host, address, _shared) = serve().await;
    let group = Group::start().await;
    host.renew(Instant::now(), group.renewal(0, 0, Group::actual_health));
    let client = connect(address).await;

    let known = host.directory.borrow().version();
    let reply = watch(&client, (0, 0, known, host.run.wrapping_add(1))).await;

    let reply = reply.get().unwrap().get_reply().unwrap();
    assert_eq!(reply.get_announcements().unwrap().len(), 3);
    assert_eq!(reply.get_directory_run(), host.run);
}

/// Guards against a control host that runs out of memory while hundreds of entry processes on slow
/// links start: an answer holds a part of the changes, and the versions in it lead to the rest.
#[compio::test]
async fn watch_sends_many_changes_in_parts() {
    let (host, address, _shared) = serve().await;
    for i in 0..250_u64 {
        let announcement = Announcement {
            member: format!("m{i}"),
            group: "g".to_owned(),
            ..Announcement::default()
        };
        host.receive_announcement(Instant::now(), announcement);
        let mut state = host.state.borrow_mut();
        state.version = 1_000 + i;
        let (group, version) = (format!("g{}", 250 - i), state.version);
        let record = Record {
            group: group.clone(),
            term: 1,
            state: GroupState::Stable,
            next: 0,
            primary: "a".to_owned(),
            members: Vec::new(),
            confirmations: 1,
            planned: None,
            removed: BTreeSet::new(),
            uncovered: 0,
            abandoned: BTreeSet::new(),
            stopping: BTreeSet::new(),
            base: None,
            former: None,
            version,
        };
        state.records.insert(group, record);
    }
    let client = connect(address).await;

    let (mut records, mut directory) = (0, 0);
    let (mut groups, mut members, mut parts) = (Set::default(), Set::default(), 0);
    while groups.len() < 250 || members.len() < 250 {
        let reply = watch(&client, (records, 0, directory, host.run)).await;
        let reply = reply.get().unwrap().get_reply().unwrap();
        parts += 1;
        assert!(reply.get_records().unwrap().len() <= 100);
        assert!(reply.get_announcements().unwrap().len() <= 100);
        for record in reply.get_records().unwrap() {
            let is_new = groups.insert(record.get_group().unwrap().to_string().unwrap());
            assert!(is_new && record.get_version() <= reply.get_record_version());
        }
        for announcement in reply.get_announcements().unwrap() {
            let member = announcement.get_member().unwrap().to_string().unwrap();
            assert!(members.insert(member));
        }
        records = reply.get_record_version();
        directory = reply.get_directory_version();
    }

    assert_eq!(parts, 3);
    assert_eq!(records, host.state.borrow().version);
    assert_eq!(directory, host.directory.borrow().version());
}

/// Guards against fields that are lost between the message and the host, and against permits that
/// exceed the pool.
#[compio::test]
async fn renewal_over_rpc_grants_lease_and_permits() {
    let (host, address, _shared) = serve().await;
    let document = "[[service]]\nname = \"s\"\ngroup = \"g\"\n";
    host.log
        .propose(configure("one", 0, document).encode())
        .await
        .unwrap();
    sleep(NEW_LEADER_DELAY + Duration::from_millis(100)).await;
    let client = connect(address).await;

    let mut request = client.renew_request();
    let mut builder = request.get().init_request();
    builder.set_entry("e1");
    builder.set_zone("z1");
    builder.set_run(7);
    builder.set_http("127.0.0.1:1");
    let mut announcement = builder.reborrow().init_announcements(1).get(0);
    announcement.set_member("a");
    announcement.set_group("g");
    announcement.set_zone("z1");
    announcement.set_region("r1");
    announcement.set_connections(16);
    let mut demand = builder.init_demands(1).get(0);
    demand.set_member("a");
    demand.set_wanted(50);
    let reply = request.send().promise.await.unwrap();

    let reply = reply.get().unwrap().get_reply().unwrap();
    assert!(reply.get_granted() && reply.get_leader());
    assert_eq!(
        (reply.get_duration(), reply.get_permit_duration()),
        (2_000, 4_000)
    );
    let permits = reply.get_permits().unwrap();
    assert_eq!((permits.len(), permits.get(0).get_lent()), (1, 7));
    let directory = host.directory.borrow();
    let entry = &directory.entries()["e1"];
    assert_eq!((entry.zone.as_str(), entry.run), ("z1", 7));
    assert_eq!(directory.member("a").unwrap().announcement.connections, 16);
    let counted = host.metrics.region_bytes.with_label_values(&["e1"]).get();
    assert!(counted > 0, "the entry process is in another region");
}

/// Renews with a numbered report. The first one names a member that refuses connections, later ones
/// report no changes. Returns whether the host requests a complete report and whether it grants the
/// lease.
async fn renew_numbered(client: &calls::Client, sequence: u32) -> (bool, bool) {
    let mut request = client.renew_request();
    let mut builder = request.get().init_request();
    builder.set_sequence(sequence);
    if sequence == 1 {
        builder.set_entry("e1");
        builder.set_zone("z1");
        builder.set_run(7);
        let mut name = builder.reborrow().init_names(1).get(0);
        name.set_number(3);
        name.set_group("g");
        name.set_member("a");
        let mut seen = builder.reborrow().init_seen(1).get(0);
        seen.set_number(3);
        seen.set_health(schema::Health::Refused);
        let mut wanted = builder.init_wanted(1).get(0);
        wanted.set_number(3);
        wanted.set_used(2);
        wanted.set_wanted(2);
    }
    let reply = request.send().promise.await.unwrap();
    let reply = reply.get().unwrap().get_reply().unwrap();
    (reply.get_resync(), reply.get_granted())
}

/// Guards against state of an entry process that expires while its renewals report no changes. A
/// new leader that received the same reports would then know less.
#[compio::test]
async fn reports_without_changes_keep_state() {
    let (host, address, _shared) = serve().await;
    let client = connect(address).await;

    let first = renew_numbered(&client, 1).await;
    let before = host.directory.borrow().entries()["e1"].renewed_at;
    let second = renew_numbered(&client, 2).await;

    assert_eq!((first, second), ((false, true), (false, true)));
    let directory = host.directory.borrow();
    let entry = &directory.entries()["e1"];
    assert!(entry.renewed_at > before);
    assert_eq!((entry.run, entry.used.get("a")), (7, Some(&2)));
}

/// Guards against changes that are applied to another state than the one they are based on. This
/// happens after a lost or repeated report, or on a connection without a complete report, as after
/// a restart of the control host.
#[rstest]
#[case::lost(&[1, 2], 4)]
#[case::repeated(&[1, 2], 2)]
#[case::new_connection(&[], 2)]
fn report_after_gap_is_neither_granted_nor_used(#[case] before: &[u32], #[case] wrong: u32) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let (host, address, _shared) = serve().await;
        let client = connect(address).await;
        for &sequence in before {
            renew_numbered(&client, sequence).await;
        }
        let entries = host.directory.borrow().entries().len();

        let gap = renew_numbered(&client, wrong).await;
        let next = renew_numbered(&client, wrong + 1).await;
        let known = host.directory.borrow().entries().len();
        let complete = renew_numbered(&client, 1).await;

        assert_eq!((gap, next), ((true, false), (true, false)));
        assert_eq!(known, entries);
        assert_eq!(complete, (false, true));
    });
}

/// Guards against invalid data on the RPC port that affects other callers.
#[compio::test]
async fn garbage_does_not_disturb_others() {
    let (host, address, _shared) = serve().await;
    for garbage in [
        vec![0xff_u8; 4_096],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        vec![0; 64],
    ] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(garbage).await.0.unwrap();
        sleep(Duration::from_millis(20)).await;
    }

    let client = connect(address).await;
    let reply = timeout(Duration::from_secs(3), watch(&client, (0, 0, 0, host.run))).await;

    reply.unwrap();
}

/// Guards against a member that gets work although it no longer announces itself.
#[compio::test]
async fn silent_member_is_announced_as_lost() {
    let (cluster, _group) = stable_group().await;
    let host = Rc::clone(cluster.leader());
    let known = host.directory.borrow().version();

    sleep(Duration::from_millis(3_500)).await;

    let now = Instant::now();
    let directory = host.directory.borrow();
    let lost = directory.changed_since(known);
    assert_eq!(lost.len(), 3);
    assert!(
        lost.iter()
            .all(|received| now.duration_since(received.received_at) >= Duration::from_secs(3))
    );
    assert!(directory.present_members(now, "g").is_empty());
}

/// Guards against a learner that grants leases, or whose report ends the wait for old ones.
#[compio::test]
async fn host_that_lost_its_disk_neither_grants_nor_reports() {
    let cluster = Cluster::start().await;
    let group = Group::start().await;
    cluster.hosts[1].host.log.learner.set(true);

    let granted = cluster.renew(&group.renewal(0, 0, Group::actual_health));
    let reported = cluster
        .leader()
        .peers
        .grants_expired("c1", 5, "g")
        .await
        .unwrap();
    let other = cluster
        .leader()
        .peers
        .grants_expired("c2", 0, "g")
        .await
        .unwrap();

    assert_eq!(granted, [true, false, true]);
    assert_eq!(reported.0, None);
    assert_eq!(other.0, Some(true));
}

/// Records the cancel requests that it receives.
struct CancelRecorder(Rc<RefCell<Vec<(i32, i32)>>>);

impl schema::canceller::Server for CancelRecorder {
    async fn cancel(
        self: Rc<Self>,
        params: schema::canceller::CancelParams,
        _results: schema::canceller::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let request = (params.get_pid(), params.get_secret());
        self.0.borrow_mut().push(request);
        Ok(())
    }
}

async fn cancel(client: &calls::Client, pid: i32, secret: i32) -> u32 {
    let mut request = client.cancel_request();
    request.get().set_pid(pid);
    request.get().set_secret(secret);
    let answer = request.send().promise.await.unwrap();
    answer.get().unwrap().get_reached()
}

/// Guards against a cancel request that reaches no entry process, or one with another mark, and
/// against registrations that remain after their connection ended.
#[compio::test]
async fn cancel_reaches_entry_process_with_matching_mark() {
    let (host, address, _shared) = serve().await;
    let sender = connect(address).await;
    let stream = TcpStream::connect(address).await.unwrap();
    let (gate, driver) = proto::rpc::open::<schema::gate::Client>(stream);
    let driver = spawn(async move {
        let _ended = driver.await;
    });
    let control = gate.control_request().send().pipeline.get_control();
    let seen = Rc::new(RefCell::new(Vec::new()));
    let mut request = control.listen_request();
    request.get().set_run(0xabcd_8005);
    let receiver = capnp_rpc::new_client(CancelRecorder(Rc::clone(&seen)));
    request.get().set_canceller(receiver);
    request.send().promise.await.unwrap();

    let reached = cancel(&sender, 5 << 16 | 9, -3).await;
    let other = cancel(&sender, 6 << 16 | 9, -3).await;
    let negative = cancel(&sender, -1, -3).await;
    drop((gate, control, driver));
    let gone = timeout(Duration::from_secs(5), async {
        while !host.cancellers.is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    });
    let gone = gone.await;
    let after = cancel(&sender, 5 << 16 | 9, -3).await;

    assert_eq!((reached, other, negative, after), (1, 0, 0, 0));
    assert_eq!(*seen.borrow(), [(5 << 16 | 9, -3)]);
    assert!(gone.is_ok(), "{:?}", host.cancellers);
}
