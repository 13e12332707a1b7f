//! HTTP routes of the caller API.

use crate::chat::parse_chat;
use crate::errors::{ErrorDetail, refusal_response};
use crate::front::{ChatAnswer, Front, ServiceAnswer, ServiceCall};
use crate::sse::{failure_detail, stream_response};
use crate::unstreamed::completion_response;
use bytes::Bytes;
use prelude::{AccountId, RunState};
use serde::Serialize;
use std::convert::Infallible;
use warp::http::{Method, StatusCode};
use warp::path::Tail;
use warp::reply::{Reply, Response};
use warp::{Filter, Rejection};

const IDEMPOTENCY_KEY_CHARS_MAX: usize = 255;

/// Returns all routes. Bodies larger than `body_bytes` are rejected.
pub(crate) fn routes<F: Front>(
    front: F,
    body_bytes: u64,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone {
    chat(front.clone(), body_bytes)
        .or(resume(front.clone()))
        .or(models(front.clone()))
        .or(services(front.clone(), body_bytes))
        .or(health(front))
        .recover(handle_rejection)
}

fn with_front<F: Front>(front: F) -> impl Filter<Extract = (F,), Error = Infallible> + Clone {
    warp::any().map(move || front.clone())
}

/// Extracts the bearer key from the `Authorization` header.
fn bearer() -> impl Filter<Extract = (Option<String>,), Error = Rejection> + Clone {
    warp::header::optional("authorization").map(|header: Option<String>| {
        let header = header?;
        let (scheme, key) = header.split_once(' ')?;
        scheme
            .eq_ignore_ascii_case("bearer")
            .then(|| key.trim().to_owned())
    })
}

fn authenticate<F: Front>(front: &F, key: Option<String>) -> Option<AccountId> {
    front.authenticate(&key?)
}

fn chat<F: Front>(
    front: F,
    body_bytes: u64,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(bearer())
        .and(warp::header::optional("last-event-id"))
        .and(warp::body::content_length_limit(body_bytes))
        .and(warp::body::bytes())
        .and(with_front(front))
        .then(start_chat)
}

async fn start_chat<F: Front>(
    key: Option<String>,
    last_event_id: Option<String>,
    body: Bytes,
    front: F,
) -> Response {
    let Some(account) = authenticate(&front, key) else {
        return unauthorized();
    };
    if let Some(id) = last_event_id.filter(|id| !id.is_empty()) {
        return chat_response(front.resume(account, &id).await, true).await;
    }
    match parse_chat(&body) {
        Err(message) => invalid(message),
        Ok(request) => {
            let stream = request.stream;
            chat_response(front.chat(account, request).await, stream).await
        }
    }
}

/// Resumes a stream by `GET`, which `EventSource` clients use to reconnect.
fn resume<F: Front>(front: F) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v1" / "chat" / "completions")
        .and(warp::get())
        .and(bearer())
        .and(warp::header::header("last-event-id"))
        .and(with_front(front))
        .then(|key: Option<String>, id: String, front: F| async move {
            match authenticate(&front, key) {
                None => unauthorized(),
                Some(account) => chat_response(front.resume(account, &id).await, true).await,
            }
        })
}

async fn chat_response(answer: ChatAnswer, stream: bool) -> Response {
    match answer {
        ChatAnswer::Stream(opened) if stream => stream_response(opened),
        ChatAnswer::Stream(opened) => completion_response(opened).await,
        ChatAnswer::Refused(refusal) => refusal_response(refusal),
        ChatAnswer::Invalid(message) => invalid(message),
        ChatAnswer::UnknownStream => ErrorDetail::new(
            "invalid_request",
            "unknown_stream",
            "this is no resume token of this account",
            RunState::NotRun,
        )
        .response(StatusCode::NOT_FOUND),
        ChatAnswer::Lost(failure) => failure_detail(&failure).response(StatusCode::GONE),
    }
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
}

fn models<F: Front>(front: F) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v1" / "models")
        .and(warp::get())
        .and(bearer())
        .and(with_front(front))
        .map(|key: Option<String>, front: F| {
            if authenticate(&front, key).is_none() {
                return unauthorized();
            }
            let model = |id| Model {
                id,
                object: "model",
            };
            let data = front.models().into_iter().map(model).collect();
            let list = ModelList {
                object: "list",
                data,
            };
            warp::reply::json(&list).into_response()
        })
}

fn query() -> impl Filter<Extract = (String,), Error = Infallible> + Clone {
    warp::query::raw().or(warp::any().map(String::new)).unify()
}

