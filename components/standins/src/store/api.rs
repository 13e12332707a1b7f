//! The gateway's HTTP interface.

use super::data::{Data, in_range, is_write};
use super::messages::{
    DeleteRequest, LeaseRequest, LeaseResponse, Number, PutRequest, PutResponse, RangeRequest,
    TxnRequest, WatchCreate, WatchEvent, WatchLine, WatchRequest, WatchResult,
};
use super::server::State;
use bytes::Bytes;
use futures::Stream;
use prelude::unix_ms;
use serde::Serialize;
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};
use warp::{Filter, Rejection};

pub(super) async fn serve(state: Arc<State>, listener: TcpListener) {
    let routes = range(state.clone())
        .or(put(state.clone()))
        .or(delete(state.clone()))
        .or(txn(state.clone()))
        .or(lease(state.clone()))
        .or(watch(state));
    warp::serve(routes).incoming(listener).run().await;
}

fn with(state: Arc<State>) -> impl Filter<Extract = (Arc<State>,), Error = Infallible> + Clone {
    warp::any().map(move || state.clone())
}

fn range(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v3" / "kv" / "range")
        .and(warp::body::json())
        .and(with(state))
        .then(|request: RangeRequest, state: Arc<State>| async move {
            answer(&state, false, |data| data.range(&request)).await
        })
}

fn put(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v3" / "kv" / "put")
        .and(warp::body::json())
        .and(with(state))
        .then(|request: PutRequest, state: Arc<State>| async move {
            let apply = |data: &mut Data| {
                data.revision += 1;
                data.put(&request.key, &request.value);
                PutResponse {
                    header: data.header(),
                }
            };
            answer(&state, true, apply).await
        })
}

fn delete(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v3" / "kv" / "deleterange")
        .and(warp::body::json())
        .and(with(state))
        .then(|request: DeleteRequest, state: Arc<State>| async move {
            let apply = |data: &mut Data| {
                data.revision += 1;
                data.delete(&request.key);
                PutResponse {
                    header: data.header(),
                }
            };
            answer(&state, true, apply).await
        })
}

fn txn(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v3" / "kv" / "txn")
        .and(warp::body::json())
        .and(with(state))
        .then(|request: TxnRequest, state: Arc<State>| async move {
            let writes = request.success.iter().any(is_write);
            answer(&state, writes, |data| data.txn(&request)).await
        })
}

fn lease(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v3" / "lease" / "grant")
        .and(warp::body::json())
        .and(with(state))
        .then(|request: LeaseRequest, state: Arc<State>| async move {
            let apply = |data: &mut Data| {
                data.revision += 1;
                LeaseResponse {
                    id: Number(data.revision),
                    ttl: request.ttl,
                }
            };
            answer(&state, true, apply).await
        })
}

/// Applies a call under the faults that are switched on.
async fn answer<T: Serialize>(
    state: &State,
    writes: bool,
    apply: impl FnOnce(&mut Data) -> T,
) -> Response {
    let faults = &state.faults;
    let slow_ms = faults.slow_ms.load(Ordering::Relaxed);
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    if faults.down.load(Ordering::Relaxed) {
        return failure(StatusCode::SERVICE_UNAVAILABLE, "no leader");
    }
    if writes && !within_rate(state) {
        return failure(StatusCode::TOO_MANY_REQUESTS, "too many requests");
    }
    let counter = if writes {
        &faults.writes
    } else {
        &faults.reads
    };
    let number = counter.fetch_add(1, Ordering::Relaxed) + 1;
    let response = apply(&mut state.lock());
    if writes {
        state.changed.notify_waiters();
        let lose_every = faults.lose_every.load(Ordering::Relaxed);
        if lose_every > 0 && number % lose_every == 0 {
            faults.lost.fetch_add(1, Ordering::Relaxed);
            return failure(StatusCode::GATEWAY_TIMEOUT, "request timed out");
        }
    }
    warp::reply::json(&response).into_response()
}

fn within_rate(state: &State) -> bool {
    let limit = state.faults.writes_per_s.load(Ordering::Relaxed);
    if limit == 0 {
        return true;
    }
    let second = unix_ms() / 1000;
    let mut window = state.window.lock().unwrap_or_else(PoisonError::into_inner);
    if window.0 != second {
        *window = (second, 0);
    }
    window.1 += 1;
    window.1 <= limit
}

#[derive(Serialize)]
struct Failure {
    error: &'static str,
}

fn failure(status: StatusCode, error: &'static str) -> Response {
    warp::reply::with_status(warp::reply::json(&Failure { error }), status).into_response()
}

fn watch(state: Arc<State>) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v3" / "watch")
        .and(warp::body::json())
        .and(with(state))
        .then(|request: WatchRequest, state: Arc<State>| async move {
            if state.faults.down.load(Ordering::Relaxed) {
                return failure(StatusCode::SERVICE_UNAVAILABLE, "no leader");
            }
            state.faults.watches.fetch_add(1, Ordering::Relaxed);
            let start = request.create_request.start_revision.0;
            let next_revision = match start {
                0 => state.lock().revision + 1,
                start => start,
            };
            let cursor = WatchCursor {
                epoch: state.faults.watch_epoch.load(Ordering::Relaxed),
                state,
                create: request.create_request,
                next_revision,
                greeted: false,
            };
            warp::reply::stream(lines(cursor)).into_response()
        })
}

struct WatchCursor {
    state: Arc<State>,
    create: WatchCreate,
    next_revision: u64,
    epoch: u64,
    greeted: bool,
}

fn lines(cursor: WatchCursor) -> impl Stream<Item = io::Result<Bytes>> + Send + Sync {
    futures::stream::unfold(cursor, |mut cursor| async move {
        let line = next_line(&mut cursor).await?;
        let mut text = serde_json::to_vec(&line).unwrap_or_default();
        text.push(b'\n');
        Some((Ok(Bytes::from(text)), cursor))
    })
}

async fn next_line(cursor: &mut WatchCursor) -> Option<WatchLine> {
    if !cursor.greeted {
        cursor.greeted = true;
        return Some(line(&cursor.state, true, Vec::new()));
    }
    loop {
        let faults = &cursor.state.faults;
        let dropped = faults.watch_epoch.load(Ordering::Relaxed) != cursor.epoch;
        if dropped || faults.down.load(Ordering::Relaxed) {
            return None;
        }
        let events = new_events(cursor);
        if !events.is_empty() {
            return Some(line(&cursor.state, false, events));
        }
        let changed = cursor.state.changed.notified();
        let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
    }
}

fn new_events(cursor: &mut WatchCursor) -> Vec<WatchEvent> {
    let data = cursor.state.lock();
    let from = data
        .history
        .partition_point(|(revision, _)| *revision < cursor.next_revision);
    let events = data.history[from..]
        .iter()
        .filter(|(_, event)| {
            let end = cursor.create.range_end.as_ref();
            in_range(&event.kv.key.0, &cursor.create.key, end)
        })
        .map(|(_, event)| event.clone())
        .collect();
    cursor.next_revision = data.revision + 1;
    events
}

fn line(state: &State, created: bool, events: Vec<WatchEvent>) -> WatchLine {
    let header = state.lock().header();
    WatchLine {
        result: WatchResult {
            header,
            created,
            events,
        },
    }
}
