//! Writes a streamed answer as server-sent events.

use crate::errors::{ErrorBody, ErrorDetail};
use crate::front::{CallerEvent, OpenedStream, StreamFailure};
use bytes::{Bytes, BytesMut};
use futures::Stream;
use std::convert::Infallible;
use std::fmt::Write;
use tokio::sync::mpsc;
use warp::reply::{Reply, Response};

/// Maximum number of events written in one chunk of the response body.
const MAX_EVENTS_PER_CHUNK: usize = 32;

pub(crate) fn stream_response(opened: OpenedStream) -> Response {
    let body = warp::reply::stream(body_chunks(opened));
    let typed = warp::reply::with_header(body, "content-type", "text/event-stream");
    warp::reply::with_header(typed, "cache-control", "no-cache").into_response()
}

struct SseWriter {
    seal: String,
    events: mpsc::Receiver<CallerEvent>,
    ready: Vec<CallerEvent>,
}

fn body_chunks(
    opened: OpenedStream,
) -> impl Stream<Item = Result<Bytes, Infallible>> + Send + Sync {
    let writer = SseWriter {
        seal: String::new(),
        events: opened.events,
        ready: Vec::new(),
    };
    futures::stream::unfold(writer, |mut writer| async move {
        let count = writer
            .events
            .recv_many(&mut writer.ready, MAX_EVENTS_PER_CHUNK)
            .await;
        if count == 0 {
            return None;
        }
        let mut body_chunk = BytesMut::with_capacity(count * 384);
        for event in writer.ready.drain(..) {
            match event {
                CallerEvent::Began { seal } => writer.seal = seal,
                event => write_event(&mut body_chunk, &writer.seal, &event),
            }
        }
        Some((Ok(body_chunk.freeze()), writer))
    })
}

fn write_event(body_chunk: &mut BytesMut, seal: &str, event: &CallerEvent) {
    // Writing to a memory buffer cannot fail.
    let _ = match event {
        CallerEvent::Chunk { index, data } if seal.is_empty() => {
            let _ = index;
            write!(body_chunk, "data: {data}\n\n")
        }
        CallerEvent::Chunk { index, data } => {
            write!(body_chunk, "id: {seal}.{index}\ndata: {data}\n\n")
        }
        CallerEvent::Began { .. } => Ok(()),
        CallerEvent::Done => write!(body_chunk, "data: [DONE]\n\n"),
        CallerEvent::Failed(failure) => {
            let body = ErrorBody {
                error: failure_detail(failure),
            };
            let json = serde_json::to_string(&body).unwrap_or_default();
            write!(body_chunk, "event: error\ndata: {json}\n\n")
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
