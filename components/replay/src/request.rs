//! A request of a load pattern, and what became of it.

use prelude::PermitId;

/// What a request asks for; drawn before the day begins, so that two policies are given the same.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Which kind.
    pub kind: usize,
    /// Which account.
    pub account: u32,
    /// In which data centre its box stands.
    pub data_centre: u32,
    /// When it comes.
    pub at_ms: u64,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens of its answer.
    pub length_tokens: u32,
    /// Its caller's guess of that.
    pub guess_tokens: u32,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has not come, or waits to come back.
    Away,
    /// It waits for a permit.
    Waits,
    /// It is at an engine.
    AtEngine(usize),
    /// It ended whole.
    Whole,
    /// It was refused for good.
    Refused,
    /// It was lost with its engine, or its caller left.
    Lost,
}

/// The story of one request.
#[derive(Clone, Copy, Debug)]
pub struct Story {
    /// How far it has come.
    pub phase: Phase,
    /// The permit of its latest try.
    pub permit: PermitId,
    /// When its latest try came.
    pub tried_ms: u64,
    /// How often it was refused.
    pub refusals: u32,
    /// How long it waited for its first refusal.
    pub refused_after_ms: Option<u64>,
    /// The longest time for which it was held and then refused.
    pub held_ms: u64,
    /// When its first token came.
    pub first_ms: Option<u64>,
    /// When its latest token came.
    pub latest_ms: u64,
    /// The longest pause between two tokens.
    pub pause_ms: u64,
    /// Tokens that its dispatcher was told of.
    pub told_tokens: u32,
}
