//! Reads: tokens, barriers, ages and members that may not serve them.

mod fakes;

use base::Position;
use entry::{group::Phase, refusal::Refusal};
use fakes::{Deployment, query, run, sleep, wait_until};

/// A read with a token must go to a replica that covers it.
#[test]
fn replica_covers() {
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

/// The first read of a session waits for a replica at the position that the primary had.
#[test]
fn barrier() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0, 1], Position::new(1, 20));
        let (lease, token) = deployment.read(None, None, 1_000).await.unwrap();
        assert_eq!(token, Some(Position::new(1, 20)));
        assert_eq!(lease.member(), "b");
    });
}

/// When no replica catches up in time, the primary serves the read.
#[test]
fn primary_serves() {
    run(async {
        let deployment = Deployment::ready().await;
        deployment.set_position(&[0], Position::new(1, 11));
        let token = Some(Position::new(1, 11));
        let (lease, _) = deployment.read(token, None, 3_000).await.unwrap();
        assert_eq!((lease.member().as_str(), lease.primary()), ("a", Some(1)));
    });
}

/// Without any control host, reads by token and by age go on, and a barrier can't be had.
#[test]
fn no_control() {
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

/// A replica that still follows the primary of an older term must not serve reads.
#[test]
fn old_term() {
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

/// A member with another store than the recorded one must not serve reads.
#[test]
fn other_store() {
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

/// A member that leaves gets no new work, and its idle connections are closed.
#[test]
fn leaving() {
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

/// A read that runs on a replica which goes silent must fail within seconds, so that it can run
/// elsewhere.
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

/// A path that goes silent while new connections work must be found within seconds, and its
/// connections must not be used again.
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

/// Under overload, a read must not be refused while a replica of another region is free, and must
/// not take the slots of writes on the primary.
#[test]
fn overflow() {
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
