//! Announcements to entry hosts.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use compio::{
    buf::BufResult,
    io::{AsyncRead, AsyncWriteExt},
};
use serde_json::json;
use slog::debug;

use crate::member::Member;

/// Interval between announcements.
const INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one announcement.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Announces the member to one address every [`INTERVAL`], forever. A planned stop is first
/// announced to every address.
pub async fn run(member: Rc<Member>) {
    let addresses = member.settings.announce.clone();
    if addresses.is_empty() {
        member.stop_announced.set(true);
        return;
    }
    let mut next = 0;
    loop {
        let stop = member.stop.listen();
        if member.leaving.get() && !member.stop_announced.get() {
            let posts = addresses.iter().map(|address| post(&member, *address));
            let accepted = futures_util::future::join_all(posts).await;
            member.stop_accepted.set(accepted.contains(&true));
            member.stop_announced.set(true);
        } else {
            // The next address is tried when one fails, as a load balancer would.
            for _ in 0..addresses.len() {
                let address = addresses[next % addresses.len()];
                next += 1;
                if post(&member, address).await {
                    break;
                }
            }
        }
        if member.leaving.get() {
            compio::time::sleep(INTERVAL).await;
        } else {
            let _elapsed: Result<(), _> = compio::time::timeout(INTERVAL, stop).await;
        }
    }
}

/// Posts one announcement and returns whether it was accepted.
async fn post(member: &Member, address: SocketAddr) -> bool {
    let outcome = compio::time::timeout(TIMEOUT, exchange(member, address)).await;
    let label = match outcome {
        Ok(Ok(status)) if (200..300).contains(&status) => "accepted",
        Ok(Ok(status)) => {
            debug!(member.log, "announcement refused"; "to" => %address, "status" => status);
            "refused"
        }
        Ok(Err(cause)) => {
            debug!(member.log, "announcement failed"; "to" => %address, "cause" => %cause);
            "failed"
        }
        Err(_elapsed) => "silent",
    };
    let counter = &member.metrics.announcements;
    counter.with_label_values(&[label]).inc();
    label == "accepted"
}

async fn exchange(member: &Member, address: SocketAddr) -> io::Result<u16> {
    let settings = &member.settings;
    let body = json!({
        "member": settings.member,
        "group": settings.group,
        "store": member.store.borrow().id(),
        "address": settings.advertise,
        "zone": settings.zone,
        "region": settings.region,
        "connections": settings.connections,
        "slots": settings.slots,
        "leaving": member.leaving.get(),
    })
    .to_string();
    let request = format!(
        "POST /v1/announce HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let mut stream = base::net::connect(settings.host, address, TIMEOUT).await?;
    let BufResult(written, _buffer) = stream.write_all(request.into_bytes()).await;
    written?;
    let mut head = Vec::new();
    while !head.windows(2).any(|pair| pair == b"\r\n") {
        let BufResult(count, part) = stream.read(Vec::with_capacity(512)).await;
        if count? == 0 || head.len() > 4_096 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        head.extend(part);
    }
    // A status line is `HTTP/1.1 200 OK`.
    str::from_utf8(&head)
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse().ok())
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}
