//! Copies of running generations, one after another on the link of the engine that they leave.

use std::collections::VecDeque;

/// A generation that is to leave an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Which request.
    pub request: usize,
    /// Tries that found no room.
    pub tries: u32,
}

/// The copy that a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Copying {
    /// What is moved.
    pub order: Move,
    /// The engine that it goes to.
    pub to: usize,
    /// Memory that is set aside there.
    pub tokens: u32,
}

/// The link of one engine.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// What it carries.
    pub copying: Option<Copying>,
    /// What waits for it.
    pub waiting: VecDeque<Move>,
}
