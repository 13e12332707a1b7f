//! Requests to engines over OpenAI's chat completions API as vLLM implements it. The client chooses
//! the id of a generation and sends it as `X-Request-Id`. `GET` on the completion with
//! `Last-Event-ID` resumes the generation, `DELETE` cancels it.

use crate::cache::{CacheEvent, PublishedEvent};
use crate::load::{LoadReport, parse_load};
use crate::stream::EngineStream;
use bytes::Bytes;
use prelude::TargetKey;
use reqwest::{Client, Response, StatusCode, header};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_IDLE_CONNECTIONS_PER_ENGINE: usize = 64;

/// Address of an engine, and the incarnation that is expected there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id and incarnation of the engine.
    pub key: TargetKey,
    /// Address at which the engine listens.
    pub address: SocketAddr,
}

/// Why a generation did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The engine could not be reached; nothing was sent.
    #[error("the engine at {address} could not be reached: {cause}")]
    NotReached {
        /// Address of the engine.
        address: SocketAddr,
        /// Cause, for a person.
        cause: String,
    },
    /// The engine answered with a failure.
    #[error("the engine refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the engine's response.
        body: Bytes,
        /// `Retry-After` in milliseconds, if the engine sent one.
        pause_ms: Option<u64>,
    },
    /// The request was sent and got no response; the engine may be running it.
    #[error("the engine at {address} did not answer: {cause}")]
    NoAnswer {
        /// Address of the engine.
        address: SocketAddr,
        /// Cause, for a person.
        cause: String,
    },
}

/// Statuses by which an engine turns a request away before it runs it, apart from those of invalid requests.
const OVERLOAD_STATUSES: [u16; 2] = [429, 503];

impl StartError {
    /// Whether the engine may have run the generation, or may still run it.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::NotReached { .. } => false,
            Self::Refused { status, .. } => {
                !(400..500).contains(status) && !OVERLOAD_STATUSES.contains(status)
            }
            Self::NoAnswer { .. } => true,
        }
    }
}

/// Why a generation could not be resumed.
#[derive(Debug, Error)]
pub enum ResumeError {
    /// The engine does not know the generation, so it can never be resumed.
    #[error("the engine does not know this generation")]
    Unknown,
    /// The engine could not be reached or did not respond; a later attempt may succeed.
    #[error("the engine could not be reached: {0}")]
    NotReached(String),
}

/// Why an engine did not accept an order.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The engine has already accepted an order with a higher fencing token.
    #[error("the engine has seen a later order")]
    Fenced,
    /// The engine could not be reached or returned an error.
    #[error("the order did not reach the engine: {0}")]
    Failed(String),
}

/// An order to an engine. Its fencing token is the revision of the settings that caused it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Order<'a> {
    action: &'a str,
    fence: u64,
}

/// HTTP client of all engines. Cheap to clone.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Client,
    silence_ms: u64,
}

