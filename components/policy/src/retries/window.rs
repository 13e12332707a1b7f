//! Limit on retries and hedged requests at other targets, over a sliding window. The limit applies to all boxes together; each
//! box computes its own share from the requests that it receives and the number of boxes.

use std::collections::VecDeque;

/// Number of buckets in a window.
const BUCKETS: u64 = 20;
/// Share of the limit that is used, because boxes learn of changes in the number of boxes late.
const USED_SHARE: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Limit on retries that the settings promise to users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries as a share of requests.
    pub share: f64,
    /// Retries allowed in addition to that share in each window, by all boxes together.
    pub extra: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

/// What one box counted within a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryCounts {
    /// Requests that arrived.
    pub requests: u32,
    /// Retries that were taken.
    pub retries: u32,
}

/// Requests and retries of one box to one service within the window.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    limit: RetryLimit,
    buckets: VecDeque<Bucket>,
}

impl RetryWindow {
    /// Creates an empty window.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            buckets: VecDeque::new(),
        }
    }

    /// Changes the limit and keeps the counts.
    pub fn set_limit(&mut self, limit: RetryLimit) {
        self.limit = limit;
    }

    /// Counts a request that arrives.
    pub fn record_request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Takes one retry if the share of one box among `boxes` allows it. Returns whether it does.
    pub fn try_take(&mut self, boxes: usize, now_ms: u64) -> bool {
        if self.remaining(boxes, now_ms) < 1.0 {
            return false;
        }
        self.bucket(now_ms).retries += 1;
        true
    }

    /// Requests and retries within the window.
    pub fn counts(&mut self, now_ms: u64) -> RetryCounts {
        self.bucket(now_ms);
        RetryCounts {
            requests: self.buckets.iter().map(|bucket| bucket.requests).sum(),
            retries: self.buckets.iter().map(|bucket| bucket.retries).sum(),
        }
    }

    /// Retries that the share of one box among `boxes` still allows.
    pub fn remaining(&mut self, boxes: usize, now_ms: u64) -> f64 {
        let counts = self.counts(now_ms);
        let box_extra = self.limit.extra / boxes.max(1) as f64;
        let allowed = self.limit.share * f64::from(counts.requests) + box_extra;
        allowed * USED_SHARE - f64::from(counts.retries)
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let bucket_ms = (self.limit.window_ms / BUCKETS).max(1);
        let number = now_ms / bucket_ms;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number + BUCKETS < number)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number != number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

#[cfg(test)]
#[path = "window_tests.rs"]
mod tests;