fn services<F: Front>(
    front: F,
    body_bytes: u64,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let body = warp::body::content_length_limit(body_bytes)
        .and(warp::body::bytes())
        .or(warp::get().map(Bytes::new))
        .unify();
    warp::path("services")
        .and(warp::path::param::<String>())
        .and(warp::path::tail())
        .and(query())
        .and(warp::method())
        .and(bearer())
        .and(warp::header::optional("idempotency-key"))
        .and(warp::header::optional("content-type"))
        .and(body)
        .and(with_front(front))
        .then(call_service)
}

#[expect(
    clippy::too_many_arguments,
    reason = "one for each part of the request"
)]
async fn call_service<F: Front>(
    service: String,
    tail: Tail,
    query: String,
    method: Method,
    bearer_key: Option<String>,
    key: Option<String>,
    content_type: Option<String>,
    body: Bytes,
    front: F,
) -> Response {
    let Some(account) = authenticate(&front, bearer_key) else {
        return unauthorized();
    };
    let key = match key.map(idempotency_key).transpose() {
        Ok(key) => key,
        Err(message) => return invalid(message),
    };
    let path = match query.is_empty() {
        true => tail.as_str().to_owned(),
        false => format!("{}?{query}", tail.as_str()),
    };
    let call = ServiceCall {
        service,
        method: method.as_str().to_owned(),
        path,
        key,
        content_type,
        body,
    };
    service_response(front.call(account, call).await)
}

/// Strips the quotes of a structured header string and checks the length of the key.
fn idempotency_key(header: String) -> Result<String, String> {
    let key = header.trim().trim_matches('"').to_owned();
    if key.is_empty() || key.len() > IDEMPOTENCY_KEY_CHARS_MAX {
        return Err(format!(
            "`Idempotency-Key` must have 1 to {IDEMPOTENCY_KEY_CHARS_MAX} characters"
        ));
    }
    Ok(key)
}

fn service_response(answer: ServiceAnswer) -> Response {
    match answer {
        ServiceAnswer::Done {
            status,
            content_type,
            body,
            replayed,
        } => done_response(status, content_type, body, replayed),
        ServiceAnswer::Refused(refusal) => refusal_response(refusal),
        ServiceAnswer::Invalid(message) => invalid(message),
        ServiceAnswer::KeyReused => ErrorDetail::new(
            "invalid_request",
            "key_reused",
            "this `Idempotency-Key` belongs to another request",
            RunState::NotRun,
        )
        .response(StatusCode::UNPROCESSABLE_ENTITY),
        ServiceAnswer::NoService => ErrorDetail::new(
            "invalid_request",
            "no_service",
            "no service of this name",
            RunState::NotRun,
        )
        .response(StatusCode::NOT_FOUND),
        ServiceAnswer::Unknown(message) => {
            ErrorDetail::new("outcome_unknown", "unknown", message, RunState::Unknown)
                .response(StatusCode::BAD_GATEWAY)
        }
    }
}

fn done_response(
    status: u16,
    content_type: Option<String>,
    body: Bytes,
    replayed: bool,
) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = warp::reply::Response::new(body.into());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Some(value) = content_type.and_then(|text| text.parse().ok()) {
        headers.insert("content-type", value);
    }
    if replayed {
        headers.insert(
            "idempotency-replayed",
            warp::http::HeaderValue::from_static("true"),
        );
    }
    response
}

fn health<F: Front>(front: F) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let live = warp::path!("livez").map(|| "live");
    let ready = warp::path!("readyz")
        .and(with_front(front))
        .map(|front: F| {
            let (text, status) = match front.ready() {
                true => ("ready", StatusCode::OK),
                false => ("not ready", StatusCode::SERVICE_UNAVAILABLE),
            };
            warp::reply::with_status(text, status)
        });
    live.or(ready)
}

fn unauthorized() -> Response {
    ErrorDetail::new(
        "invalid_request",
        "unauthorized",
        "no account has this bearer key",
        RunState::NotRun,
    )
    .response(StatusCode::UNAUTHORIZED)
}

fn invalid(message: String) -> Response {
    ErrorDetail::new("invalid_request", "invalid", message, RunState::NotRun)
        .response(StatusCode::BAD_REQUEST)
}

async fn handle_rejection(rejection: Rejection) -> Result<Response, Infallible> {
    let (status, message) = if rejection.is_not_found() {
        (StatusCode::NOT_FOUND, "no such path".to_owned())
    } else if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        (
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is too large".to_owned(),
        )
    } else if rejection.find::<warp::reject::LengthRequired>().is_some() {
        (
            StatusCode::LENGTH_REQUIRED,
            "`Content-Length` is required".to_owned(),
        )
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        (
            StatusCode::METHOD_NOT_ALLOWED,
            "this method is not allowed here".to_owned(),
        )
    } else {
        (StatusCode::BAD_REQUEST, format!("{rejection:?}"))
    };
    let detail = ErrorDetail::new("invalid_request", "invalid", message, RunState::NotRun);
    Ok(detail.response(status))
}
