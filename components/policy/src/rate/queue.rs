//! Grants the requests that one target takes, one token for each, to the calls of all boxes: the more urgent first, and fair
//! between client accounts of one rank by start-time fair queueing (Goyal, Vin and Cheng, 1996).

use crate::rate::bucket::TokenBucket;
use crate::rate::share::{USED_SHARE, refill};
use prelude::AccountId;
use std::collections::HashMap;

/// One grant in so many goes to the call that has waited longest, whatever its rank.
const LONGEST_EACH: u64 = 10;
/// Calls that wait at a time.
const WAITING_MAX: usize = 256;
/// How far ahead callers are told to come back at the most.
const COME_BACK_MAX_MS: u64 = 10_000;

/// A call that asks for a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateGrantRequest {
    /// Unique among those that wait.
    pub id: u64,
    /// Whose call it is.
    pub account: AccountId,
    /// The account's weight.
    pub weight: f64,
    /// 0 for the most urgent.
    pub rank: u8,
    /// Until when it waits.
    pub deadline_ms: u64,
    /// Its caller is sent away where it is denied.
    pub is_last_try: bool,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateVerdict {
    /// It may be sent.
    Granted,
    /// It may not be; when to ask again.
    Denied {
        /// From now.
        retry_after_ms: u64,
    },
}

/// The tokens of one target, and who waits for them.
#[derive(Clone, Debug)]
pub struct RateQueue {
    bucket: TokenBucket,
    /// Those that wait, in the order in which they came.
    waiting: Vec<RateGrantRequest>,
    /// The start tag of the last call that was granted.
    virtual_time: f64,
    /// The start tag of the next call of an account.
    next_tags: HashMap<AccountId, f64>,
    grants: u64,
    /// When the next caller that is sent away finds a token.
    come_back_ms: u64,
}

impl RateQueue {
    /// A queue that has granted nothing. Its bucket is empty: another box may have granted until now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            bucket: TokenBucket::new(0.0, now_ms),
            waiting: Vec::new(),
            virtual_time: 0.0,
            next_tags: HashMap::new(),
            grants: 0,
            come_back_ms: 0,
        }
    }

    /// Takes a call in. None where it waits.
    pub fn submit(
        &mut self,
        ask: RateGrantRequest,
        rate_per_s: f64,
        now_ms: u64,
    ) -> Option<RateVerdict> {
        refill(&mut self.bucket, rate_per_s, now_ms);
        if self.waiting.is_empty() && self.bucket.try_take() {
            self.granted(&ask);
            return Some(RateVerdict::Granted);
        }
        let tokens = self.before(&ask) + 1;
        let wait_ms = self.wait_ms(tokens, rate_per_s);
        let is_in_time = now_ms + wait_ms <= ask.deadline_ms;
        if !is_in_time || self.waiting.len() >= WAITING_MAX {
            return Some(self.denied(&ask, rate_per_s, wait_ms, now_ms));
        }
        self.waiting.push(ask);
        None
    }

    /// Grants the tokens that are there, and denies those whose time is over.
    pub fn run(&mut self, rate_per_s: f64, now_ms: u64) -> Vec<(u64, RateVerdict)> {
        refill(&mut self.bucket, rate_per_s, now_ms);
        let mut verdicts = Vec::new();
        while !self.waiting.is_empty() && self.bucket.try_take() {
            let next = self.waiting.remove(self.next_at());
            self.granted(&next);
            verdicts.push((next.id, RateVerdict::Granted));
        }
        let is_over = |ask: &mut RateGrantRequest| ask.deadline_ms <= now_ms;
        let over: Vec<RateGrantRequest> = self.waiting.extract_if(.., is_over).collect();
        for ask in over {
            let wait_ms = self.wait_ms(1, rate_per_s);
            verdicts.push((ask.id, self.denied(&ask, rate_per_s, wait_ms, now_ms)));
        }
        verdicts
    }

    /// How long until [`RateQueue::run`] has something to do; none where nobody waits.
    pub fn next_run_in_ms(&self, rate_per_s: f64, now_ms: u64) -> Option<u64> {
        let ends = self.waiting.iter().map(|ask| ask.deadline_ms);
        let first_end_ms = ends.min()?.saturating_sub(now_ms);
        Some(self.wait_ms(1, rate_per_s).min(first_end_ms))
    }

    /// Takes a grant back of a call that is not sent: its token goes to another.
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

    fn granted(&mut self, ask: &RateGrantRequest) {
        let tag = self.next_tag(ask.account);
        self.grants += 1;
        self.virtual_time = tag;
        self.next_tags.retain(|_, next| *next > tag);
        self.next_tags.insert(ask.account, tag + 1.0 / ask.weight);
    }

    /// The start tags of those that wait, in the order in which they came.
    fn tags(&self) -> Vec<f64> {
        let mut next_tags: HashMap<AccountId, f64> = HashMap::new();
        let tag = |ask: &RateGrantRequest| {
            let next = next_tags.entry(ask.account);
            let next = next.or_insert_with(|| self.next_tag(ask.account));
            std::mem::replace(next, *next + 1.0 / ask.weight)
        };
        self.waiting.iter().map(tag).collect()
    }

    /// How many of those that wait go before a call that comes now.
    fn before(&self, ask: &RateGrantRequest) -> usize {
        let own = self
            .waiting
            .iter()
            .filter(|other| other.account == ask.account);
        let tag = self.next_tag(ask.account) + own.count() as f64 / ask.weight;
        let waiting = self.waiting.iter().zip(self.tags());
        let goes_before =
            |(other, start): &(&RateGrantRequest, f64)| (other.rank, *start) <= (ask.rank, tag);
        waiting.filter(goes_before).count()
    }

    /// Who is granted next, among those that wait.
    fn next_at(&self) -> usize {
        if self.grants % LONGEST_EACH == LONGEST_EACH - 1 {
            return 0;
        }
        let order = self.waiting.iter().map(|ask| ask.rank).zip(self.tags());
        let first = order.enumerate().min_by(|(_, a), (_, b)| {
            let by_rank = a.0.cmp(&b.0);
            by_rank.then(a.1.total_cmp(&b.1))
        });
        first.map_or(0, |(at, _)| at)
    }

    /// Callers that are sent away are told times one after another, at which tokens will be there.
    fn denied(
        &mut self,
        ask: &RateGrantRequest,
        rate_per_s: f64,
        wait_ms: u64,
        now_ms: u64,
    ) -> RateVerdict {
        let mut retry_after_ms = wait_ms;
        if ask.is_last_try {
            let latest_ms = now_ms + COME_BACK_MAX_MS;
            let back_ms = self.come_back_ms.max(now_ms + wait_ms).min(latest_ms);
            self.come_back_ms = back_ms + (1_000.0 / rate_per_s) as u64;
            retry_after_ms = back_ms - now_ms;
        }
        RateVerdict::Denied { retry_after_ms }
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
