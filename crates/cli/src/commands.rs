//! Implements the commands.

use std::{
    fs,
    io::{self, Read as _, Write as _},
    path::Path,
};

use serde_json::{Value, json};

use crate::{
    arguments::{Arguments, Command, ConfigCommand, GroupCommand, Membership, Primary, Submit},
    client::{self, Client, Method},
    failure::Failure,
    table,
};

/// Runs the command that the arguments select.
pub fn run(parsed: &Arguments) -> Result<(), Failure> {
    let Some(command) = &parsed.command else {
        return Err(missing_argument(
            "status, dump, config, drain, primary or group",
        ));
    };
    if let Command::Dump(dump) = command {
        let address = dump.address.ok_or_else(|| missing_argument("ADDRESS"))?;
        return print_json(&client::dump(address)?);
    }
    let client = Client::new(parsed.control.clone(), parsed.token_file.as_deref())?;
    match command {
        Command::Status(_) => print_answer(&client.call("/v1/status", &Method::Get)?, parsed.json),
        Command::Drain(drain) => {
            let entry = path_segment(drain.entry.as_deref())?;
            let path = format!("/v1/entries/{entry}/drain");
            print_confirmation(
                &client.call(&path, &Method::Post)?,
                parsed.json,
                &format!("{entry} is draining"),
            )
        }
        Command::Primary(primary) => change_primary(&client, primary, parsed.json),
        Command::Group(group) => match &group.command {
            None => Err(missing_argument("remove or allow")),
            Some(GroupCommand::Remove(membership)) => change_member(
                &client,
                membership,
                "remove",
                "is removed from",
                parsed.json,
            ),
            Some(GroupCommand::Allow(membership)) => change_member(
                &client,
                membership,
                "allow",
                "may be added again to",
                parsed.json,
            ),
        },
        Command::Config(config) => match &config.command {
            None => Err(missing_argument("check, submit, show or history")),
            Some(command) => run_config(&client, command, parsed.json),
        },
        Command::Dump(_) => Ok(()),
    }
}

fn run_config(client: &Client, command: &ConfigCommand, json: bool) -> Result<(), Failure> {
    match command {
        ConfigCommand::Check(check) => {
            let document = read_document(check.file.as_deref())?;
            let answer = client.call(
                "/v1/config/check",
                &Method::PostDocument(document.as_bytes()),
            )?;
            print_confirmation(&answer, json, "the document is valid")
        }
        ConfigCommand::Submit(submit) => submit_document(client, submit, json),
        ConfigCommand::Show(_) if json => {
            print_answer(&client.call("/v1/config", &Method::Get)?, true)
        }
        ConfigCommand::Show(_) => {
            let configuration = parse(&client.call("/v1/config", &Method::Get)?)?;
            let document = configuration["document"].as_str().unwrap_or_default();
            // Prints the document unchanged to standard output, so that it can be edited and
            // submitted again. The metadata goes to standard error.
            let metadata = ["version", "digest", "author", "reason", "time"];
            for name in metadata
                .iter()
                .filter(|name| !configuration[**name].is_null())
            {
                eprintln!("{name}: {}", table::cell(&configuration[*name]));
            }
            print(document)
        }
        ConfigCommand::History(_) => {
            print_answer(&client.call("/v1/config/history", &Method::Get)?, json)
        }
    }
}

fn submit_document(client: &Client, submit: &Submit, json: bool) -> Result<(), Failure> {
    let document = read_document(submit.file.as_deref())?;
    let change = prepare_change_id(submit.change.as_deref());
    let body = json!({
        "change": change,
        "base": submit.base,
        "document": document,
        "reason": submit.reason,
    });
    let answer = parse(&client.call("/v1/config", &Method::PostChange(&body))?)?;
    print_change(
        &answer,
        &change,
        json,
        &format!("version {} is accepted", table::cell(&answer["version"])),
    )
}

fn change_primary(client: &Client, primary: &Primary, json: bool) -> Result<(), Failure> {
    let group = path_segment(primary.group.as_deref())?;
    let change = prepare_change_id(primary.change.as_deref());
    let mut body = json!({ "change": change });
    if let Some(member) = &primary.member {
        body["member"] = json!(member);
    }
    let answer = client.call(
        &format!("/v1/groups/{group}/primary"),
        &Method::PostChange(&body),
    )?;
    let answer = parse(&answer).unwrap_or_default();
    print_change(
        &answer,
        &change,
        json,
        &format!("the primary of {group} is being changed"),
    )
}

