//! Reads: tokens, read barriers, ages, and members that must not serve them.

mod fakes;

use base::Position;
use entry::{group::Phase, refusal::Refusal};
use fakes::{Deployment, query, run, sleep, wait_until};

/// Guards against a read at a replica that does not cover the token of the session.
#[test]
fn token_is_covered_by_a_replica() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0, 2], Position::new(1, 11));
        let token = Some(Position::new(1, 11));
        let (lease, covered) = deployment.read(token, None, 1_000).await.unwrap();
        assert_eq!((lease.member().as_str(), lease.primary()), ("c", None));
        assert_eq!(covered, token);
        query(lease).await;
    });
}

/// Guards against a first read of a session that misses earlier writes: it must wait for a replica
/// at the position of the primary.
#[test]
fn first_read_waits_for_barrier() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0, 1], Position::new(1, 20));
        let (lease, token) = deployment.read(None, None, 1_000).await.unwrap();
        assert_eq!(token, Some(Position::new(1, 20)));
        assert_eq!(lease.member(), "b");
    });
}

/// Guards against a read that fails because no replica catches up: the primary must serve it.
#[test]
fn primary_serves_when_replicas_lag() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0], Position::new(1, 11));
        let token = Some(Position::new(1, 11));
        let (lease, _) = deployment.read(token, None, 3_000).await.unwrap();
        assert_eq!((lease.member().as_str(), lease.primary()), ("a", Some(1)));
    });
}

/// Guards against reads that fail without any control host although their token or age allows them,
/// and against reads without either that are served: those need a barrier.
#[test]
fn reads_without_control_hosts() {
    run(async {
        let mut deployment = Deployment::ready().await;
        sleep(300).await;
        deployment.controls.clear();
        sleep(3_500).await;
        let token = Some(Position::new(1, 10));
        let (lease, _) = deployment.read(token, None, 1_000).await.unwrap();
        assert_eq!(lease.primary(), None);
        drop(lease);
        let (lease, token) = deployment.read(None, Some(2_000), 1_000).await.unwrap();
        assert_eq!((lease.primary(), token), (None, None));
        drop(lease);
        let strict = deployment.read(None, None, 300).await;
        assert_eq!(strict.err(), Some(Refusal::NotFresh));
        let write = deployment.write(100).await;
        assert_eq!(write.err(), Some(Refusal::NoPrimary));
    });
}

/// Guards against reads at a replica that still follows the primary of an older term.
#[test]
fn replica_of_old_term() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.upstreams[1].primary.set(true);
        deployment.set_position(&[1], Position::new(2, 10));
        deployment.set_position(&[2], Position::new(1, 30));
        deployment.put_record(2, Phase::Stable, "b");
        wait_until("the record arrives", || {
            deployment.network.record_version() == 2
        })
        .await;
        let token = Some(Position::new(1, 10));
        let (lease, _) = deployment.read(token, None, 3_000).await.unwrap();
        assert_eq!((lease.member().as_str(), lease.primary()), ("b", Some(2)));
    });
}

/// Guards against reads at a member whose store differs from the recorded one.
#[test]
fn member_with_other_store() {
    run(async {
        let deployment = Deployment::ready().await;
        *deployment.upstreams[1].store.borrow_mut() = "store-new".into();
        *deployment.upstreams[2].store.borrow_mut() = "store-newer".into();
        sleep(400).await;
        let token = Some(Position::new(1, 10));
        let (lease, _) = deployment.read(token, None, 3_000).await.unwrap();
        assert_eq!(lease.member(), "a");
    });
}

/// Guards against reads at a member that announced its leaving, and against idle connections to it.
#[test]
fn leaving_member() {
    run(async {
        let deployment = Deployment::ready().await;
        let token = Some(Position::new(1, 10));
        let (lease, _) = deployment.read(token, None, 1_000).await.unwrap();
        let name = lease.member().clone();
        query(lease).await;
        let upstreams = &deployment.upstreams;
        let used = upstreams.iter().find(|known| known.name == name).unwrap();
        assert_eq!(used.open.get(), 1);
        let mut announcement = used.announcement();
        announcement.leaving = true;
        deployment.control_state.put_member(announcement, 0);
        wait_until("idle connections are closed", || used.open.get() == 0).await;
        let (lease, _) = deployment.read(token, None, 1_000).await.unwrap();
        assert_ne!(*lease.member(), name);
    });
}

/// Guards against a read that waits for its deadline when its replica stops answering. It must fail
/// within seconds, so that it can run on another member.
#[test]
fn silent_replica() {
    run(async {
        let deployment = Deployment::ready().await;
        let token = Some(Position::new(1, 10));
        let (mut lease, _) = deployment.read(token, None, 1_000).await.unwrap();
        let upstreams = &deployment.upstreams;
        let used = upstreams
            .iter()
            .find(|known| known.name == *lease.member())
            .unwrap();
        used.silent_below.set(u32::MAX);
        let limit = std::time::Duration::from_secs(3);
        let result = compio::time::timeout(limit, lease.client().query("SELECT 1")).await;
        let result = result.expect("the read fails within 3 s");
        assert!(matches!(result, Err(wire::Failure::Wire(_))), "{result:?}");
    });
}

/// Guards against reuse of connections whose packets the network drops while new connections work.
/// They must be detected within seconds.
#[test]
fn silent_path() {
    run(async {
        let deployment = Deployment::ready().await;
        let token = Some(Position::new(1, 10));
        let (lease, _) = deployment.read(token, None, 1_000).await.unwrap();
        let name = lease.member().clone();
        query(lease).await;
        let upstreams = &deployment.upstreams;
        let used = upstreams.iter().find(|known| known.name == name).unwrap();
        used.silent_below.set(used.accepted.get());
        sleep(2_500).await;
        let health = deployment.network.member(&name).unwrap();
        assert_eq!(
            health.health(std::time::Instant::now()).0,
            route::Health::Ok
        );
        for _ in 0..4 {
            let (lease, _) = deployment.read(token, None, 1_000).await.unwrap();
            query(lease).await;
        }
    });
}

/// Guards against a read that is refused under overload while a replica of another region is free,
/// and against one that takes slots of writes on the primary.
#[test]
fn overflow_to_another_region() {
    run(async {
        let document = "[entries]\nmax = 1\n[[service]]\nname = \"orders\"\ngroup = \"orders\"\n\
                        connections = 1\nslots = 1\n[service.limits]\nqueue = 1\n";
        let deployment = Deployment::start_in_regions(document, ["east", "east", "west"]).await;
        let token = Some(Position::new(1, 10));
        drop(deployment.write(3_000).await.unwrap());
        deployment.wait_for_statuses().await;

        let (near, _) = deployment.read(token, None, 2_000).await.unwrap();
        let waiting = deployment.read(token, None, 2_000);
        let next = async {
            let far = deployment.read(token, None, 2_000).await;
            let second = deployment.read(token, None, 2_000);
            let refused = async {
                sleep(20).await;
                deployment.read(token, None, 2_000).await
            };
            let ended = async {
                sleep(100).await;
                let member = far.map(|(lease, _)| lease.member().clone());
                drop(near);
                member
            };
            futures_util::future::join3(second, refused, ended).await
        };
        let (first, (second, refused, member)) = futures_util::future::join(waiting, next).await;

        assert_eq!(member.unwrap(), "c");
        assert_eq!(refused.err(), Some(Refusal::QueueFull));
        assert!(first.is_ok() && second.is_ok());
    });
}
