//! A heartbeat of another writer whose id can't be put on the wire.

use std::{thread, time::Duration};

use crate::{
    Case, Verdict,
    database::Group,
    deployment::{Client, Deployment, Route},
    net::{http_call, unix_ms},
};

const SERVICE: &str = "huvo11a";
const ROUTE: &str = "lepu270";

pub fn run(case: &Case) -> Verdict {
    let failed = |cause: &str| Verdict::Failed(cause.to_owned());
    let group = Group::start(SERVICE, case.network, 3, &case.record);
    group.serve_platform(case.network.platform());
    let Ok(deployment) = Deployment::start(case.network, 2, case.limit) else {
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
    let primary = group.primary();
    let Some(address) = group.address_of(&primary) else {
        return failed("no primary");
    };
    let id = if case.disrupted {
        format!("{primary}%0D%0AQUERY%20foreign1%20STORE%20k9%20foreign")
    } else {
        "i-00ff00ff".to_owned()
    };
    let body = format!(
        "{{\"Service\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"z1\",\"Version\":\"v1\",\
         \"Slots\":2,\"State\":\"ready\",\"ColdLeftMs\":0,\"DbRole\":\"replica\",\"Seq\":1,\"born\":{}}}",
        unix_ms()
    );
    let to = deployment.controls()[0];
    let answer = http_call(to, "PUT", &format!("/-/instances/{id}"), &body);
    case.record
        .add(&format!("PUT /-/instances/{id} {body} -> {answer:?}"));
    thread::sleep(Duration::from_secs(4));
    let Some(mut client) = Client::connect(deployment.callers(1), ROUTE) else {
        return failed("no session at the end");
    };
    let answer = client.execute("own1", "FETCH k9");
    case.record
        .add(&format!("the client asks for k9 and gets {answer:?}"));

    let sent = ["probe", "own1"];
    let runs = group.runs();
    let unasked = runs
        .iter()
        .filter(|run| !sent.contains(&run.id.as_str()))
        .count();
    let commits = group.commits();
    let unasked_commits = commits
        .iter()
        .filter(|c| c.ids.iter().any(|id| !sent.contains(&id.as_str())));
    case.record.add(&format!(
        "statements that no client sent: {unasked} run, {} committed",
        unasked_commits.count()
    ));
    if unasked > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
