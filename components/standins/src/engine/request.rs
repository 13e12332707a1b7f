//! What the stand-in reads of a chat-completions request, and the text it answers with.

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

const BYTES_PER_TOKEN: usize = 4;

/// The fields of a request that the stand-in acts on.
#[derive(Debug, Deserialize)]
pub(super) struct ChatBody {
    pub messages: Vec<Message>,
    #[serde(default)]
    pub priority: i64,
    pub max_tokens: Option<u32>,
    #[serde(default)]
    pub metadata: Metadata,
}

/// One message of the conversation.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    #[serde(default)]
    pub content: String,
}

/// How long the answer shall be. A real engine does not know.
#[derive(Debug, Default, Deserialize)]
pub(super) struct Metadata {
    pub output_tokens: Option<String>,
}

impl ChatBody {
    /// Tokens of the prompt, at four bytes a token.
    pub fn prompt_tokens(&self) -> u32 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| message.content.len())
            .sum();
        (bytes / BYTES_PER_TOKEN).max(1) as u32
    }

    /// Hash and tokens of the first message where others follow it: the prefix that is cached.
    pub fn prefix(&self) -> Option<(u64, u32)> {
        let first = self.messages.first().filter(|_| self.messages.len() > 1)?;
        let tokens = (first.content.len() / BYTES_PER_TOKEN) as u32;
        Some((xxh3_64(first.content.as_bytes()), tokens))
    }

    /// The last word of the conversation, which the answer repeats.
    pub fn marker(&self) -> String {
        let last = self.messages.last().map(|message| message.content.as_str());
        let word = last.and_then(|text| text.split_whitespace().last());
        let plain = |c: &char| c.is_ascii_alphanumeric() || *c == '-';
        word.unwrap_or("none").chars().filter(plain).collect()
    }

    /// Tokens of the answer: what the request's metadata say, else a length drawn from its marker.
    pub fn output_tokens(&self) -> u32 {
        let asked = self.metadata.output_tokens.as_deref();
        let drawn = 8 + (xxh3_64(self.marker().as_bytes()) % 48) as u32;
        let tokens = asked.and_then(|text| text.parse().ok()).unwrap_or(drawn);
        tokens.clamp(1, self.max_tokens.unwrap_or(u32::MAX).max(1))
    }
}

/// The text of one token: the request's marker, the generation and the token's index.
pub fn token_text(marker: &str, generation: &str, index: u64) -> String {
    format!("{marker}.{generation}.{index} ")
}
