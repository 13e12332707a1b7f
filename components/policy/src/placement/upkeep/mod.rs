//! What runs is looked after: generations whose engine turned bad since they were placed go on elsewhere, a few at a time.
//!
//! Load patterns that this answers: an engine that turns slow for long under streams that are watched as they come; an
//! engine whose streams turn out longer than foretold, so that it will be out of memory while others have half of theirs.

pub(crate) mod budget;
pub(crate) mod cost;
pub(crate) mod gain;
pub(crate) mod look;

use budget::Budget;
use cost::MovePauses;
use prelude::{BoxId, PermitId, TargetId};

/// Why a generation is to be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WishCause {
    /// It likely pauses for too long where it is.
    Pace,
    /// Its engine will likely be out of memory.
    Memory,
}

impl WishCause {
    /// Its name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Pace => "pace",
            Self::Memory => "memory",
        }
    }
}

/// A generation that is to go on at another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wish {
    /// Its permit.
    pub permit: PermitId,
    /// Where it runs.
    pub from: TargetId,
    /// Where it is to go on.
    pub to: TargetId,
    /// Why.
    pub cause: WishCause,
    /// Pauses beyond their goals that are expected if it stays.
    pub staying: f64,
    /// Those of them that are expected to be spared.
    pub gain: f64,
}

/// How a turn on an engine's link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnEnd {
    /// The generation stood still for so long, and goes on at the other engine.
    Moved {
        /// For how long.
        stopped_ms: u32,
    },
    /// It did not leave its engine.
    Stays,
}

/// What a pool keeps of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upkeep {
    pub(crate) budget: Budget,
    pub(crate) pauses: MovePauses,
    /// Wishes that the boxes which serve their callers were not told yet.
    pub(crate) untold: Vec<Wish>,
    looked_ms: Option<u64>,
}

/// How often engines are looked over: what is known of them changes with each telling, about one a second and stream.
const LOOK_EACH_MS: u64 = 250;

impl Upkeep {
    /// Whether it is time to look engines over; notes that it is done.
    fn is_due(&mut self, now_ms: u64) -> bool {
        let is_due = self
            .looked_ms
            .is_none_or(|at_ms| now_ms >= at_ms + LOOK_EACH_MS);
        if is_due {
            self.looked_ms = Some(now_ms);
        }
        is_due
    }

    fn take_untold(&mut self, entry: BoxId, most: usize) -> Vec<Wish> {
        let mut told = Vec::new();
        self.untold.retain(|wish| {
            let is_told = wish.permit.entry == entry && told.len() < most;
            if is_told {
                told.push(*wish);
            }
            !is_told
        });
        told
    }
}
