//! Commands of a page and the comparison of their output.

use lab::pages::{Step, steps};
use rstest::rstest;

const PAGE: &str = "# Page\n\n    $ not run\n\n```console\n$ one\nfirst …\nlast\n$ two\n```\n\n\
                    ```toml\n$ not run\n```\n";

fn step(expected: &[&str]) -> Step {
    Step {
        line: 1,
        command: "one".into(),
        expected: expected.iter().map(|line| (*line).to_owned()).collect(),
    }
}

/// Guards against commands that are skipped, and text that is run as a command.
#[test]
fn only_console_blocks_are_run() {
    let found = steps(PAGE);

    assert_eq!(found.len(), 2);
    assert_eq!((found[0].line, found[0].command.as_str()), (6, "one"));
    assert_eq!(found[0].expected, ["first …", "last"]);
    assert_eq!((found[1].line, found[1].expected.len()), (9, 0));
}

/// Guards against a page that passes although a command prints something else.
#[rstest]
#[case::same(&["a b"], "x\na b\n", true)]
#[case::any_text(&["a … c …"], "  a b c d\n", true)]
#[case::in_order(&["a", "b"], "a\nx\nb\n", true)]
#[case::wrong_order(&["a", "b"], "b\na\n", false)]
#[case::longer_line(&["a"], "a b\n", false)]
#[case::other_start(&["a …"], "b a c\n", false)]
#[case::nothing(&["a"], "", false)]
fn output_is_compared(#[case] expected: &[&str], #[case] output: &str, #[case] same: bool) {
    assert_eq!(step(expected).missing(output).is_none(), same);
}
