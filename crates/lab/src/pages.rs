//! Runs the commands of the operators' page against a deployment.
//!
//! A block that begins with ```` ```console ```` contains commands after `$ ` and, below each,
//! lines that its output must contain in that order, where `…` stands for any text. Every command
//! must exit with code 0.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use base::Exit;

use crate::{
    arguments::{arguments, relayed_options},
    deployment::Deployment,
    error::{Context, LabError},
    relay::Relay,
    site::Site,
};

/// Time for which a read-only command is repeated until its output is as expected; changes take a
/// few seconds to become visible.
const RETRY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(300);
/// Prefixes of commands that are read-only and may be repeated.
const READ_ONLY_COMMANDS: [&str; 3] = ["gct status", "gct dump", "curl "];

arguments! {
    /// Command line of the page runner.
    folder = "run/pages",
    #[options(free, help = "page (default: docs/operators.md)")]
    page: Option<PathBuf>,
}

/// One command of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Line number on the page, from 1.
    pub line: usize,
    /// Shell command.
    pub command: String,
    /// Lines that its output must contain.
    pub expected: Vec<String>,
}

impl Step {
    /// Whether it defines a variable or function for later commands.
    fn is_definition(&self) -> bool {
        self.command.starts_with("export ") || self.command.contains("() {")
    }

    /// Returns the first expected line that is missing from `output`.
    ///
    /// ```
    /// let steps = lab::pages::steps("```console\n$ gct status\nleader: …\n```\n");
    /// assert_eq!(steps[0].missing("host: a\nleader: b\n"), None);
    /// assert_eq!(steps[0].missing("host: a\n"), Some("leader: …"));
    /// ```
    #[must_use]
    pub fn missing(&self, output: &str) -> Option<&str> {
        let mut lines = output.lines();
        self.expected
            .iter()
            .find(|expected| !lines.any(|line| line_matches(line, expected)))
            .map(String::as_str)
    }
}

/// Whether a line of output matches an expected line, in which `…` stands for any text.
fn line_matches(line: &str, expected: &str) -> bool {
    let mut pieces = expected.trim().split('…');
    let Some(mut rest) = pieces
        .next()
        .and_then(|first| line.trim().strip_prefix(first))
    else {
        return false;
    };
    let mut ends_with_wildcard = false;
    for piece in pieces {
        let Some(at) = rest.find(piece) else {
            return false;
        };
        rest = &rest[at + piece.len()..];
        ends_with_wildcard = piece.is_empty();
    }
    ends_with_wildcard || rest.is_empty()
}

/// Extracts the commands of a page.
#[must_use]
pub fn steps(page: &str) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    let mut in_console_block = false;
    for (number, line) in (1..).zip(page.lines()) {
        let text = line.trim();
        if text.starts_with("```") {
            in_console_block = text == "```console";
        } else if in_console_block && let Some(command) = text.strip_prefix("$ ") {
            steps.push(Step {
                line: number,
                command: command.to_owned(),
                expected: Vec::new(),
            });
        } else if in_console_block
            && !text.is_empty()
            && let Some(step) = steps.last_mut()
        {
            step.expected.push(text.to_owned());
        }
    }
    steps
}

/// Runs every command of the page until one does not behave as written.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(run_page(arguments)));
    match outcome {
        Ok(count) => {
            println!("pages: {count} commands behave as written");
            Exit::Done
        }
        Err(cause) => {
            eprintln!("pages: {cause}");
            Exit::Failed
        }
    }
}

async fn run_page(arguments: &Arguments) -> Result<usize, LabError> {
    let site = Site::teichwert();
    let path = arguments.page.clone();
    let path = path.unwrap_or_else(|| "docs/operators.md".into());
    let steps = steps(&fs::read_to_string(&path).context(path.display())?);
    if steps.is_empty() {
        let text = format!("{}: no commands in console blocks", path.display());
        return Err(LabError::Admin(text));
    }
    let _relay = Relay::start(&site).await?;
    let options = relayed_options(&arguments.programs, &arguments.folder);
    tokio::task::block_in_place(|| {
        let _deployment = Deployment::start(site, options)?;
        let mut definitions = String::new();
        for step in &steps {
            if step.is_definition() {
                definitions.push_str(&step.command);
                definitions.push('\n');
            }
            println!("{}:{}: $ {}", path.display(), step.line, step.command);
            run_step(arguments, &definitions, step).map_err(|cause| {
                LabError::Admin(format!("{}:{}: {cause}", path.display(), step.line))
            })?;
        }
        Ok(steps.len())
    })
}

/// Runs a command, repeatedly if it is read-only, until it behaves as written.
fn run_step(arguments: &Arguments, definitions: &str, step: &Step) -> Result<(), String> {
    let read_only = READ_ONLY_COMMANDS
        .iter()
        .any(|prefix| step.command.starts_with(prefix));
    let end = Instant::now() + RETRY_TIMEOUT;
    loop {
        let script = format!("set -o pipefail\n{definitions}\n{}", step.command);
        let (code, output) = shell(&arguments.programs, &arguments.folder, &script)
            .map_err(|cause| format!("can't run bash: {cause}"))?;
        let problem = match (code, step.missing(&output)) {
            (Some(0), None) => return Ok(()),
            (Some(0), Some(missing)) => format!("`{missing}` is missing from the output"),
            (code, _) => format!("exit code {code:?}"),
        };
        if !read_only || Instant::now() > end {
            return Err(format!("{}: {problem}; output:\n{output}", step.command));
        }
        std::thread::sleep(PAUSE);
    }
}

/// Runs a bash script in `folder` with `programs` first in `PATH`, and returns its exit code and
/// output.
fn shell(programs: &Path, folder: &Path, script: &str) -> std::io::Result<(Option<i32>, String)> {
    let programs = fs::canonicalize(programs)?;
    let path = std::env::var("PATH").unwrap_or_default();
    let output = Command::new("bash")
        .args(["-c", script])
        .current_dir(folder)
        .env("PATH", format!("{}:{path}", programs.display()))
        .stdin(Stdio::null())
        .output()?;
    let text = [output.stderr, output.stdout].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    Ok((output.status.code(), text))
}
