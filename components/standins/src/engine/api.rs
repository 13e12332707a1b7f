//! The engine's HTTP interface.

use super::outputs::Progress;
use super::request::{ChatBody, token_text};
use super::server::State;
use bytes::Bytes;
use futures::Stream;
use prelude::unix_ms;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use warp::http::StatusCode;
use warp::reply::Reply;
use warp::{Filter, Rejection};

pub(super) async fn serve(state: Arc<State>, listener: TcpListener) {
    let routes = chat(state.clone())
        .or(resume(state.clone()))
        .or(cancel(state.clone()))
        .or(metrics(state.clone()))
        .or(cache_events(state.clone()))
        .or(orders(state));
    warp::serve(routes).incoming(listener).run().await;
}

fn with<T: Clone + Send>(value: T) -> impl Filter<Extract = (T,), Error = Infallible> + Clone {
    warp::any().map(move || value.clone())
}

fn chat(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(warp::header::optional("x-request-id"))
        .and(warp::body::json())
        .and(with(state))
        .then(
            |id: Option<String>, body: ChatBody, state: Arc<State>| async move {
                if let Some(turned_away) = turn_away(&state) {
                    return turned_away;
                }
                let generation = id.unwrap_or_else(|| state.next_name());
                state.start(&generation, &body);
                open_stream(&state, &generation, 0)
            },
        )
}

/// The answer of an engine that asks for a pause.
fn turn_away(state: &State) -> Option<warp::reply::Response> {
    let pause_ms = state.pause_ms.load(Ordering::Relaxed);
    if pause_ms == 0 {
        return None;
    }
    state.turned_away.fetch_add(1, Ordering::Relaxed);
    let refused = status(StatusCode::SERVICE_UNAVAILABLE, "come back later");
    let pause_s = (pause_ms as f64 / 1_000.0).to_string();
    Some(warp::reply::with_header(refused, "retry-after", pause_s).into_response())
}

fn resume(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v1" / "chat" / "completions" / String)
        .and(warp::get())
        .and(warp::header::optional("last-event-id"))
        .and(with(state))
        .then(
            |generation: String, last: Option<String>, state: Arc<State>| async move {
                let last_index = last
                    .as_deref()
                    .and_then(|id| id.rsplit_once(':'))
                    .and_then(|(_, index)| index.parse::<u64>().ok());
                let next_index = last_index.map_or(0, |index| index + 1);
                open_stream(&state, &generation, next_index)
            },
        )
}

fn cancel(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v1" / "chat" / "completions" / String)
        .and(warp::delete())
        .and(with(state))
        .map(|generation: String, state: Arc<State>| {
            state.cancel(&generation);
            status(StatusCode::NO_CONTENT, "")
        })
}

fn metrics(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("metrics")
        .and(warp::get())
        .and(with(state))
        .then(|state: Arc<State>| async move {
            wait_out_stall(&state).await;
            metrics_text(&state)
        })
}

fn metrics_text(state: &State) -> String {
    let report = state.reported();
    let share = report.used_tokens as f64 / state.settings.kv_capacity_tokens.max(1) as f64;
    let leaving = u8::from(state.leaving.load(Ordering::Relaxed));
    let mut text = String::new();
    let _ = writeln!(text, "# TYPE vllm:num_requests_running gauge");
    let _ = writeln!(text, "vllm:num_requests_running {}", report.running);
    let _ = writeln!(text, "# TYPE vllm:num_requests_waiting gauge");
    let _ = writeln!(text, "vllm:num_requests_waiting {}", report.waiting);
    let _ = writeln!(text, "# TYPE vllm:kv_cache_usage_perc gauge");
    let _ = writeln!(text, "vllm:kv_cache_usage_perc {share}");
    let _ = writeln!(text, "# TYPE vllm:num_preemptions_total counter");
    let _ = writeln!(text, "vllm:num_preemptions_total {}", report.preemptions);
    let _ = writeln!(text, "# TYPE process_start_time_seconds gauge");
    let started_s = state.started_ms as f64 / 1000.0;
    let _ = writeln!(text, "process_start_time_seconds {started_s:.3}");
    let _ = writeln!(text, "# TYPE engine_leaving gauge");
    let _ = writeln!(text, "engine_leaving {leaving}");
    text
}

#[derive(Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

fn cache_events(
    state: Arc<State>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("kv_events")
        .and(warp::get())
        .and(warp::query())
        .and(with(state))
        .map(|query: AfterQuery, state: Arc<State>| {
            let lag_ms = state.settings.cache_event_lag_ms;
            let gap = state.settings.cache_event_gap;
            let mut events = state
                .lock()
                .core
                .prefixes
                .published(query.after, lag_ms, unix_ms());
            events.retain(|event| gap == 0 || event.seq % gap != 0);
            warp::reply::json(&events)
        })
}

