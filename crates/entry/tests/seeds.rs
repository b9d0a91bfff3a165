//! How an entry process finds the control hosts.

mod fakes;

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use entry::{network::Network, settings::Settings};
use fakes::{ControlState, FakeControl, sleep, wait_until};

/// Time until the seeds are tried again, and one attempt to connect to them.
const FOUND_AGAIN: Duration = Duration::from_secs(7);

fn settings(seed: SocketAddr) -> Settings {
    let text = format!(
        "name = \"e\"\nzone = \"z\"\nregion = \"r\"\nhost = \"127.0.0.1\"\naddress = \"127.0.0.1:2\"\n\
         http = \"127.0.0.1:3\"\ndiscover = true\ncontrol = [\"{seed}\"]\n"
    );
    base::settings::parse(std::path::Path::new("entry.toml"), &text).unwrap()
}

/// Guards against a process that stays without control hosts for good, because all that it knows of
/// were replaced while it was cut off.
#[test]
fn seeds_are_tried_again_when_all_known_hosts_are_gone() {
    fakes::run(async {
        let state = Rc::new(ControlState::default());
        let seed = FakeControl::start(Rc::clone(&state), "control-1", true).await;
        let gone = SocketAddr::from(([127, 0, 0, 1], 1));
        *state.seats.borrow_mut() = vec![gone];
        let network = Network::new(settings(seed.address), base::log::silent());
        network.start();
        wait_until("the process turns to the listed host", || {
            network.dump()["control"]
                .as_object()
                .is_some_and(|hosts| hosts.len() == 1 && hosts.contains_key(&gone.to_string()))
        })
        .await;
        let before = state.renewals.get();

        *state.seats.borrow_mut() = vec![seed.address];
        let start = Instant::now();
        while state.renewals.get() == before && start.elapsed() < FOUND_AGAIN {
            sleep(50).await;
        }

        assert!(
            state.renewals.get() > before,
            "the seed was not asked again"
        );
    });
}
