//! HTTP route on which database members announce themselves.

use std::{rc::Rc, time::Instant};

use axum::{
    Json, Router,
    body::Bytes,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::post,
};
use base::name::is_word;
use route::Announcement;
use send_wrapper::SendWrapper;
use serde_json::json;

use crate::network::Network;

/// Longest name in an announcement, in bytes.
const MAX_NAME_BYTES: usize = 63;

/// Returns the route `POST /v1/announce`.
pub fn routes(network: Rc<Network>) -> Router {
    let network = SendWrapper::new(network);
    Router::new().route(
        "/v1/announce",
        post(move |body: Bytes| std::future::ready(receive(&network, &body))),
    )
}

fn receive(network: &Network, body: &[u8]) -> Response {
    match parse(body) {
        Ok(announcement) => {
            network.receive_announcement(announcement, Instant::now());
            StatusCode::NO_CONTENT.into_response()
        }
        Err((cause, mend)) => {
            let body = Json(json!({"cause": cause, "mend": mend}));
            (StatusCode::BAD_REQUEST, body).into_response()
        }
    }
}

/// Parses and validates an announcement.
///
/// # Errors
/// The cause, and how to fix it.
pub fn parse(body: &[u8]) -> Result<Announcement, (String, String)> {
    let announcement: Announcement = serde_json::from_slice(body).map_err(|cause| {
        let mend = "send the fields member, group, store, address, zone, region, connections, \
                    slots and leaving as JSON";
        (cause.to_string(), mend.to_owned())
    })?;
    let names = [
        ("member", &announcement.member),
        ("group", &announcement.group),
        ("store", &announcement.store),
        ("zone", &announcement.zone),
        ("region", &announcement.region),
    ];
    for (field, value) in names {
        if value.is_empty() || value.len() > MAX_NAME_BYTES {
            return Err((
                format!("{field} is not 1 to {MAX_NAME_BYTES} bytes long"),
                format!("send a shorter {field}"),
            ));
        }
    }
    let words = [
        ("member", &announcement.member),
        ("group", &announcement.group),
        ("store", &announcement.store),
    ];
    for (field, value) in words {
        if !is_word(value, MAX_NAME_BYTES) {
            return Err((
                format!("{field} has blanks or control characters"),
                format!("send a {field} of one word"),
            ));
        }
    }
    if announcement.address.port() == 0 || announcement.address.ip().is_unspecified() {
        return Err((
            format!("address {} can't be connected to", announcement.address),
            "send the IP number and port where the database listens".to_owned(),
        ));
    }
    if announcement.connections == 0 || announcement.slots == 0 {
        return Err((
            "connections or slots is 0".to_owned(),
            "send the limits of the database".to_owned(),
        ));
    }
    Ok(announcement)
}
