//! Queue in which a coordinator grants the tokens of one rate-limited target to the calls of all boxes, one for each call: by
//! rank, and by start-time fair queueing (Goyal, Vin and Cheng, 1996) between client accounts of the same rank.

use crate::rate::bucket::TokenBucket;
use crate::rate::share::{USED_SHARE, refill};
use prelude::AccountId;
use std::collections::HashMap;

/// One grant in this many goes to the call that has waited longest, whatever its rank.
const OLDEST_FIRST_INTERVAL: u64 = 10;
/// Longest queue, in calls.
const WAITING_MAX: usize = 256;
/// Longest time until a retry that a rejected caller is given.
const RETRY_AFTER_MAX_MS: u64 = 10_000;

/// A call that requests a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateGrantRequest {
    /// Unique in the queue.
    pub id: u64,
    /// Account of the caller.
    pub account: AccountId,
    /// Fair-share weight of the account.
    pub weight: f64,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Time at which it is denied if it still waits.
    pub deadline_ms: u64,
    /// Whether a denial rejects the caller, because no other target is tried.
    pub is_last_try: bool,
}

/// Decision on a requested token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateVerdict {
    /// The call may be sent.
    Granted,
    /// The call may not be sent.
    Denied {
        /// Time until a token may be available.
        retry_after_ms: u64,
    },
}

/// Token bucket of one target, and the calls that wait for a token.
#[derive(Clone, Debug)]
pub struct RateQueue {
    bucket: TokenBucket,
    /// Waiting calls in order of arrival.
    waiting: Vec<RateGrantRequest>,
    /// Start tag of the last granted call.
    virtual_time: f64,
    /// Start tag of the next call of each account.
    next_tags: HashMap<AccountId, f64>,
    grants: u64,
    /// Retry time for the next rejected caller.
    next_retry_ms: u64,
}

impl RateQueue {
    /// Creates a queue with an empty bucket: another box may have granted tokens until now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            bucket: TokenBucket::new(0.0, now_ms),
            waiting: Vec::new(),
            virtual_time: 0.0,
            next_tags: HashMap::new(),
            grants: 0,
            next_retry_ms: 0,
        }
    }

    /// Submits a call. Returns the verdict, or none if the call waits.
    pub fn submit(
        &mut self,
        request: RateGrantRequest,
        rate_per_s: f64,
        now_ms: u64,
    ) -> Option<RateVerdict> {
        refill(&mut self.bucket, rate_per_s, now_ms);
        if self.waiting.is_empty() && self.bucket.try_take() {
            self.record_grant(&request);
            return Some(RateVerdict::Granted);
        }
        let tokens = self.count_ahead(&request) + 1;
        let wait_ms = self.wait_ms(tokens, rate_per_s);
        let is_in_time = now_ms + wait_ms <= request.deadline_ms;
        if !is_in_time || self.waiting.len() >= WAITING_MAX {
            return Some(self.deny(&request, rate_per_s, wait_ms, now_ms));
        }
        self.waiting.push(request);
        None
    }

    /// Grants the available tokens and denies calls past their deadline. Returns the verdicts by id.
    pub fn run(&mut self, rate_per_s: f64, now_ms: u64) -> Vec<(u64, RateVerdict)> {
        refill(&mut self.bucket, rate_per_s, now_ms);
        let mut verdicts = Vec::new();
        while !self.waiting.is_empty() && self.bucket.try_take() {
            let next = self.waiting.remove(self.next_index());
            self.record_grant(&next);
            verdicts.push((next.id, RateVerdict::Granted));
        }
        let is_expired = |request: &mut RateGrantRequest| request.deadline_ms <= now_ms;
        let expired: Vec<RateGrantRequest> = self.waiting.extract_if(.., is_expired).collect();
        for request in expired {
            let wait_ms = self.wait_ms(1, rate_per_s);
            verdicts.push((request.id, self.deny(&request, rate_per_s, wait_ms, now_ms)));
        }
        verdicts
    }

    /// Time until [`RateQueue::run`] has something to do; none if no call waits.
    pub fn next_run_in_ms(&self, rate_per_s: f64, now_ms: u64) -> Option<u64> {
        let deadlines = self.waiting.iter().map(|request| request.deadline_ms);
        let first_deadline_ms = deadlines.min()?.saturating_sub(now_ms);
        Some(self.wait_ms(1, rate_per_s).min(first_deadline_ms))
    }

    /// Puts back the token of a granted call that is not sent.
    pub fn refund(&mut self) {
        self.bucket.refund();
    }

    fn wait_ms(&self, tokens: usize, rate_per_s: f64) -> u64 {
        self.bucket.wait_ms(tokens as f64, rate_per_s * USED_SHARE)
    }

    fn next_tag(&self, account: AccountId) -> f64 {
        let next = self.next_tags.get(&account).copied();
        next.unwrap_or_default().max(self.virtual_time)
    }

    fn record_grant(&mut self, request: &RateGrantRequest) {
        let tag = self.next_tag(request.account);
        self.grants += 1;
        self.virtual_time = tag;
        self.next_tags.retain(|_, next| *next > tag);
        self.next_tags
            .insert(request.account, tag + 1.0 / request.weight);
    }

    /// Start tags of the waiting calls, in order of arrival.
    fn start_tags(&self) -> Vec<f64> {
        let mut next_tags: HashMap<AccountId, f64> = HashMap::new();
        let tag = |request: &RateGrantRequest| {
            let next = next_tags.entry(request.account);
            let next = next.or_insert_with(|| self.next_tag(request.account));
            std::mem::replace(next, *next + 1.0 / request.weight)
        };
        self.waiting.iter().map(tag).collect()
    }

    /// Number of waiting calls that are granted before a new one.
    fn count_ahead(&self, request: &RateGrantRequest) -> usize {
        let own = self
            .waiting
            .iter()
            .filter(|other| other.account == request.account);
        let tag = self.next_tag(request.account) + own.count() as f64 / request.weight;
        let waiting = self.waiting.iter().zip(self.start_tags());
        let is_ahead =
            |(other, start): &(&RateGrantRequest, f64)| (other.rank, *start) <= (request.rank, tag);
        waiting.filter(is_ahead).count()
    }

    /// Index of the waiting call to grant next.
    fn next_index(&self) -> usize {
        if self.grants % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1 {
            return 0;
        }
        let keys = self
            .waiting
            .iter()
            .map(|request| request.rank)
            .zip(self.start_tags());
        let first = keys.enumerate().min_by(|(_, a), (_, b)| {
            let by_rank = a.0.cmp(&b.0);
            by_rank.then(a.1.total_cmp(&b.1))
        });
        first.map_or(0, |(at, _)| at)
    }

    /// Denies a call. Rejected callers get successive retry times, spaced by the rate.
    fn deny(
        &mut self,
        request: &RateGrantRequest,
        rate_per_s: f64,
        wait_ms: u64,
        now_ms: u64,
    ) -> RateVerdict {
        let mut retry_after_ms = wait_ms;
        if request.is_last_try {
            let latest_ms = now_ms + RETRY_AFTER_MAX_MS;
            let retry_ms = self.next_retry_ms.max(now_ms + wait_ms).min(latest_ms);
            self.next_retry_ms = retry_ms + (1_000.0 / rate_per_s) as u64;
            retry_after_ms = retry_ms - now_ms;
        }
        RateVerdict::Denied { retry_after_ms }
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
