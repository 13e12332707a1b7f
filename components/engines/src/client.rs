//! Requests to engines, by OpenAI's chat-completions API as vLLM speaks it. A generation is named by
//! the caller of the engine through `X-Request-Id`; it is resumed by `GET` with `Last-Event-ID` and
//! cancelled by `DELETE` on its completion.

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

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
const HEAD_LIMIT: Duration = Duration::from_secs(10);
const SHORT_CALL_LIMIT: Duration = Duration::from_millis(1500);
const IDLE_LINKS_PER_ENGINE: usize = 64;

/// Where an engine listens, and in which life it is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The engine and its life.
    pub key: TargetKey,
    /// Its address.
    pub address: SocketAddr,
}

/// Why a generation did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The engine could not be reached: it was sent nothing.
    #[error("the engine at {address} could not be reached: {cause}")]
    NotReached {
        /// Where.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// The engine refused it and did not run it.
    #[error("the engine refused with status {status}")]
    Refused {
        /// The status.
        status: u16,
        /// What the engine said.
        body: Bytes,
        /// The pause that it asks for, in milliseconds.
        pause_ms: Option<u64>,
    },
    /// It was sent, and no answer came: the engine may be running it.
    #[error("the engine at {address} did not answer: {cause}")]
    NoAnswer {
        /// Where.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
}

/// Why a generation could not be resumed.
#[derive(Debug, Error)]
pub enum ResumeError {
    /// The engine answered and does not know the generation: it is gone for good.
    #[error("the engine does not know this generation")]
    Unknown,
    /// The engine could not be reached or did not answer; it may be resumed later.
    #[error("the engine could not be reached: {0}")]
    NotReached(String),
}

/// Why an order was not taken.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The engine has seen an order with a higher fence.
    #[error("the engine has seen a later order")]
    Fenced,
    /// The engine could not be reached or failed.
    #[error("the order did not reach the engine: {0}")]
    Failed(String),
}

/// An order to an engine, fenced by the revision of the settings that it follows from.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Order<'a> {
    action: &'a str,
    fence: u64,
}

/// Client of all engines. Cheap to clone.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Client,
    silence_ms: u64,
}

impl EngineClient {
    /// A client that takes an engine for silent after `silence_ms` without an event.
    ///
    /// # Errors
    /// The HTTP library's, where it cannot start.
    pub fn new(silence_ms: u64) -> Result<Self, reqwest::Error> {
        let http = Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            .pool_max_idle_per_host(IDLE_LINKS_PER_ENGINE)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self { http, silence_ms })
    }

    /// Starts a generation under the name `generation`.
    ///
    /// # Errors
    /// [`StartError`], which says whether the engine may be running it.
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
        let response = match tokio::time::timeout(HEAD_LIMIT, send).await {
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

    /// Resumes a generation after the chunk `next_index - 1`.
    ///
    /// # Errors
    /// [`ResumeError`], which says whether a later try can succeed.
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
        let response = match tokio::time::timeout(SHORT_CALL_LIMIT, request.send()).await {
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

    /// Cancels a generation. Whether it succeeded does not matter to the caller's answer.
    pub async fn cancel(&self, endpoint: Endpoint, generation: &str) {
        let url = completion_url(endpoint, generation);
        let request = self.http.delete(url).timeout(SHORT_CALL_LIMIT);
        let _ = request.send().await;
    }

    /// Reads an engine's load.
    ///
    /// # Errors
    /// The HTTP library's, where the engine does not answer.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, reqwest::Error> {
        let url = format!("http://{address}/metrics");
        let response = self.http.get(url).timeout(SHORT_CALL_LIMIT).send().await?;
        let text = response.error_for_status()?.text().await?;
        Ok(parse_load(&text))
    }

    /// Reads an engine's cache events after `after`.
    ///
    /// # Errors
    /// The HTTP library's, where the engine does not answer.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Result<Vec<CacheEvent>, reqwest::Error> {
        let url = format!("http://{address}/kv_events?after={after}");
        let response = self.http.get(url).timeout(SHORT_CALL_LIMIT).send().await?;
        let published: Vec<PublishedEvent> = response.error_for_status()?.json().await?;
        Ok(published
            .into_iter()
            .flat_map(PublishedEvent::flatten)
            .collect())
    }

    /// Gives an engine an order, fenced by `fence`.
    ///
    /// # Errors
    /// [`OrderError`].
    pub async fn order(
        &self,
        address: SocketAddr,
        action: &str,
        fence: u64,
    ) -> Result<(), OrderError> {
        let request = self
            .http
            .post(format!("http://{address}/orders"))
            .timeout(SHORT_CALL_LIMIT)
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
