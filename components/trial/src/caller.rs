//! A caller who checks each chunk, and goes on through another box when a link breaks.

use crate::chat::{ChatEnd, ChatResult, ChatSpec};
use callers::{ErrorBody, ErrorDetail};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use prelude::RunState;
use reqwest::{Client, RequestBuilder, Response};
use serde::Deserialize;
use serde_json::json;
use standins::token_text;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest silence before a caller takes its link for broken.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);
/// Tries in a row to go on with a broken stream.
const RESUMES_MAX: u32 = 40;
const RESUME_PAUSE: Duration = Duration::from_millis(50);
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// A caller. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Caller {
    http: Client,
}

/// What a call of a plain service came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ran; this was the answer's body.
    Done(String),
    /// It was not run.
    NotRun(ErrorDetail),
    /// It may have run.
    Unknown(ErrorDetail),
    /// The link broke, so the caller knows nothing.
    NoAnswer,
    /// The box could not be reached.
    NotReached,
}

/// A call's outcome, with its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceReply {
    /// HTTP status; none where no answer came.
    pub status: Option<u16>,
    /// What it came to.
    pub outcome: CallOutcome,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Deserialize)]
struct Delta {
    content: String,
}

/// How one link ended.
enum LinkEnd {
    Over(ChatEnd),
    Broken,
    /// The box could not be reached, or took nothing.
    NotReached,
}

/// What is known of an answer across its links.
struct Progress {
    last_event_id: String,
    generation: Option<String>,
    last_chunk: Option<Instant>,
    broken_at: Option<Instant>,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// A caller.
    ///
    /// # Panics
    /// Where the HTTP library cannot start.
    pub fn new() -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()
            .expect("the HTTP client starts");
        Self { http }
    }

    /// Asks for an answer at the first of `boxes`; when the link breaks, goes on at the next.
    pub async fn chat(&self, boxes: &[SocketAddr], spec: &ChatSpec) -> ChatResult {
        self.chat_via(|at| boxes[at % boxes.len()], spec).await
    }

    /// The same, with the box for each link chosen by `choose`.
    pub async fn chat_via(
        &self,
        choose: impl Fn(usize) -> SocketAddr,
        spec: &ChatSpec,
    ) -> ChatResult {
        let mut result = ChatResult::new();
        let mut progress = Progress {
            last_event_id: String::new(),
            generation: None,
            last_chunk: None,
            broken_at: None,
        };
        let mut failures = 0;
        for at in 0.. {
            let chunks_before = result.chunks;
            let box_at = choose(at);
            let request = self.chat_request(box_at, spec, &progress.last_event_id);
            let end = match request.send().await {
                Ok(response) => read_link(response, spec, &mut result, &mut progress).await,
                Err(error) if error.is_connect() => LinkEnd::NotReached,
                Err(_) => LinkEnd::Broken,
            };
            match end {
                LinkEnd::Over(end) => {
                    result.end = end;
                    return result;
                }
                LinkEnd::Broken => result.cut_at.push(box_at),
                LinkEnd::NotReached => {}
            }
            failures = if result.chunks > chunks_before {
                0
            } else {
                failures + 1
            };
            if failures > RESUMES_MAX {
                result.end = ChatEnd::Lost("no box went on with it".into());
                return result;
            }
            progress.broken_at.get_or_insert_with(Instant::now);
            result.resumes += 1;
            tokio::time::sleep(RESUME_PAUSE).await;
        }
        result
    }

    fn chat_request(&self, at: SocketAddr, spec: &ChatSpec, last_event_id: &str) -> RequestBuilder {
        let mut request = self
            .http
            .post(format!("http://{at}/v1/chat/completions"))
            .bearer_auth(&spec.key)
            .json(&chat_body(spec));
        if !last_event_id.is_empty() {
            request = request.header("last-event-id", last_event_id);
        }
        request
    }

    /// Calls a plain service once, at one box.
    pub async fn call(
        &self,
        at: SocketAddr,
        service: &str,
        bearer: &str,
        key: &str,
        body: &str,
    ) -> ServiceReply {
        let sent = self
            .http
            .post(format!("http://{at}/services/{service}/run"))
            .bearer_auth(bearer)
            .header("idempotency-key", key)
            .timeout(CALL_LIMIT)
            .body(body.to_owned())
            .send()
            .await;
        let no_answer = ServiceReply {
            status: None,
            outcome: CallOutcome::NoAnswer,
        };
        let response = match sent {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return ServiceReply {
                    status: None,
                    outcome: CallOutcome::NotReached,
                };
            }
            Err(_) => return no_answer,
        };
        let status = response.status();
        let Ok(text) = response.text().await else {
            return no_answer;
        };
        let outcome = match serde_json::from_str::<ErrorBody>(&text) {
            Err(_) => CallOutcome::Done(text),
            Ok(body) if body.error.run == RunState::NotRun => CallOutcome::NotRun(body.error),
            Ok(body) => CallOutcome::Unknown(body.error),
        };
        ServiceReply {
            status: Some(status.as_u16()),
            outcome,
        }
    }
}

