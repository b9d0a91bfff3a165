//! Command line arguments.

use std::{net::SocketAddr, path::PathBuf};

use gumdrop::Options;

/// Arguments of the program.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, help = "print the version")]
    pub version: bool,
    #[options(
        no_short,
        meta = "ADDRESS",
        help = "HTTP address of a control host, as IP:PORT; give several to try the next when one is unreachable"
    )]
    pub control: Vec<SocketAddr>,
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the operator's token (default: environment variable GOLDCRESTRAIL_TOKEN)"
    )]
    pub token_file: Option<PathBuf>,
    #[options(no_short, help = "print JSON for programs")]
    pub json: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the program.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "show control hosts, groups and entry processes")]
    Status(Status),
    #[options(help = "show the whole state of one process")]
    Dump(Dump),
    #[options(help = "check, submit or show the configuration")]
    Config(Config),
    #[options(help = "let an entry process finish its work and stop")]
    Drain(Drain),
    #[options(help = "change the primary of a group")]
    Primary(Primary),
    #[options(help = "remove a member from a group, or allow it again")]
    Group(Group),
}

/// `status`
#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print this help")]
    pub help: bool,
}

/// `dump`
#[derive(Debug, Options)]
pub struct Dump {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "HTTP address of the process, as IP:PORT")]
    pub address: Option<SocketAddr>,
}

/// `config`
#[derive(Debug, Options)]
pub struct Config {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<ConfigCommand>,
}

/// Commands for the configuration.
#[derive(Debug, Options)]
pub enum ConfigCommand {
    #[options(help = "check a document without submitting it")]
    Check(Check),
    #[options(help = "replace the configuration")]
    Submit(Submit),
    #[options(help = "print the document in effect")]
    Show(Show),
    #[options(help = "list the versions")]
    History(History),
}

/// `config check`
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "document, or - for standard input")]
    pub file: Option<PathBuf>,
}

/// `config submit`
#[derive(Debug, Options)]
pub struct Submit {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        required,
        meta = "VERSION",
        help = "version that the document was made from; `config show` prints it"
    )]
    pub base: Option<u64>,
    #[options(no_short, required, meta = "TEXT", help = "reason, for the history")]
    pub reason: Option<String>,
    #[options(
        no_short,
        meta = "ID",
        help = "id of a change whose answer was lost, to send it again"
    )]
    pub change: Option<String>,
    #[options(free, required, help = "document, or - for standard input")]
    pub file: Option<PathBuf>,
}

/// `config show`
#[derive(Debug, Options)]
pub struct Show {
    #[options(help = "print this help")]
    pub help: bool,
}

/// `config history`
#[derive(Debug, Options)]
pub struct History {
    #[options(help = "print this help")]
    pub help: bool,
}

/// `drain`
#[derive(Debug, Options)]
pub struct Drain {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(free, required, help = "name of the entry process")]
    pub entry: Option<String>,
}

/// `primary`
#[derive(Debug, Options)]
pub struct Primary {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "ID",
        help = "id of a change whose answer was lost, to send it again"
    )]
    pub change: Option<String>,
    #[options(free, required, help = "name of the group")]
    pub group: Option<String>,
    #[options(free, help = "new primary; without it the most advanced other member")]
    pub member: Option<String>,
}

/// `group`
#[derive(Debug, Options)]
pub struct Group {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<GroupCommand>,
}

/// Commands for the members of a group.
#[derive(Debug, Options)]
pub enum GroupCommand {
    #[options(help = "remove a member that is not the primary; it is not added again by itself")]
    Remove(Membership),
    #[options(help = "let a removed member be added again")]
    Allow(Membership),
}

/// `group remove` and `group allow`
#[derive(Debug, Options)]
pub struct Membership {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "ID",
        help = "id of a change whose answer was lost, to send it again"
    )]
    pub change: Option<String>,
    #[options(free, required, help = "name of the group")]
    pub group: Option<String>,
    #[options(free, required, help = "name of the member")]
    pub member: Option<String>,
}

/// Options that apply to every command, and whether they take a value.
const GLOBAL_OPTIONS: [(&str, bool); 3] = [
    ("--control", true),
    ("--token-file", true),
    ("--json", false),
];

/// Moves the global options before the command, where the parser expects them, so that they may be
/// given anywhere. Arguments after `--` stay in place.
pub fn move_global_options_first(arguments: Vec<String>) -> Vec<String> {
    let mut reordered = Vec::new();
    let mut rest = Vec::new();
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        let name = argument.split('=').next().unwrap_or_default();
        let option = GLOBAL_OPTIONS.iter().find(|(known, _)| *known == name);
        if argument == "--" {
            rest.push(argument);
            rest.extend(arguments.by_ref());
        } else if let Some((_, takes_value)) = option {
            let value_follows = *takes_value && !argument.contains('=');
            reordered.push(argument);
            reordered.extend(value_follows.then(|| arguments.next()).flatten());
        } else {
            rest.push(argument);
        }
    }
    reordered.extend(rest);
    reordered
}

/// Returns the help text of the innermost command that was given, or of the program.
pub fn help(parsed: &Arguments) -> String {
    let mut path = String::from("goldcrestrail");
    let mut command: &dyn Options = parsed;
    while let Some(inner) = command.command() {
        if let Some(name) = inner.command_name() {
            path.push(' ');
            path.push_str(name);
        }
        command = inner;
    }
    let subcommands = command.self_command_list();
    let synopsis = if subcommands.is_some() {
        "[OPTIONS] COMMAND"
    } else {
        "[OPTIONS]"
    };
    let mut text = format!("Usage: {path} {synopsis}\n\n{}", command.self_usage());
    if let Some(subcommands) = subcommands {
        text.push_str("\n\nCommands:\n");
        text.push_str(subcommands);
    }
    if path != "goldcrestrail" {
        text.push_str("\n\nOptions for every command: --control, --token-file, --json; see `goldcrestrail --help`.");
    }
    text.push_str("\n\nExit codes: 0 done, 1 failed, 2 wrong command line.");
    text
}
