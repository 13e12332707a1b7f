//! The gateway's messages: 64-bit numbers travel as strings, bytes as base64.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that travel as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Base64(pub Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Base64)
            .map_err(serde::de::Error::custom)
    }
}

/// A number that travels as a string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Number(pub u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Plain(u64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Number).map_err(serde::de::Error::custom),
            Form::Plain(value) => Ok(Number(value)),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct RangeRequest {
    pub key: Base64,
    pub range_end: Option<Base64>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct PutRequest {
    pub key: Base64,
    #[serde(default)]
    pub value: Base64,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct DeleteRequest {
    pub key: Base64,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Compare {
    pub key: Base64,
    #[serde(default)]
    pub target: String,
    #[serde(default)]
    pub mod_revision: Number,
    #[serde(default)]
    pub create_revision: Number,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) enum Operation {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRequest),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<Operation>,
    pub failure: Vec<Operation>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct Header {
    pub revision: Number,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct KeyValue {
    pub key: Base64,
    pub value: Base64,
    pub create_revision: Number,
    pub mod_revision: Number,
    pub version: Number,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<KeyValue>,
    pub count: Number,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct PutResponse {
    pub header: Header,
}

#[derive(Clone, Debug, Serialize)]
pub(super) enum OperationResponse {
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_delete_range")]
    DeleteRange(PutResponse),
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct TxnResponse {
    pub header: Header,
    pub succeeded: bool,
    pub responses: Vec<OperationResponse>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct WatchCreate {
    pub key: Base64,
    pub range_end: Option<Base64>,
    #[serde(default)]
    pub start_revision: Number,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchEvent {
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub kind: Option<&'static str>,
    pub kv: KeyValue,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchResult {
    pub header: Header,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub created: bool,
    pub events: Vec<WatchEvent>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchLine {
    pub result: WatchResult,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "TTL")]
    pub ttl: Number,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: Number,
    #[serde(rename = "TTL")]
    pub ttl: Number,
}
