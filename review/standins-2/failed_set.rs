//! A database that fails part of its requests, among them the `SET`s that the system sends.

use crate::{
    Case, Verdict,
    database::Group,
    deployment::{Client, Deployment, Route},
};

const SERVICE: &str = "huvo11a";
const ROUTE: &str = "lepu270";
/// Of this many `SET`s, one fails: less than the dose of `srv_grey`, 0.37 to 0.4.
const FAILING: u32 = 3;
const ROUNDS: u32 = 40;

pub fn run(case: &Case) -> Verdict {
    let failed = |cause: &str| Verdict::Failed(cause.to_owned());
    let group = Group::start(SERVICE, case.network, 3, &case.record);
    group.serve_platform(case.network.platform());
    let Ok(deployment) = Deployment::start(case.network, 1, case.limit) else {
        return failed("the programs don't start");
    };
    group.announce(&deployment.controls());
    let routes = [Route {
        name: ROUTE,
        kind: "primary",
        timeout_ms: 800,
    }];
    if !deployment.configure(1, SERVICE, &routes) || !deployment.serves(ROUTE) {
        return failed("no service");
    }
    if case.disrupted {
        group.fail_sets(FAILING);
    }
    let callers = deployment.callers(1);
    let (Some(mut first), Some(mut second)) = (
        Client::connect(callers, ROUTE),
        Client::connect(callers, ROUTE),
    ) else {
        return failed("no session");
    };
    for (client, value) in [(&mut first, "one"), (&mut second, "two")] {
        let answer = client.execute("set", &format!("SET owner {value}"));
        case.record.add(&format!("SET owner {value} -> {answer:?}"));
        if !answer.is_some_and(|answer| answer.outcome.starts_with("COMPLETE")) {
            return failed("a value isn't set");
        }
    }
    for round in 0..ROUNDS {
        for (client, value) in [(&mut first, "one"), (&mut second, "two")] {
            let id = format!("{value}{round}");
            let answer = client.execute(&id, &format!("STORE k{value} {round}"));
            let outcome = answer.map(|answer| answer.outcome);
            case.record.add(&format!("{id} -> {outcome:?}"));
        }
    }
    group.fail_sets(0);
    let runs = group.runs();
    let differs = runs.iter().filter(|run| {
        let wanted = ["one", "two"]
            .into_iter()
            .find(|value| run.id.starts_with(value));
        wanted.is_some_and(|wanted| run.values.get("owner").map(String::as_str) != Some(wanted))
    });
    let differs: Vec<_> = differs.collect();
    for run in &differs {
        let found = run.values.get("owner");
        let text = format!(
            "{} ran {} {} with owner {found:?}",
            run.database, run.id, run.text
        );
        case.record.add(&text);
    }
    if differs.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
