//! Writes an answer as server-sent events.

use crate::errors::{ErrorBody, ErrorDetail};
use crate::front::{CallerEvent, OpenedStream, StreamFailure};
use bytes::{Bytes, BytesMut};
use futures::Stream;
use std::convert::Infallible;
use std::fmt::Write;
use tokio::sync::mpsc;
use warp::reply::{Reply, Response};

/// Events that are written as one piece of body at the most.
const EVENTS_PER_PIECE: usize = 32;

pub(crate) fn stream_response(opened: OpenedStream) -> Response {
    let body = warp::reply::stream(pieces(opened));
    let typed = warp::reply::with_header(body, "content-type", "text/event-stream");
    warp::reply::with_header(typed, "cache-control", "no-cache").into_response()
}

struct Writer {
    seal: String,
    events: mpsc::Receiver<CallerEvent>,
    ready: Vec<CallerEvent>,
}

fn pieces(opened: OpenedStream) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + Sync {
    let writer = Writer {
        seal: String::new(),
        events: opened.events,
        ready: Vec::new(),
    };
    futures::stream::unfold(writer, |mut writer| async move {
        let count = writer
            .events
            .recv_many(&mut writer.ready, EVENTS_PER_PIECE)
            .await;
        if count == 0 {
            return None;
        }
        let mut piece = BytesMut::with_capacity(count * 384);
        for event in writer.ready.drain(..) {
            match event {
                CallerEvent::Began { seal } => writer.seal = seal,
                event => write_event(&mut piece, &writer.seal, &event),
            }
        }
        Some((Ok(piece.freeze()), writer))
    })
}

fn write_event(piece: &mut BytesMut, seal: &str, event: &CallerEvent) {
    // Writing into memory does not fail.
    let _ = match event {
        CallerEvent::Chunk { index, data } if seal.is_empty() => {
            let _ = index;
            write!(piece, "data: {data}\n\n")
        }
        CallerEvent::Chunk { index, data } => {
            write!(piece, "id: {seal}.{index}\ndata: {data}\n\n")
        }
        CallerEvent::Began { .. } => Ok(()),
        CallerEvent::Done => write!(piece, "data: [DONE]\n\n"),
        CallerEvent::Failed(failure) => {
            let body = ErrorBody {
                error: failure_detail(failure),
            };
            let json = serde_json::to_string(&body).unwrap_or_default();
            write!(piece, "event: error\ndata: {json}\n\n")
        }
    };
}

pub(crate) fn failure_detail(failure: &StreamFailure) -> ErrorDetail {
    let code = failure.run.as_str();
    let message = failure.message.as_str();
    let mut detail = ErrorDetail::new("stream_failed", code, message, failure.run);
    detail.delivered_chunks = Some(failure.delivered);
    detail.retry_after_ms = failure.retry_after_ms;
    detail
}