#[derive(Debug, Deserialize, Serialize)]
struct Order {
    action: String,
    fence: u64,
}

fn orders(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("orders")
        .and(warp::post())
        .and(warp::body::json())
        .and(with(state))
        .map(|order: Order, state: Arc<State>| {
            let seen = state.fence.fetch_max(order.fence, Ordering::SeqCst);
            if state.settings.checks_fences && order.fence < seen {
                return status(StatusCode::PRECONDITION_FAILED, "a later order was taken");
            }
            match order.action.as_str() {
                "leave" => state.leaving.store(true, Ordering::Relaxed),
                "serve" => state.leaving.store(false, Ordering::Relaxed),
                _ => return status(StatusCode::BAD_REQUEST, "unknown action"),
            }
            status(StatusCode::OK, "taken")
        })
}

fn status(code: StatusCode, text: &'static str) -> warp::reply::Response {
    warp::reply::with_status(text, code).into_response()
}

/// Leaves the generation when the reader goes away.
struct Reader {
    state: Arc<State>,
    generation: String,
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        inner.outputs.remove_reader(&self.generation, unix_ms());
    }
}

fn open_stream(state: &Arc<State>, generation: &str, next_index: u64) -> warp::reply::Response {
    let opened = state.lock().outputs.add_reader(generation);
    let Some((marker, progress)) = opened else {
        return status(StatusCode::NOT_FOUND, "unknown generation");
    };
    let reader = Reader {
        state: state.clone(),
        generation: generation.to_owned(),
    };
    let cursor = Cursor {
        link_epoch: state.link_epoch.load(Ordering::Relaxed),
        reader,
        marker,
        progress,
        next_index,
        ended: false,
    };
    let body = warp::reply::stream(chunks(cursor));
    let response = warp::reply::with_header(body, "content-type", "text/event-stream");
    warp::reply::with_header(response, "cache-control", "no-cache").into_response()
}

/// Where one reader stands.
struct Cursor {
    reader: Reader,
    marker: String,
    progress: watch::Receiver<Progress>,
    next_index: u64,
    link_epoch: u64,
    ended: bool,
}

fn chunks(cursor: Cursor) -> impl Stream<Item = io::Result<Bytes>> + Send + Sync {
    futures::stream::unfold(cursor, |mut cursor| async move {
        let item = next_chunk(&mut cursor).await?;
        Some((item, cursor))
    })
}

/// The events that are ready since the last call, as one piece of body.
async fn next_chunk(cursor: &mut Cursor) -> Option<io::Result<Bytes>> {
    if cursor.ended {
        return None;
    }
    loop {
        wait_out_stall(&cursor.reader.state).await;
        if cursor.reader.state.link_epoch.load(Ordering::Relaxed) != cursor.link_epoch {
            cursor.ended = true;
            return Some(Err(io::Error::other("link dropped")));
        }
        let progress = *cursor.progress.borrow_and_update();
        if progress.cancelled {
            return None;
        }
        if progress.tokens > cursor.next_index {
            let text = render(cursor, progress);
            return Some(Ok(Bytes::from(text)));
        }
        if progress.finished {
            cursor.ended = true;
            return Some(Ok(Bytes::from_static(DONE_EVENT.as_bytes())));
        }
        let changed = tokio::time::timeout(LINK_CHECK, cursor.progress.changed()).await;
        if matches!(changed, Ok(Err(_))) {
            return None;
        }
    }
}

const DONE_EVENT: &str = "data: [DONE]\n\n";
const LINK_CHECK: Duration = Duration::from_millis(20);

async fn wait_out_stall(state: &State) {
    let stalled_ms = state.stalled_ms();
    if stalled_ms > 0 {
        tokio::time::sleep(Duration::from_millis(stalled_ms)).await;
    }
}

fn render(cursor: &mut Cursor, progress: Progress) -> String {
    let generation = &cursor.reader.generation;
    let mut text = String::with_capacity(256 * (progress.tokens - cursor.next_index) as usize);
    while cursor.next_index < progress.tokens {
        let index = cursor.next_index;
        let last = progress.finished && index + 1 == progress.tokens;
        let reason = if last { "\"stop\"" } else { "null" };
        let content = token_text(&cursor.marker, generation, index);
        let _ = write!(
            text,
            "id: {generation}:{index}\ndata: {{\"id\":\"chatcmpl-{generation}\",\
             \"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":{reason}}}]}}\n\n"
        );
        cursor.next_index += 1;
    }
    if progress.finished {
        text.push_str(DONE_EVENT);
        cursor.ended = true;
    }
    text
}
