//! HTTP client of plain services. It sends a request once and reports whether it may have run.

use bytes::Bytes;
use reqwest::{Client, Method, header};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// A call as it is sent to a worker.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The `Idempotency-Key` header, forwarded.
    pub key: Option<String>,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Response of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// `Retry-After` in milliseconds, if the worker rejects the call with status 429 or 503.
    pub pause_ms: Option<u64>,
}

/// Statuses by which a worker rejects a call because of overload.
const OVERLOAD_STATUSES: [u16; 2] = [429, 503];
/// Returns the `Retry-After` of a response in milliseconds.
fn pause_ms(headers: &header::HeaderMap) -> Option<u64> {
    prelude::retry_after_ms(headers.get(header::RETRY_AFTER)?.to_str().ok()?)
}

/// Why a call got no response.
#[derive(Debug, Error)]
pub enum CallError {
    /// The worker could not be reached; no byte was sent.
    #[error("the worker at {address} was not reached: {cause}")]
    NotSent {
        /// Address of the worker.
        address: SocketAddr,
        /// Cause, for a person.
        cause: String,
    },
    /// The call was sent, at least in part, and may have run.
    #[error("the worker at {address} gave no answer: {cause}")]
    MayHaveRun {
        /// Address of the worker.
        address: SocketAddr,
        /// Cause, for a person.
        cause: String,
    },
}

/// HTTP client of all plain services. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    repeatable: Client,
    once: Client,
}

impl ServiceClient {
    /// Creates a client. A call that may not be repeated gets a connection of its own, because the
    /// HTTP library resends a request by itself if a pooled connection turns out to be closed.
    ///
    /// # Errors
    /// The error of the HTTP library if it cannot start.
    pub fn new() -> Result<Self, reqwest::Error> {
        let builder = || {
            Client::builder()
                .connect_timeout(CONNECT_TIMEOUT)
                .tcp_nodelay(true)
                .redirect(reqwest::redirect::Policy::none())
                .no_proxy()
        };
        Ok(Self {
            repeatable: builder()
                .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
                .build()?,
            once: builder()
                .pool_max_idle_per_host(0)
                .retry(reqwest::retry::never())
                .build()?,
        })
    }

    /// Sends a call once. `may_repeat` tells whether the call is idempotent.
    ///
    /// # Errors
    /// [`CallError`], which tells whether the call may have run.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &ServiceRequest,
        may_repeat: bool,
        timeout: Duration,
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
        let mut builder = client
            .request(method, format!("http://{address}/{path}"))
            .timeout(timeout)
            .body(request.body.clone());
        if let Some(content_type) = &request.content_type {
            builder = builder.header(header::CONTENT_TYPE, content_type);
        }
        if let Some(key) = &request.key {
            builder = builder.header("idempotency-key", key);
        }
        let to_call_error = |error: reqwest::Error| {
            let cause = error.to_string();
            match error.is_connect() || error.is_builder() {
                true => CallError::NotSent { address, cause },
                false => CallError::MayHaveRun { address, cause },
            }
        };
        let response = builder.send().await.map_err(to_call_error)?;
        let status = response.status().as_u16();
        if !prelude::is_final_status(status) {
            let cause = format!("{status} is no final status of HTTP");
            return Err(CallError::MayHaveRun { address, cause });
        }
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let overloaded = OVERLOAD_STATUSES.contains(&status);
        let pause_ms = pause_ms(response.headers()).filter(|_| overloaded);
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

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
