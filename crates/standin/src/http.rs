//! HTTP routes of a member.

use std::rc::Rc;

use axum::{
    Json, Router,
    body::Bytes,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::post,
};
use base::http::{Report, routes};
use send_wrapper::SendWrapper;
use serde_json::json;
use slog::info;

use crate::{fault::FaultChange, member::Member};

/// The common routes and `POST /v1/fault`.
pub fn router(member: &Rc<Member>) -> Router {
    let (dump_member, ready_member) = (Rc::clone(member), Rc::clone(member));
    let report = Report {
        metrics: member.metrics.registry.clone(),
        dump: Rc::new(move || dump_member.dump()),
        ready: Rc::new(move || !ready_member.leaving.get()),
    };
    let member = SendWrapper::new(Rc::clone(member));
    routes(report).route(
        "/v1/fault",
        post(move |body: Bytes| std::future::ready(change_faults(&member, &body))),
    )
}

fn change_faults(member: &Member, body: &[u8]) -> Response {
    match serde_json::from_slice::<FaultChange>(body) {
        Ok(change) => {
            let faults = member.faults.change(change);
            info!(member.log, "faults changed"; "faults" => ?faults);
            Json(faults).into_response()
        }
        Err(cause) => {
            let body = json!({
                "cause": cause.to_string(),
                "mend": "send a JSON object with lag_ms, frozen or stubborn",
            });
            (StatusCode::BAD_REQUEST, Json(body)).into_response()
        }
    }
}