fn chat_body(spec: &ChatSpec) -> serde_json::Value {
    let mut messages = Vec::new();
    if !spec.prefix.is_empty() {
        messages.push(json!({"role": "system", "content": spec.prefix}));
    }
    let filler = "abc ".repeat(spec.prompt_tokens as usize);
    let content = format!("{filler}{}", spec.marker);
    messages.push(json!({"role": "user", "content": content}));
    let mut body = json!({"model": spec.model, "stream": true, "messages": messages});
    if let Some(tokens) = spec.output_tokens {
        body["metadata"] = json!({"output_tokens": tokens.to_string()});
    }
    if let Some(tokens) = spec.max_tokens {
        body["max_tokens"] = json!(tokens);
    }
    body
}

async fn read_link(
    response: Response,
    spec: &ChatSpec,
    result: &mut ChatResult,
    progress: &mut Progress,
) -> LinkEnd {
    let status = response.status();
    if !status.is_success() {
        let Ok(body) = response.json::<ErrorBody>().await else {
            return LinkEnd::Broken;
        };
        if result.chunks == 0 && body.error.run == RunState::NotRun {
            return LinkEnd::Over(ChatEnd::Refused(body.error));
        }
        // A box that is stopping, or that lost its settings, is no reason to give a stream up.
        if status.as_u16() == 410 {
            return LinkEnd::Over(ChatEnd::Failed(body.error));
        }
        return LinkEnd::NotReached;
    }
    let mut events = response.bytes_stream().eventsource();
    loop {
        let event = match tokio::time::timeout(SILENCE_LIMIT, events.next()).await {
            Ok(Some(Ok(event))) => event,
            Ok(Some(Err(_)) | None) | Err(_) => return LinkEnd::Broken,
        };
        if event.event == "error" {
            return LinkEnd::Over(match serde_json::from_str::<ErrorBody>(&event.data) {
                Ok(body) => ChatEnd::Failed(body.error),
                Err(error) => ChatEnd::Wrong(format!("an error event is no JSON: {error}")),
            });
        }
        if event.data == "[DONE]" {
            return LinkEnd::Over(ChatEnd::Whole);
        }
        if let Err(wrong) = check_chunk(&event.data, spec, result, progress) {
            return LinkEnd::Over(ChatEnd::Wrong(wrong));
        }
        progress.last_event_id = event.id;
    }
}

/// Checks that a chunk is the next one of this request's answer, from one generation.
fn check_chunk(
    data: &str,
    spec: &ChatSpec,
    result: &mut ChatResult,
    progress: &mut Progress,
) -> Result<(), String> {
    let now = Instant::now();
    let chunk: Chunk =
        serde_json::from_str(data).map_err(|error| format!("a chunk is no JSON: {error}"))?;
    let text = chunk
        .choices
        .first()
        .map_or("", |choice| choice.delta.content.as_str());
    let generation = text.split('.').nth(1).unwrap_or("").to_owned();
    let first = progress.generation.get_or_insert(generation);
    let expected = token_text(&spec.marker, first, result.chunks);
    if text != expected {
        return Err(format!("expected `{expected}`, got `{text}`"));
    }
    result.chunks += 1;
    match progress.last_chunk.replace(now) {
        None => result.first = Some(now - result.began),
        Some(last) => result.gaps_us.push((now - last).as_micros() as u32),
    }
    if let Some(broken_at) = progress.broken_at.take() {
        result.resume_time = result.resume_time.max(now - broken_at);
    }
    Ok(())
}
