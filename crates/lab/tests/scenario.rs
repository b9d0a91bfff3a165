//! Parsing of scenario files.

use std::path::Path;

use lab::{
    scenario::{Step, Target, read},
    site::Site,
};

/// Guards against a scenario file that no longer parses or names an unknown deployment.
#[test]
fn reads_every_scenario_of_the_repository() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let files: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path())
        .collect();

    for file in &files {
        let scenario = read(file).unwrap();
        assert!(Site::named(&scenario.site).is_some(), "{}", file.display());
        assert!(!scenario.steps.is_empty(), "{}", file.display());
    }
    assert!(!files.is_empty());
}

/// Guards against a step that is parsed as a different one.
#[test]
fn reads_steps_as_written() {
    let text = "guards = \"x\"\nsite = \"teichwert\"\nseed = 1\n[[step]]\ndo = \"kill\"\n\
                target = { primary = 2 }\n[[step]]\ndo = \"wait\"\nms = 5\n";

    let scenario: lab::scenario::Scenario = toml::from_str(text).unwrap();

    let expected = vec![
        Step::Kill {
            target: Target::Primary(2),
        },
        Step::Wait { ms: 5 },
    ];
    assert_eq!(scenario.steps, expected);
}
