//! What each command does.

use std::{
    fs,
    io::{self, Read as _, Write as _},
    path::Path,
};

use serde_json::{Value, json};

use crate::{
    arguments::{Arguments, Command, ConfigCommand, GroupCommand, Membership, Primary, Submit},
    client::{self, Client, Content},
    failure::Failure,
    table,
};

/// Runs the command that was given.
pub fn run(parsed: &Arguments) -> Result<(), Failure> {
    let Some(command) = &parsed.command else {
        return Err(missing("status, dump, config, drain, primary or group"));
    };
    if let Command::Dump(dump) = command {
        let address = dump.address.ok_or_else(|| missing("ADDRESS"))?;
        return pretty(&client::dump(address)?);
    }
    let client = Client::new(parsed.control.clone(), parsed.token_file.as_deref())?;
    match command {
        Command::Status(_) => show(&client.call("/v1/status", &Content::Nothing)?, parsed.json),
        Command::Drain(drain) => {
            let entry = segment(drain.entry.as_deref())?;
            let path = format!("/v1/entries/{entry}/drain");
            done(
                &client.call(&path, &Content::Empty)?,
                parsed.json,
                &format!("{entry} is draining"),
            )
        }
        Command::Primary(primary) => change_primary(&client, primary, parsed.json),
        Command::Group(group) => match &group.command {
            None => Err(missing("remove or allow")),
            Some(GroupCommand::Remove(order)) => {
                change_member(&client, order, "remove", "is removed from", parsed.json)
            }
            Some(GroupCommand::Allow(order)) => change_member(
                &client,
                order,
                "allow",
                "may be added again to",
                parsed.json,
            ),
        },
        Command::Config(config) => match &config.command {
            None => Err(missing("check, submit, show or history")),
            Some(command) => configure(&client, command, parsed.json),
        },
        Command::Dump(_) => Ok(()),
    }
}

fn configure(client: &Client, command: &ConfigCommand, json: bool) -> Result<(), Failure> {
    match command {
        ConfigCommand::Check(check) => {
            let document = read(check.file.as_deref())?;
            let answer =
                client.call("/v1/config/check", &Content::Document(document.as_bytes()))?;
            done(&answer, json, "the document is valid")
        }
        ConfigCommand::Submit(submit) => submit_document(client, submit, json),
        ConfigCommand::Show(_) if json => {
            show(&client.call("/v1/config", &Content::Nothing)?, true)
        }
        ConfigCommand::Show(_) => {
            let found = parse(&client.call("/v1/config", &Content::Nothing)?)?;
            let document = found["document"].as_str().unwrap_or_default();
            // Standard output is the document byte for byte, so that it can be edited.
            let about = ["version", "digest", "author", "reason", "time"];
            for name in about.iter().filter(|name| !found[**name].is_null()) {
                eprintln!("{name}: {}", table::cell(&found[*name]));
            }
            print(document)
        }
        ConfigCommand::History(_) => {
            show(&client.call("/v1/config/history", &Content::Nothing)?, json)
        }
    }
}

fn submit_document(client: &Client, submit: &Submit, json: bool) -> Result<(), Failure> {
    let document = read(submit.file.as_deref())?;
    let change = announce(submit.change.as_deref());
    let body = json!({
        "change": change,
        "base": submit.base,
        "document": document,
        "reason": submit.reason,
    });
    let answer = parse(&client.call("/v1/config", &Content::Change(&body))?)?;
    finish(
        &answer,
        &change,
        json,
        &format!("version {} is accepted", table::cell(&answer["version"])),
    )
}

fn change_primary(client: &Client, primary: &Primary, json: bool) -> Result<(), Failure> {
    let group = segment(primary.group.as_deref())?;
    let change = announce(primary.change.as_deref());
    let mut body = json!({ "change": change });
    if let Some(member) = &primary.member {
        body["member"] = json!(member);
    }
    let answer = client.call(
        &format!("/v1/groups/{group}/primary"),
        &Content::Change(&body),
    )?;
    let answer = parse(&answer).unwrap_or_default();
    finish(
        &answer,
        &change,
        json,
        &format!("the primary of {group} is being changed"),
    )
}

fn change_member(
    client: &Client,
    order: &Membership,
    verb: &str,
    done: &str,
    json: bool,
) -> Result<(), Failure> {
    let group = segment(order.group.as_deref())?;
    let member = segment(order.member.as_deref())?;
    let change = announce(order.change.as_deref());
    let body = json!({ "change": change, "member": member });
    let path = format!("/v1/groups/{group}/{verb}");
    let answer = client.call(&path, &Content::Change(&body))?;
    let answer = parse(&answer).unwrap_or_default();
    finish(&answer, &change, json, &format!("{member} {done} {group}"))
}

/// Prints the id of a change before it is sent, so that it is known when the answer is lost.
fn announce(given: Option<&str>) -> String {
    let change = given.map_or_else(|| format!("{:032x}", rand::random::<u128>()), str::to_owned);
    eprintln!("change: {}", table::printable(&change));
    change
}

fn finish(answer: &Value, change: &str, json: bool, text: &str) -> Result<(), Failure> {
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

fn done(answer: &str, json: bool, text: &str) -> Result<(), Failure> {
    if !json {
        return print(&format!("{text}\n"));
    }
    let answer = parse(answer).unwrap_or_else(|_| json!({}));
    print(&format!("{answer:#}\n"))
}

fn show(answer: &str, json: bool) -> Result<(), Failure> {
    if json {
        pretty(answer)
    } else {
        print(&table::render(&parse(answer)?))
    }
}

fn pretty(answer: &str) -> Result<(), Failure> {
    print(&format!("{:#}\n", parse(answer)?))
}

/// Writes to standard output; a reader that went away, such as `head`, is no error.
fn print(text: &str) -> Result<(), Failure> {
    let mut output = io::stdout().lock();
    match output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
    {
        Err(cause) if cause.kind() != io::ErrorKind::BrokenPipe => Err(Failure::failed(
            format!("cannot write to standard output: {cause}"),
            "check where the output goes",
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

fn read(file: Option<&Path>) -> Result<String, Failure> {
    let file = file.ok_or_else(|| missing("FILE"))?;
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

/// Checks a name that becomes part of a path.
fn segment(name: Option<&str>) -> Result<&str, Failure> {
    let name = name.ok_or_else(|| missing("the name"))?;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.bytes().all(plain) && !name.bytes().all(|byte| byte == b'.') {
        return Ok(name);
    }
    Err(Failure::usage(
        format!("`{name}` is not a name"),
        "use letters, digits, `-`, `_` and `.`; `status` lists the names",
    ))
}

fn missing(what: &str) -> Failure {
    Failure::usage(
        format!("the command is incomplete: {what} is missing"),
        "`goldcrestrail --help` and `goldcrestrail COMMAND --help` show the usage",
    )
}