impl EngineClient {
    /// Creates a client whose streams fail with [`StreamError::Silent`](crate::StreamError::Silent)
    /// after `silence_ms` without an event.
    ///
    /// # Errors
    /// The error of the HTTP library if it cannot start.
    pub fn new(silence_ms: u64) -> Result<Self, reqwest::Error> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_ENGINE)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self { http, silence_ms })
    }

    /// Starts a generation with the id `generation`.
    ///
    /// # Errors
    /// [`StartError`], which tells whether the engine may be running the generation.
    pub async fn start(
        &self,
        endpoint: Endpoint,
        generation: &str,
        body: Bytes,
    ) -> Result<EngineStream, StartError> {
        let address = endpoint.address;
        let send = self
            .http
            .post(format!("http://{address}/v1/chat/completions"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-request-id", generation)
            .body(body)
            .send();
        let response = match tokio::time::timeout(RESPONSE_HEAD_TIMEOUT, send).await {
            Err(_) => {
                let cause = "no response head in time".to_owned();
                return Err(StartError::NoAnswer { address, cause });
            }
            Ok(Err(error)) if error.is_connect() => {
                let cause = error.to_string();
                return Err(StartError::NotReached { address, cause });
            }
            Ok(Err(error)) => {
                let cause = error.to_string();
                return Err(StartError::NoAnswer { address, cause });
            }
            Ok(Ok(response)) => response,
        };
        if !prelude::is_final_status(response.status().as_u16()) {
            let cause = format!("{} is no final status of HTTP", response.status());
            return Err(StartError::NoAnswer { address, cause });
        }
        if !response.status().is_success() {
            let status = response.status().as_u16();
            let retry_after = response.headers().get(header::RETRY_AFTER);
            let pause_ms = retry_after
                .and_then(|text| text.to_str().ok())
                .and_then(prelude::retry_after_ms);
            let body = response.bytes().await.unwrap_or_default();
            return Err(StartError::Refused {
                status,
                body,
                pause_ms,
            });
        }
        Ok(self.stream(response, generation, 0))
    }

    /// Resumes a generation at the chunk `next_index`.
    ///
    /// # Errors
    /// [`ResumeError`], which tells whether a later attempt can succeed.
    pub async fn resume(
        &self,
        endpoint: Endpoint,
        generation: &str,
        next_index: u64,
    ) -> Result<EngineStream, ResumeError> {
        let mut request = self.http.get(completion_url(endpoint, generation));
        if let Some(last) = next_index.checked_sub(1) {
            request = request.header("last-event-id", format!("{generation}:{last}"));
        }
        let response = match tokio::time::timeout(SHORT_CALL_TIMEOUT, request.send()).await {
            Err(_) => return Err(ResumeError::NotReached("no answer in time".into())),
            Ok(Err(error)) => return Err(ResumeError::NotReached(error.to_string())),
            Ok(Ok(response)) => response,
        };
        match response.status() {
            status if status.is_success() => Ok(self.stream(response, generation, next_index)),
            StatusCode::NOT_FOUND | StatusCode::GONE => Err(ResumeError::Unknown),
            status => Err(ResumeError::NotReached(format!("status {status}"))),
        }
    }

    /// Cancels a generation on a best-effort basis. Errors are ignored, because the caller's
    /// response does not depend on the cancellation.
    pub async fn cancel(&self, endpoint: Endpoint, generation: &str) {
        let url = completion_url(endpoint, generation);
        let request = self.http.delete(url).timeout(SHORT_CALL_TIMEOUT);
        let _ = request.send().await;
    }

    /// Reads the load metrics of an engine.
    ///
    /// # Errors
    /// The error of the HTTP library if the engine does not respond.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, reqwest::Error> {
        let url = format!("http://{address}/metrics");
        let response = self
            .http
            .get(url)
            .timeout(SHORT_CALL_TIMEOUT)
            .send()
            .await?;
        let text = response.error_for_status()?.text().await?;
        Ok(parse_load(&text))
    }

    /// Reads the cache events of an engine whose sequence numbers are higher than `after`.
    ///
    /// # Errors
    /// The error of the HTTP library if the engine does not respond.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<Vec<CacheEvent>, reqwest::Error> {
        let url = format!("http://{address}/kv_events?after={after}");
        let response = self
            .http
            .get(url)
            .timeout(SHORT_CALL_TIMEOUT)
            .send()
            .await?;
        let published: Vec<PublishedEvent> = response.error_for_status()?.json().await?;
        Ok(published
            .into_iter()
            .flat_map(PublishedEvent::flatten)
            .collect())
    }

    /// Sends an order to an engine with the fencing token `fence`.
    ///
    /// # Errors
    /// [`OrderError`] if the engine did not accept the order.
    pub async fn order(
        &self,
        address: SocketAddr,
        action: &str,
        fence: u64,
    ) -> Result<(), OrderError> {
        let request = self
            .http
            .post(format!("http://{address}/orders"))
            .timeout(SHORT_CALL_TIMEOUT)
            .json(&Order { action, fence });
        let response = request
            .send()
            .await
            .map_err(|error| OrderError::Failed(error.to_string()))?;
        match response.status() {
            status if status.is_success() => Ok(()),
            StatusCode::PRECONDITION_FAILED => Err(OrderError::Fenced),
            status => Err(OrderError::Failed(format!("status {status}"))),
        }
    }

    fn stream(&self, response: Response, generation: &str, next_index: u64) -> EngineStream {
        EngineStream::new(response, generation.to_owned(), next_index, self.silence_ms)
    }
}

fn completion_url(endpoint: Endpoint, generation: &str) -> String {
    let address = endpoint.address;
    format!("http://{address}/v1/chat/completions/{generation}")
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
