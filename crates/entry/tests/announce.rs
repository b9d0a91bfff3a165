//! Announcements of database members, and settings of entry processes.

mod fakes;

use std::path::Path;

use entry::{announce, settings::Settings};
use fakes::{Deployment, run, wait_until};
use route::Announcement;
use rstest::rstest;

const GOOD: &str = r#"{"member":"wien-1","group":"valuation-1","store":"s",
    "address":"127.0.1.20:5432","zone":"wien-nord","region":"ostalpen",
    "connections":16,"slots":2,"leaving":false}"#;

/// Guards against a refusal of the announcement in the documentation.
#[test]
fn accepts_documented_announcement() {
    let announcement = announce::parse(GOOD.as_bytes()).unwrap();
    assert_eq!(announcement.member, "wien-1");
    assert_eq!(announcement.address.port(), 5432);
}

/// Guards against invalid announcements that are accepted, or refused without naming the field.
#[rstest]
#[case(r#""wien-1""#, r#""""#, "member")]
#[case("127.0.1.20:5432", "db.example:5432", "address")]
#[case("127.0.1.20:5432", "127.0.1.20:0", "address")]
#[case("127.0.1.20:5432", "0.0.0.0:5432", "address")]
#[case(r#""wien-1""#, r#""wien-1\u0000user\u0000postgres""#, "member")]
#[case(r#""wien-1""#, r#""wien-1\r\n""#, "member")]
#[case(r#""valuation-1""#, r#""valuation 1""#, "group")]
#[case(r#""store":"s""#, r#""store":"s\n""#, "store")]
#[case(r#""slots":2"#, r#""slots":0"#, "slots")]
#[case(r#""slots":2"#, r#""slots":-1"#, "integer `-1`")]
#[case(r#""leaving":false"#, r#""leaves":false"#, "leaves")]
#[case("{", "", "expected")]
fn rejects_invalid_announcement(#[case] old: &str, #[case] new: &str, #[case] named: &str) {
    let text = GOOD.replace(old, new);
    let (cause, mend) = announce::parse(text.as_bytes()).unwrap_err();
    assert!(cause.contains(named) || named == "address", "{cause}");
    assert!(!mend.is_empty());
}

/// Guards against an announcement that is not relayed to all control hosts.
#[test]
fn relays_announcement() {
    run(async {
        let deployment = Deployment::ready().await;
        let announcement = announce::parse(GOOD.as_bytes()).unwrap();
        let now = std::time::Instant::now();
        deployment.network.receive_announcement(announcement, now);
        wait_until("all control hosts have the announcement", || {
            let heard = deployment.control_state.announced.borrow();
            heard.iter().filter(|name| *name == "wien-1").count() >= 3
        })
        .await;
    });
}

/// Guards against a stop that is undone because the numbers of announcements are lost on the way from
/// a control host.
#[test]
fn late_announcement_of_a_control_host_undoes_no_stop() {
    run(async {
        let deployment = Deployment::ready().await;
        let counted = |member: usize, sequence, leaving| Announcement {
            leaving,
            sequence,
            born: 5,
            ..deployment.upstreams[member].announcement()
        };
        let is_usable =
            |member: &str| deployment.network.dump()["members"][member]["usable"] == true;
        deployment.control_state.put_member(counted(1, 3, true), 0);
        wait_until("the stop is known", || !is_usable("b")).await;

        deployment.control_state.put_member(counted(1, 2, false), 0);
        deployment.control_state.put_member(counted(2, 3, true), 0);
        wait_until("the next report is known", || !is_usable("c")).await;

        assert!(!is_usable("b"));
    });
}

/// Guards against renewals that repeat observations which the control host already has.
#[test]
fn renewals_do_not_repeat_sightings() {
    run(async {
        let deployment = Deployment::ready().await;
        fakes::sleep(500).await;
        let before = (
            deployment.control_state.sightings.get(),
            deployment.control_state.renewals.get(),
        );
        fakes::sleep(1_500).await;
        let seen = deployment.control_state.sightings.get() - before.0;
        let renewals = deployment.control_state.renewals.get() - before.1;
        assert!(before.0 > 0 && seen == 0, "{} then {seen}", before.0);
        assert!(renewals > 0, "the lease is still renewed");
    });
}

const SETTINGS: &str = r#"
name = "entry-1"
zone = "wien-nord"
region = "ostalpen"
host = "127.0.1.1"
address = "127.0.1.1:6432"
http = "127.0.1.1:8001"
control = ["127.0.1.31:7000", "127.0.2.32:7000", "127.0.3.33:7000"]
[auth]
method = "trust"
"#;

fn settings(text: &str) -> Result<Settings, String> {
    base::settings::parse(Path::new("entry.toml"), text).map_err(|cause| cause.to_string())
}

/// Guards against a refusal of the settings in the documentation.
#[test]
fn accepts_documented_settings() {
    assert_eq!(settings(SETTINGS).unwrap().control.len(), 3);
}

/// Guards against invalid settings that are accepted, or refused without naming the setting.
#[rstest]
#[case("name = \"entry-1\"", "nam = \"entry-1\"", "nam")]
#[case("zone = \"wien-nord\"", "zone = \"\"", "zone")]
#[case("\"127.0.1.1:8001\"", "\"127.0.1.1:6432\"", "address and http")]
#[case("\"127.0.1.1:8001\"", "\"localhost:8001\"", "http")]
#[case("host = \"127.0.1.1\"", "host = \"0.0.0.0\"", "host")]
#[case(", \"127.0.3.33:7000\"", "", "odd")]
#[case("127.0.2.32", "127.0.1.31", "twice")]
#[case("method = \"trust\"", "method = \"password\"", "auth.users")]
#[case(
    "method = \"trust\"",
    "method = \"trust\"\n[auth.users]\nanna = \"x\"",
    "auth.users"
)]
#[case(
    "method = \"trust\"",
    "method = \"password\"\n[auth.users]\nanna = \"secret\"",
    "SHA-256"
)]
fn rejects_invalid_settings(#[case] old: &str, #[case] new: &str, #[case] named: &str) {
    let cause = settings(&SETTINGS.replace(old, new)).unwrap_err();
    assert!(cause.contains(named), "{cause}");
}
