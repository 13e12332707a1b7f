//! Measures one answer as its caller sees it.

use operators::Sample;
use prelude::{AccountId, TargetId};
use settings::ObjectiveSettings;
use std::time::Instant;

/// The times of one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    account: AccountId,
    began: Instant,
    last: Option<Instant>,
    first_token_ms: Option<u64>,
    gap_bound_ms: u64,
    gaps: u64,
    long_gaps: u64,
    stall_us: u64,
}

impl Timing {
    pub fn new(account: AccountId, objectives: &ObjectiveSettings) -> Self {
        Self {
            account,
            began: Instant::now(),
            last: None,
            first_token_ms: None,
            gap_bound_ms: objectives.token_gap_ms,
            gaps: 0,
            long_gaps: 0,
            stall_us: 0,
        }
    }

    /// Notes a chunk.
    pub fn chunk(&mut self) {
        let now = Instant::now();
        let Some(last) = self.last.replace(now) else {
            self.first_token_ms = Some((now - self.began).as_millis() as u64);
            return;
        };
        self.gaps += 1;
        let gap_us = (now - last).as_micros() as u64;
        let bound_us = self.gap_bound_ms * 1000;
        if gap_us > bound_us {
            self.long_gaps += 1;
            self.stall_us += gap_us - bound_us;
        }
    }

    pub fn sample(&self, target: Option<TargetId>, refused: bool, incomplete: bool) -> Sample {
        Sample {
            account: self.account,
            target,
            first_token_ms: self.first_token_ms,
            gaps: self.gaps,
            long_gaps: self.long_gaps,
            stall_ms: self.stall_us / 1000,
            refused,
            incomplete,
        }
    }
}
