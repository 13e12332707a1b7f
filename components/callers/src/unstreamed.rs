//! Assembles the chunks of an answer into one response for callers that do not request a stream.

use crate::errors::ErrorDetail;
use crate::front::{CallerEvent, OpenedStream};
use crate::sse::failure_detail;
use prelude::RunState;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use warp::http::StatusCode;
use warp::reply::{Reply, Response};

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    id: String,
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<Value>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Default, Serialize)]
struct Completion {
    id: String,
    object: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<String>,
    choices: [Choice; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Value>,
}

#[derive(Default, Serialize)]
struct Choice {
    index: u32,
    message: Message,
    finish_reason: Option<String>,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

impl Default for Message {
    fn default() -> Self {
        Self {
            role: "assistant",
            content: String::new(),
        }
    }
}

impl Completion {
    fn add(&mut self, chunk: Chunk) {
        self.id = chunk.id;
        self.model = chunk.model.or(self.model.take());
        self.usage = chunk.usage.or(self.usage.take());
        let [choice] = &mut self.choices;
        for part in chunk.choices {
            choice
                .message
                .content
                .push_str(part.delta.content.as_deref().unwrap_or(""));
            choice.finish_reason = part.finish_reason.or(choice.finish_reason.take());
        }
    }
}

pub(crate) async fn completion_response(mut opened: OpenedStream) -> Response {
    let mut completion = Completion {
        object: "chat.completion",
        ..Completion::default()
    };
    while let Some(event) = opened.events.recv().await {
        match event {
            CallerEvent::Began { .. } => {}
            CallerEvent::Chunk { data, .. } => match serde_json::from_str(&data) {
                Ok(chunk) => completion.add(chunk),
                Err(error) => {
                    return incomplete(format!("a chunk of the engine is no JSON: {error}"));
                }
            },
            CallerEvent::Done => return warp::reply::json(&completion).into_response(),
            CallerEvent::Failed(failure) => {
                return failure_detail(&failure).response(StatusCode::BAD_GATEWAY);
            }
        }
    }
    incomplete("the answer ended early".into())
}

fn incomplete(message: String) -> Response {
    ErrorDetail::new("stream_failed", "incomplete", message, RunState::Incomplete)
        .response(StatusCode::BAD_GATEWAY)
}
