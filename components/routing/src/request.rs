//! What the policies need to know of a request. Its body matters to nobody here.

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Its name.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What is asked of a model engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GenerationRequest {
    /// The model.
    pub model: Box<str>,
    /// The parts of the prompt, in order. The last belongs to this request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens it may generate.
    pub most_tokens: u32,
    /// The caller's guess of the tokens it will generate; right in the median, often far off.
    pub guess_tokens: Option<u32>,
}

impl GenerationRequest {
    /// The parts of the prompt that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// What the head of a request says beside method, path and fields that are only passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// The name of this try, unique among all of all callers.
    pub request_id: Option<Box<str>>,
    /// How long the caller will wait.
    pub wait_limit_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// What is asked of a model engine, where it is one that is asked.
    pub generation: Option<GenerationRequest>,
    /// The mark of a request that claims to be relayed by another box.
    pub relayed: Option<RelayMark>,
}

/// Marks a request that one box relays to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayMark {
    /// How long ago the request arrived at the first box, in ms.
    pub elapsed_ms: u64,
    /// The proof that a box made the mark.
    pub proof: Box<str>,
}
