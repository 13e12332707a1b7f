//! The JSON gateway's messages: 64-bit numbers travel as strings, bytes as base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Base64(pub Vec<u8>);

impl Base64 {
    pub fn text(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }

    /// The end of the range of all keys that begin with `prefix`.
    pub fn prefix_end(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        while let Some(last) = end.pop() {
            if last < u8::MAX {
                end.push(last + 1);
                return Self(end);
            }
        }
        Self(vec![0])
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Self(bytes))
    }
}

/// A number that travels as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map(Self).map_err(serde::de::Error::custom)
    }
}

#[derive(Serialize)]
pub(crate) struct RangeRequest {
    pub key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Base64>,
}

#[derive(Serialize)]
pub(crate) struct PutRequest {
    pub key: Base64,
    pub value: Base64,
    pub lease: Number,
}

#[derive(Serialize)]
pub(crate) struct DeleteRequest {
    pub key: Base64,
}

#[derive(Serialize)]
pub(crate) struct CompareRequest {
    pub key: Base64,
    pub target: &'static str,
    pub result: &'static str,
    pub mod_revision: Number,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

#[derive(Serialize)]
pub(crate) struct TxnRequest {
    pub compare: Vec<CompareRequest>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

#[derive(Deserialize)]
pub(crate) struct Header {
    #[serde(default)]
    pub revision: Number,
}

#[derive(Deserialize)]
pub(crate) struct KeyValueMessage {
    pub key: Base64,
    #[serde(default)]
    pub value: Base64,
    #[serde(default)]
    pub mod_revision: Number,
    #[serde(default)]
    pub lease: Number,
}

#[derive(Deserialize)]
pub(crate) struct RangeResponse {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValueMessage>,
}

#[derive(Deserialize)]
pub(crate) struct TxnResponse {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<OperationResponse>,
}

#[derive(Deserialize)]
pub(crate) struct OperationResponse {
    #[serde(default)]
    pub response_range: Option<RangeResponse>,
}

#[derive(Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

#[derive(Deserialize)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: Number,
}

#[derive(Serialize)]
pub(crate) struct KeepAliveRequest {
    #[serde(rename = "ID")]
    pub id: Number,
}

#[derive(Deserialize)]
pub(crate) struct KeepAliveResponse {
    pub result: KeepAliveResult,
}

#[derive(Deserialize)]
pub(crate) struct KeepAliveResult {
    /// Seconds that the lease has left; 0 or absent where it is over.
    #[serde(rename = "TTL", default)]
    pub ttl: Number,
}

#[derive(Serialize)]
pub(crate) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Serialize)]
pub(crate) struct WatchCreate {
    pub key: Base64,
    pub range_end: Base64,
    pub start_revision: Number,
}

#[derive(Deserialize)]
pub(crate) struct WatchLine {
    pub result: WatchResult,
}

#[derive(Deserialize)]
pub(crate) struct WatchResult {
    #[serde(default)]
    pub canceled: bool,
    #[serde(default)]
    pub events: Vec<WatchEventMessage>,
}

#[derive(Deserialize)]
pub(crate) struct WatchEventMessage {
    #[serde(rename = "type", default)]
    pub kind: Option<String>,
    pub kv: KeyValueMessage,
}
