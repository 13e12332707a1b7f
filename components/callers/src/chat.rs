//! Parses the fields of a chat-completions request that routing depends on. Other fields are
//! forwarded unchanged.

use bytes::Bytes;
use serde_json::{Map, Value};
use xxhash_rust::xxh3::xxh3_64;

/// Estimated bytes per token, used because the engine's tokenizer is unknown.
const BYTES_PER_TOKEN: usize = 4;

/// A parsed chat-completions request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// Name of the requested model.
    pub model: String,
    /// Whether the response is to be streamed.
    pub stream: bool,
    /// Maximum tokens of the answer, if the caller sets a limit.
    pub max_tokens: Option<u32>,
    /// Estimated tokens of the prompt, at least 1.
    pub prompt_tokens: u32,
    /// Hash and estimated tokens of the first message, which engines may have in their prefix
    /// cache. `None` if there is only one message, or the first is not plain text.
    pub prefix: Option<(u64, u32)>,
    /// Length of the answer in tokens as declared in the request's metadata. Only the oracle
    /// policy, which serves for benchmarks, reads it.
    pub declared_output_tokens: Option<u32>,
    /// The complete JSON body.
    pub body: Map<String, Value>,
}

/// Parses a request body.
///
/// # Errors
/// A message for the caller that names the invalid field.
pub fn parse_chat(body: &Bytes) -> Result<ChatRequest, String> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| format!("the body is not JSON: {error}"))?;
    let Value::Object(body) = value else {
        return Err("the body must be a JSON object".into());
    };
    let model = match body.get("model") {
        Some(Value::String(model)) if !model.is_empty() => model.clone(),
        _ => return Err("`model` must be the name of a model".into()),
    };
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err("`stream` must be true or false".into()),
    };
    let messages = match body.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err("`messages` must be a list with at least one message".into()),
    };
    if !messages.iter().all(Value::is_object) {
        return Err("each of `messages` must be an object".into());
    }
    let max_tokens = max_tokens(&body)?;
    let prompt_tokens = messages.iter().map(content_tokens).sum::<u32>().max(1);
    let declared = body
        .get("metadata")
        .and_then(|metadata| metadata.get("output_tokens"));
    Ok(ChatRequest {
        model,
        stream,
        max_tokens,
        prompt_tokens,
        prefix: prefix(messages),
        declared_output_tokens: declared
            .and_then(Value::as_str)
            .and_then(|text| text.parse().ok()),
        body,
    })
}

fn max_tokens(body: &Map<String, Value>) -> Result<Option<u32>, String> {
    let value = body.get("max_completion_tokens").or(body.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64().and_then(|tokens| u32::try_from(tokens).ok()) {
            Some(tokens) if tokens > 0 => Ok(Some(tokens)),
            _ => Err("`max_tokens` must be a whole number above zero".into()),
        },
    }
}

fn prefix(messages: &[Value]) -> Option<(u64, u32)> {
    let first = messages.first().filter(|_| messages.len() > 1)?;
    let text = first.get("content")?.as_str()?;
    Some((
        xxh3_64(text.as_bytes()),
        (text.len() / BYTES_PER_TOKEN) as u32,
    ))
}

fn content_tokens(message: &Value) -> u32 {
    let bytes = match message.get("content") {
        Some(Value::String(text)) => text.len(),
        Some(Value::Array(parts)) => parts
            .iter()
            .filter_map(|part| part.get("text").and_then(Value::as_str))
            .map(str::len)
            .sum(),
        _ => 0,
    };
    (bytes / BYTES_PER_TOKEN) as u32
}

#[cfg(test)]
#[path = "chat_tests.rs"]
mod tests;
