//! How often requests may be sent to a second target. The bound is on all boxes together; each box takes
//! its part of it, from the requests that it sees itself and from how many boxes there are.

use std::collections::VecDeque;

/// Parts into which the window is divided.
const PARTS: u64 = 20;
/// Share of the bound that is used: boxes see the number of boxes late.
const USED: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    resends: u32,
}

/// What the users were promised of second sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Second sends as a share of requests.
    pub share: f64,
    /// Second sends beyond that share in each window, over all boxes.
    pub extra: f64,
    /// Length of the window.
    pub window_ms: u64,
}

/// The second sends of one box to one service.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    bound: RetryLimit,
    parts: VecDeque<Part>,
}

impl RetryWindow {
    /// An empty window.
    pub fn new(bound: RetryLimit) -> Self {
        Self {
            bound,
            parts: VecDeque::new(),
        }
    }

    /// Changes what was promised; what was counted stays.
    pub fn set_limit(&mut self, bound: RetryLimit) {
        self.bound = bound;
    }

    /// Counts a request that came.
    pub fn record_request(&mut self, now_ms: u64) {
        self.part(now_ms).requests += 1;
    }

    /// Takes one second send, where the part of a box among `boxes` has one left.
    pub fn try_take(&mut self, boxes: usize, now_ms: u64) -> bool {
        if self.remaining(boxes, now_ms) < 1.0 {
            return false;
        }
        self.part(now_ms).resends += 1;
        true
    }

    /// Second sends that a box among `boxes` may still make now.
    pub fn remaining(&mut self, boxes: usize, now_ms: u64) -> f64 {
        self.part(now_ms);
        let requests: u32 = self.parts.iter().map(|part| part.requests).sum();
        let resends: u32 = self.parts.iter().map(|part| part.resends).sum();
        let own = self.bound.extra / boxes.max(1) as f64;
        let allowed = self.bound.share * f64::from(requests) + own;
        allowed * USED - f64::from(resends)
    }

    fn part(&mut self, now_ms: u64) -> &mut Part {
        let length_ms = (self.bound.window_ms / PARTS).max(1);
        let number = now_ms / length_ms;
        while self
            .parts
            .front()
            .is_some_and(|part| part.number + PARTS < number)
        {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.number != number) {
            self.parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

#[cfg(test)]
#[path = "window_tests.rs"]
mod tests;