fn change_member(
    client: &Client,
    membership: &Membership,
    verb: &str,
    outcome: &str,
    json: bool,
) -> Result<(), Failure> {
    let group = path_segment(membership.group.as_deref())?;
    let member = path_segment(membership.member.as_deref())?;
    let change = prepare_change_id(membership.change.as_deref());
    let body = json!({ "change": change, "member": member });
    let path = format!("/v1/groups/{group}/{verb}");
    let answer = client.call(&path, &Method::PostChange(&body))?;
    let answer = parse(&answer).unwrap_or_default();
    print_change(
        &answer,
        &change,
        json,
        &format!("{member} {outcome} {group}"),
    )
}

/// Returns the id of a change, which is generated when none is given. Prints it before the change is
/// sent, so that the operator can repeat the change when the answer is lost.
fn prepare_change_id(given: Option<&str>) -> String {
    let change = given.map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned);
    eprintln!("change: {}", table::printable(&change));
    change
}

/// Prints a text, or the answer as JSON with the id of the change.
fn print_change(answer: &Value, change: &str, json: bool, text: &str) -> Result<(), Failure> {
    if !json {
        return print(&format!("{text}\n"));
    }
    let mut answer = if answer.is_object() {
        answer.clone()
    } else {
        json!({})
    };
    answer["change"] = json!(change);
    print(&format!("{answer:#}\n"))
}

/// Prints a text, or the answer as JSON.
fn print_confirmation(answer: &str, json: bool, text: &str) -> Result<(), Failure> {
    if !json {
        return print(&format!("{text}\n"));
    }
    let answer = parse(answer).unwrap_or_else(|_| json!({}));
    print(&format!("{answer:#}\n"))
}

/// Prints an answer as tables or as JSON.
fn print_answer(answer: &str, json: bool) -> Result<(), Failure> {
    if json {
        print_json(answer)
    } else {
        print(&table::render(&parse(answer)?))
    }
}

fn print_json(answer: &str) -> Result<(), Failure> {
    print(&format!("{:#}\n", parse(answer)?))
}

/// Writes to standard output. A closed pipe, as after `head`, is not an error.
fn print(text: &str) -> Result<(), Failure> {
    let mut output = io::stdout().lock();
    match output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
    {
        Err(cause) if cause.kind() != io::ErrorKind::BrokenPipe => Err(Failure::failed(
            format!("cannot write to standard output: {cause}"),
            "check that standard output can be written to",
        )),
        _ => Ok(()),
    }
}

fn parse(answer: &str) -> Result<Value, Failure> {
    serde_json::from_str(answer).map_err(|cause| {
        Failure::failed(
            format!("the answer is not JSON: {cause}"),
            "check that --control is the `http` address of a control host",
        )
    })
}

/// Reads a document from a file, or from standard input for `-`.
fn read_document(file: Option<&Path>) -> Result<String, Failure> {
    let file = file.ok_or_else(|| missing_argument("FILE"))?;
    let text = if file == Path::new("-") {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        fs::read_to_string(file)
    };
    text.map_err(|cause| {
        Failure::usage(
            format!("cannot read {}: {cause}", file.display()),
            "give a readable file in UTF-8, or - for standard input",
        )
    })
}

/// Checks that a name can be a segment of a URL path. Other characters could address another
/// operation, such as `../config`.
fn path_segment(name: Option<&str>) -> Result<&str, Failure> {
    let name = name.ok_or_else(|| missing_argument("the name"))?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.bytes().all(is_allowed) && !name.bytes().all(|byte| byte == b'.') {
        return Ok(name);
    }
    Err(Failure::usage(
        format!("`{name}` is not a valid name"),
        "use letters, digits, `-`, `_` and `.`; `status` lists the names",
    ))
}

fn missing_argument(what: &str) -> Failure {
    Failure::usage(
        format!("the command is incomplete: {what} is missing"),
        "`goldcrestrail --help` and `goldcrestrail COMMAND --help` show the usage",
    )
}
