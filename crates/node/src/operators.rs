//! The operators' interface over HTTP, on an address of its own: configuration, fleet,
//! engines, liveness, readiness, metrics.

use crate::callers::error_response;
use crate::driver::Driver;
use crate::keys::{bearer_key, digest_of};
use crate::metrics;
use ntex::http::header;
use ntex::util::Bytes;
use ntex::web::types::{Path, State};
use ntex::web::{self, HttpRequest, HttpResponse};
use pitchstall_protocol::error::{ErrorBody, ErrorCode};
use pitchstall_protocol::ids::Revision;
use pitchstall_protocol::operator::{ApplyOutcome, ApplyRequest, EngineChangeRequest};
use pitchstall_runtime::{OperatorReply, OperatorRequest};
use std::rc::Rc;

/// State of the operators' interface.
pub struct Operators {
    /// The node.
    pub driver: Rc<Driver>,
    /// SHA-256 of the operators' key.
    pub key_sha256: String,
}

type Shared = State<Rc<Operators>>;

/// The routes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/live", web::get().to(live))
        .route("/ready", web::get().to(ready))
        .route("/metrics", web::get().to(show_metrics))
        .route("/configuration", web::get().to(configuration))
        .route("/configuration", web::post().to(apply))
        .route("/configuration/history/{revision}", web::get().to(history))
        .route("/configuration/spread", web::get().to(spread))
        .route("/fleet", web::get().to(fleet))
        .route("/engines", web::post().to(change_engine));
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(operators: Shared) -> HttpResponse {
    if operators.driver.with_node(|node| node.is_ready()) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn show_metrics(operators: Shared) -> HttpResponse {
    let text = operators.driver.with_node(metrics::render);
    HttpResponse::Ok().content_type(metrics::CONTENT_TYPE).body(text)
}

fn check_key(operators: &Operators, request: &HttpRequest) -> Result<(), ErrorBody> {
    let header = request.headers().get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let valid = bearer_key(header)
        .is_some_and(|key| digest_of(key).eq_ignore_ascii_case(&operators.key_sha256));
    if valid {
        Ok(())
    } else {
        Err(ErrorBody::refused(ErrorCode::Unauthorized, "expected the operators' key"))
    }
}

async fn ask(
    operators: &Operators,
    request: &HttpRequest,
    question: OperatorRequest,
) -> HttpResponse {
    if let Err(error) = check_key(operators, request) {
        return error_response(&error);
    }
    match operators.driver.ask(question).await {
        Some(reply) => respond(reply),
        None => {
            error_response(&ErrorBody::refused(ErrorCode::Leaving, "the node is shutting down"))
        }
    }
}

fn respond(reply: OperatorReply) -> HttpResponse {
    match reply {
        OperatorReply::Apply(outcome) => {
            let mut response = match &outcome {
                ApplyOutcome::Committed { .. } => HttpResponse::Ok(),
                ApplyOutcome::Conflict { .. } => HttpResponse::Conflict(),
                ApplyOutcome::Invalid { .. } => HttpResponse::BadRequest(),
                ApplyOutcome::Unknown => HttpResponse::Accepted(),
                ApplyOutcome::Unavailable => HttpResponse::ServiceUnavailable(),
            };
            response.json(&outcome)
        }
        OperatorReply::Document(Some(document)) => HttpResponse::Ok().json(&document),
        OperatorReply::Document(None) => {
            error_response(&ErrorBody::refused(ErrorCode::NotFound, "no such revision"))
        }
        OperatorReply::Spread(status) => HttpResponse::Ok().json(&status),
        OperatorReply::Fleet(status) => HttpResponse::Ok().json(&status),
        OperatorReply::ChangeEngine(outcome) => HttpResponse::Ok().json(&outcome),
        OperatorReply::Failed(error) => error_response(&error),
    }
}

async fn configuration(operators: Shared, request: HttpRequest) -> HttpResponse {
    ask(&operators, &request, OperatorRequest::Configuration).await
}

async fn apply(operators: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    match serde_json::from_slice::<ApplyRequest>(&body) {
        Ok(change) => ask(&operators, &request, OperatorRequest::Apply(Box::new(change))).await,
        Err(error) => invalid(&error),
    }
}

async fn history(operators: Shared, request: HttpRequest, revision: Path<u64>) -> HttpResponse {
    let question = OperatorRequest::History(Revision(*revision));
    ask(&operators, &request, question).await
}

async fn spread(operators: Shared, request: HttpRequest) -> HttpResponse {
    ask(&operators, &request, OperatorRequest::Spread).await
}

async fn fleet(operators: Shared, request: HttpRequest) -> HttpResponse {
    ask(&operators, &request, OperatorRequest::Fleet).await
}

async fn change_engine(operators: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    match serde_json::from_slice::<EngineChangeRequest>(&body) {
        Ok(change) => ask(&operators, &request, OperatorRequest::ChangeEngine(change)).await,
        Err(error) => invalid(&error),
    }
}

fn invalid(error: &serde_json::Error) -> HttpResponse {
    error_response(&ErrorBody::refused(ErrorCode::InvalidRequest, error.to_string()))
}
