//! Client of plain services. It sends a request once and says whether it may have arrived.

use bytes::Bytes;
use reqwest::{Client, Method, header};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
const IDLE_LINK_LIFE: Duration = Duration::from_secs(5);

/// A call, as it goes to a worker.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The `Idempotency-Key`, passed on.
    pub key: Option<String>,
    /// Type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A worker's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The pause that a worker asks for which turns the call away (429, 503), in milliseconds.
    pub pause_ms: Option<u64>,
}

/// Statuses with which a worker turns a call away.
const TURNED_AWAY: [u16; 2] = [429, 503];
/// The pause that the head of an answer asks for.
fn pause_ms(headers: &header::HeaderMap) -> Option<u64> {
    prelude::retry_after_ms(headers.get(header::RETRY_AFTER)?.to_str().ok()?)
}

/// Why a call gave no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The worker was not reached: no byte was sent.
    #[error("the worker at {address} was not reached: {cause}")]
    NotSent {
        /// Where.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// It was sent, at least in part: it may have run.
    #[error("the worker at {address} gave no answer: {cause}")]
    MayHaveRun {
        /// Where.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
}

/// Client of all plain services. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    repeatable: Client,
    once: Client,
}

impl ServiceClient {
    /// A client. Calls that may not be repeated use a link of their own each: the HTTP library sends
    /// a request again by itself when a kept link turns out to be closed.
    ///
    /// # Errors
    /// The HTTP library's, where it cannot start.
    pub fn new() -> Result<Self, reqwest::Error> {
        let builder = || {
            Client::builder()
                .connect_timeout(CONNECT_LIMIT)
                .tcp_nodelay(true)
                .redirect(reqwest::redirect::Policy::none())
                .no_proxy()
        };
        Ok(Self {
            repeatable: builder().pool_idle_timeout(IDLE_LINK_LIFE).build()?,
            once: builder()
                .pool_max_idle_per_host(0)
                .retry(reqwest::retry::never())
                .build()?,
        })
    }

    /// Sends a call once. `may_repeat` says whether a second sending would do no harm.
    ///
    /// # Errors
    /// [`CallError`], which says whether it may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        may_repeat: bool,
        limit: Duration,
    ) -> Result<ServiceResponse, CallError> {
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            let cause = format!("`{}` is no HTTP method", request.method);
            return Err(CallError::NotSent { address, cause });
        };
        let client = if may_repeat {
            &self.repeatable
        } else {
            &self.once
        };
        let path = request.path.trim_start_matches('/');
        let mut sending = client
            .request(method, format!("http://{address}/{path}"))
            .timeout(limit)
            .body(request.body.clone());
        if let Some(content_type) = &request.content_type {
            sending = sending.header(header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = &request.key {
            sending = sending.header("idempotency-key", key);
        }
        let lost = |error: reqwest::Error| {
            let cause = error.to_string();
            match error.is_connect() || error.is_builder() {
                true => CallError::NotSent { address, cause },
                false => CallError::MayHaveRun { address, cause },
            }
        };
        let response = sending.send().await.map_err(lost)?;
        let status = response.status().as_u16();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let turned_away = TURNED_AWAY.contains(&status);
        let pause_ms = pause_ms(response.headers()).filter(|_| turned_away);
        let body = response
            .bytes()
            .await
            .map_err(|error| CallError::MayHaveRun {
                address,
                cause: error.to_string(),
            })?;
        Ok(ServiceResponse {
            status,
            content_type,
            body,
            pause_ms,
        })
    }
}
