//! Settings files of entry processes.

use std::path::Path;

use entry::settings::Settings;
use place::Prices;
use rstest::rstest;

fn parse(place: &str) -> Result<Settings, String> {
    let text = format!(
        "name = \"e\"\nzone = \"z\"\nregion = \"r\"\nhost = \"127.0.0.1\"\naddress = \"127.0.0.1:2\"\n\
         http = \"127.0.0.1:3\"\ncontrol = [\"127.0.0.1:4\"]\n{place}"
    );
    base::settings::parse(Path::new("entry.toml"), &text).map_err(|cause| cause.to_string())
}

/// Guards against a price that is ignored, and against placement by shares that nobody asked for.
#[rstest]
#[case::absent("", None)]
#[case::defaults("[place]\n", Some(Prices::default()))]
#[case::both("[place]\nzone_ms = 1\nregion_ms = 7\n", Some(Prices { zone_ms: 1, region_ms: 7 }))]
fn price_of_leaving_the_zone(#[case] place: &str, #[case] expected: Option<Prices>) {
    let settings = parse(place).unwrap();

    assert_eq!(settings.place, expected);
}

/// Guards against contradicting prices that come into force, and a message that doesn't name them.
#[test]
fn contradicting_prices_are_refused() {
    let refused = parse("[place]\nzone_ms = 9\nregion_ms = 7\n");

    assert!(refused.unwrap_err().contains("place.region_ms"));
}
