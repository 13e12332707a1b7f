//! What a caller asks of a chat, and what it got.

use callers::ErrorDetail;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A chat request of a trial.
#[derive(Clone, Debug, Default)]
pub struct ChatSpec {
    /// Model.
    pub model: String,
    /// Bearer key.
    pub key: String,
    /// Unique word that the answer repeats.
    pub marker: String,
    /// Tokens of the prompt, at four bytes a token.
    pub prompt_tokens: u32,
    /// Text that the prompt begins with, and that other prompts share; empty for none.
    pub prefix: String,
    /// Tokens of the answer; the stand-in's own draw where none.
    pub output_tokens: Option<u32>,
    /// Bound on the answer.
    pub max_tokens: Option<u32>,
}

/// How a chat ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChatEnd {
    /// It is whole.
    Whole,
    /// It was refused, and said to be not run.
    Refused(ErrorDetail),
    /// An error event ended it.
    Failed(ErrorDetail),
    /// No box would go on with it.
    Lost(String),
    /// A chunk came that is not the next of this answer.
    Wrong(String),
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct ChatResult {
    /// How it ended.
    pub end: ChatEnd,
    /// Chunks delivered.
    pub chunks: u64,
    /// When the request was made.
    pub began: Instant,
    /// Time to the first chunk.
    pub first: Option<Duration>,
    /// Gaps between chunks, in microseconds.
    pub gaps_us: Vec<u32>,
    /// Times that the link broke and another box went on.
    pub resumes: u32,
    /// Longest time from a broken link to the next chunk.
    pub resume_time: Duration,
    /// Boxes whose links broke after their answer had begun.
    pub cut_at: Vec<SocketAddr>,
}

impl ChatResult {
    pub(crate) fn new() -> Self {
        Self {
            end: ChatEnd::Lost("not begun".into()),
            chunks: 0,
            began: Instant::now(),
            first: None,
            gaps_us: Vec::new(),
            resumes: 0,
            resume_time: Duration::ZERO,
            cut_at: Vec::new(),
        }
    }

    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        self.end == ChatEnd::Whole
    }
}
