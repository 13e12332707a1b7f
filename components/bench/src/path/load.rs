//! Streams at a steady rate, and many held open.

use crate::stats::Times;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use reqwest::{Client, Response};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trial::{Caller, ChatSpec};

/// A steady load.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Where.
    pub at: SocketAddr,
    /// Bearer key.
    pub key: &'static str,
    /// Requests begun a second.
    pub starts_per_s: f64,
    /// Tokens of each answer.
    pub answer_tokens: u32,
    /// For how long requests are begun.
    pub time: Duration,
    /// Readers that stop reading, beside the load.
    pub slow_readers: u32,
}

/// What was measured.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Times to the first token.
    pub first: Times,
    /// Gaps between tokens.
    pub gaps: Times,
    /// Tokens delivered.
    pub tokens: u64,
    /// Answers that were not whole.
    pub failed: u64,
}

/// Tokens of a stream that nobody reads: more than all buffers hold.
const UNREAD_TOKENS: u32 = 50_000;
const MODEL: &str = "assistant";

/// Begins requests at a steady rate and waits for all their answers.
pub async fn run_load(load: &Load) -> Measured {
    let client = Client::builder().no_proxy().build().unwrap_or_default();
    let mut unread = Vec::new();
    for number in 0..load.slow_readers {
        let marker = format!("unread-{number}");
        unread.extend(open(&client, load.at, load.key, &marker, UNREAD_TOKENS).await);
    }
    let caller = Caller::new();
    let mut answers = FuturesUnordered::new();
    let began = Instant::now();
    let mut started = 0;
    while began.elapsed() < load.time {
        let due = began + Duration::from_secs_f64(f64::from(started) / load.starts_per_s);
        tokio::time::sleep_until(due.into()).await;
        let spec = ChatSpec {
            model: MODEL.into(),
            key: load.key.into(),
            marker: format!("path-{started}"),
            prompt_tokens: 50,
            output_tokens: Some(load.answer_tokens),
            ..ChatSpec::default()
        };
        let (caller, at) = (caller.clone(), load.at);
        answers.push(tokio::spawn(async move { caller.chat(&[at], &spec).await }));
        started += 1;
    }
    let mut measured = Measured::default();
    while let Some(answer) = answers.next().await {
        let Ok(answer) = answer else { continue };
        measured.tokens += answer.chunks;
        measured.failed += u64::from(!answer.is_whole());
        if let Some(first) = answer.first {
            measured.first.add_us(first.as_micros() as u64);
        }
        answer
            .gaps_us
            .iter()
            .for_each(|gap_us| measured.gaps.add_us(u64::from(*gap_us)));
    }
    drop(unread);
    measured
}

async fn open(
    client: &Client,
    at: SocketAddr,
    key: &str,
    marker: &str,
    tokens: u32,
) -> Option<Response> {
    let body = json!({
        "model": MODEL,
        "stream": true,
        "messages": [{"role": "user", "content": marker}],
        "metadata": {"output_tokens": tokens.to_string()},
    });
    let url = format!("http://{at}/v1/chat/completions");
    let sent = client.post(url).bearer_auth(key).json(&body).send().await;
    sent.ok().filter(|response| response.status().is_success())
}

/// Streams that are held open and read.
pub struct Held {
    readers: tokio::task::JoinSet<()>,
}

impl Held {
    /// How many are open.
    pub fn open(&self) -> u64 {
        self.readers.len() as u64
    }
}

/// Time for all streams to run before memory is measured.
const SETTLE: Duration = Duration::from_secs(2);
const OPENED_AT_A_TIME: usize = 200;

/// Opens `streams` streams and reads them.
pub async fn hold_streams(at: SocketAddr, key: &'static str, streams: u32) -> Held {
    let client = Client::builder().no_proxy().build().unwrap_or_default();
    let opening = futures::stream::iter(0..streams).map(|number| {
        let client = client.clone();
        async move { open(&client, at, key, &format!("held-{number}"), UNREAD_TOKENS).await }
    });
    let opened: Vec<Option<Response>> = opening.buffer_unordered(OPENED_AT_A_TIME).collect().await;
    let mut readers = tokio::task::JoinSet::new();
    for mut response in opened.into_iter().flatten() {
        readers.spawn(async move { while let Ok(Some(_)) = response.chunk().await {} });
    }
    tokio::time::sleep(SETTLE).await;
    while readers.try_join_next().is_some() {}
    Held { readers }
}
