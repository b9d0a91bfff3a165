//! Runs the commands of the operators' page against a deployment.
//!
//! A block that begins with ```` ```console ```` holds commands after `$ ` and, below each, what it
//! prints: every line in that order, `…` for any text. A command ends with exit code 0.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use base::Exit;

use crate::{
    arguments::{arguments, relayed},
    deployment::Deployment,
    error::{Context, LabError},
    relay::Relay,
    site::Site,
};

/// How long a command that only reads is repeated until it prints what the page says; changes take
/// some seconds to be seen.
const PATIENCE: Duration = Duration::from_secs(15);
/// Pause between two such attempts.
const PAUSE: Duration = Duration::from_millis(300);
/// Commands that only read.
const READS: [&str; 3] = ["gct status", "gct dump", "curl "];

arguments! {
    /// Command line of the page runner.
    folder = "run/pages",
    #[options(free, help = "page (default: docs/operators.md)")]
    page: Option<PathBuf>,
}

/// One command of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Line of the page, from 1.
    pub line: usize,
    /// Command for the shell.
    pub command: String,
    /// Lines that it prints.
    pub expected: Vec<String>,
}

impl Step {
    /// Whether it only defines something for the commands after it.
    fn is_definition(&self) -> bool {
        self.command.starts_with("export ") || self.command.contains("() {")
    }

    /// Finds the first expected line that is missing from `output`.
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
            .find(|expected| !lines.any(|line| matches(line, expected)))
            .map(String::as_str)
    }
}

fn matches(line: &str, expected: &str) -> bool {
    let mut pieces = expected.trim().split('…');
    let Some(mut rest) = pieces
        .next()
        .and_then(|first| line.trim().strip_prefix(first))
    else {
        return false;
    };
    let mut open = false;
    for piece in pieces {
        let Some(at) = rest.find(piece) else {
            return false;
        };
        rest = &rest[at + piece.len()..];
        open = piece.is_empty();
    }
    open || rest.is_empty()
}

/// Reads the commands of a page.
#[must_use]
pub fn steps(page: &str) -> Vec<Step> {
    let mut steps: Vec<Step> = Vec::new();
    let mut inside = false;
    for (number, line) in (1..).zip(page.lines()) {
        let text = line.trim();
        if text.starts_with("```") {
            inside = text == "```console";
        } else if inside && let Some(command) = text.strip_prefix("$ ") {
            steps.push(Step {
                line: number,
                command: command.to_owned(),
                expected: Vec::new(),
            });
        } else if inside
            && !text.is_empty()
            && let Some(step) = steps.last_mut()
        {
            step.expected.push(text.to_owned());
        }
    }
    steps
}

/// Runs every command of the page; the first that does not behave as written ends the run.
#[must_use]
pub fn run(arguments: &Arguments) -> Exit {
    let outcome = crate::runtime().and_then(|runtime| runtime.block_on(play(arguments)));
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

async fn play(arguments: &Arguments) -> Result<usize, LabError> {
    let site = Site::teichwert();
    let path = arguments.page.clone();
    let path = path.unwrap_or_else(|| "docs/operators.md".into());
    let steps = steps(&fs::read_to_string(&path).context(path.display())?);
    if steps.is_empty() {
        let text = format!("{}: no command in a console block", path.display());
        return Err(LabError::Admin(text));
    }
    let _relay = Relay::start(&site).await?;
    let choice = relayed(&arguments.programs, &arguments.folder);
    tokio::task::block_in_place(|| {
        let _deployment = Deployment::start(site, choice)?;
        let mut definitions = String::new();
        for step in &steps {
            if step.is_definition() {
                definitions.push_str(&step.command);
                definitions.push('\n');
            }
            println!("{}:{}: $ {}", path.display(), step.line, step.command);
            perform(arguments, &definitions, step).map_err(|cause| {
                LabError::Admin(format!("{}:{}: {cause}", path.display(), step.line))
            })?;
        }
        Ok(steps.len())
    })
}

fn perform(arguments: &Arguments, definitions: &str, step: &Step) -> Result<(), String> {
    let repeated = READS.iter().any(|read| step.command.starts_with(read));
    let end = Instant::now() + PATIENCE;
    loop {
        let script = format!("set -o pipefail\n{definitions}\n{}", step.command);
        let (code, output) = shell(&arguments.programs, &arguments.folder, &script)
            .map_err(|cause| format!("no shell: {cause}"))?;
        let fault = match (code, step.missing(&output)) {
            (Some(0), None) => return Ok(()),
            (Some(0), Some(missing)) => format!("`{missing}` is not printed"),
            (code, _) => format!("exit code {code:?}"),
        };
        if !repeated || Instant::now() > end {
            return Err(format!("{}: {fault}; it prints:\n{output}", step.command));
        }
        std::thread::sleep(PAUSE);
    }
}

/// Runs a script in `folder` with `programs` in the search path, and returns what it printed.
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
