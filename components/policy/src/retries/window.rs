//! Limit on retries and hedged requests at other targets, over a sliding window. The limit applies to all boxes together. Each
//! box earns a share of its own requests, and may use a share of the extra retries; what it does not use, it lends to others.
//!
//! For each window of retries, all boxes take the mean of the requests in that window and in the one before. Unlike the larger of
//! the two it adds up: the sum over boxes never exceeds the limit, whatever boxes the requests arrive at.

/// Number of buckets in a window.
const BUCKETS: u64 = 80;
/// Buckets after which retries that were lent count at the lender.
const LOAN_BUCKETS: u64 = BUCKETS / 10;
/// Buckets for which a loan is valid. One less, for the time that it takes to the borrower.
const VALID_BUCKETS: u64 = LOAN_BUCKETS - 1;
/// Windows of requests that are averaged for one window of retries.
const REQUEST_WINDOWS: f64 = 2.0;
/// Buckets that are kept: those of the retries, the window of requests before, and those of loans in the future.
const SLOTS: usize = (2 * BUCKETS + LOAN_BUCKETS + 4) as usize;
/// Rounding errors of sums of shares.
const EPSILON: f64 = 1e-6;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    /// Retries sent, and those that were lent, which count when the loan expires.
    retries: f64,
    /// Largest number of boxes among which the extra retries were divided.
    boxes: u32,
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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryCounts {
    /// Requests that arrived.
    pub requests: u32,
    /// Retries that were sent or lent.
    pub retries: f64,
    /// Retries that were taken and not sent yet.
    pub pending: f64,
}

/// Retries that one box hands to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLoan {
    /// How many; also a part of one.
    pub amount: f64,
    /// Until when they may be sent, in ms on the clock of the box that holds them.
    pub until_ms: u64,
}

/// A retry that was taken from the budget. It is recorded when it is sent, and given back if it is not.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use]
pub struct TakenRetry {
    own: f64,
    borrowed: f64,
    borrowed_until_ms: u64,
}

/// Requests and retries of one box to one service.
#[derive(Clone, Debug)]
pub struct RetryWindow {
    limit: RetryLimit,
    slots: Box<[Bucket]>,
    pending: f64,
    loans: Vec<RetryLoan>,
    /// When a retry was last taken or denied, in ms.
    last_demand_ms: Option<u64>,
    /// No extra retries before this time, in ms.
    extra_from_ms: u64,
}

impl RetryWindow {
    /// Creates an empty window.
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            slots: vec![Bucket::default(); SLOTS].into(),
            pending: 0.0,
            loans: Vec::new(),
            last_demand_ms: None,
            extra_from_ms: 0,
        }
    }

    /// Changes the limit. Counts are kept, unless the length of the window changes: then it begins anew, without extra retries
    /// until the earlier ones have left it.
    pub fn set_limit(&mut self, limit: RetryLimit, now_ms: u64) {
        if limit.window_ms != self.limit.window_ms {
            let longest_ms = limit.window_ms.max(self.limit.window_ms);
            *self = Self {
                pending: self.pending,
                extra_from_ms: now_ms + longest_ms,
                ..Self::new(limit)
            };
        }
        self.limit = limit;
    }

    /// Counts a request that arrives.
    pub fn record_request(&mut self, now_ms: u64) {
        let number = self.number_of(now_ms);
        self.bucket(number).requests += 1;
    }

    /// Takes one retry if the budget of this box and its loans allow it. `boxes` is the number of boxes that share the extra
    /// retries; none if this box has no share of them.
    pub fn try_take(&mut self, boxes: Option<usize>, now_ms: u64) -> Option<TakenRetry> {
        self.last_demand_ms = Some(now_ms);
        self.expire_loans(now_ms);
        let own = self.available(boxes, now_ms).min(1.0);
        let wanted = 1.0 - own;
        if self.borrowed() + EPSILON < wanted {
            return None;
        }
        self.pending += own;
        let borrowed_until_ms = self.use_loans(wanted);
        Some(TakenRetry {
            own,
            borrowed: wanted,
            borrowed_until_ms,
        })
    }

    /// Records that a retry is sent.
    pub fn record_sent(&mut self, taken: TakenRetry, now_ms: u64) {
        self.pending -= taken.own;
        let number = self.number_of(now_ms);
        // The lender counts a loan until it expires.
        let is_expired = taken.borrowed > 0.0 && now_ms > taken.borrowed_until_ms;
        self.bucket(number).retries += if is_expired { 1.0 } else { taken.own };
    }

    /// Gives back a retry that was not sent.
    pub fn give_back(&mut self, taken: TakenRetry) {
        self.pending -= taken.own;
        self.add_loan(RetryLoan {
            amount: taken.borrowed,
            until_ms: taken.borrowed_until_ms,
        });
    }

    /// The part of a retry that this box lacks and may borrow.
    pub fn missing(&mut self, boxes: Option<usize>, now_ms: u64) -> f64 {
        self.expire_loans(now_ms);
        let available = self.available(boxes, now_ms) + self.borrowed();
        (1.0 - available).max(0.0)
    }

    /// Lends at most `wanted` retries to another box: what others lent to this one first, then half of its own if it needs them
    /// itself, else all.
    pub fn lend(&mut self, wanted: f64, boxes: Option<usize>, now_ms: u64) -> RetryLoan {
        self.expire_loans(now_ms);
        let valid_ms = self.valid_ms();
        let has_demand = self
            .last_demand_ms
            .is_some_and(|at_ms| now_ms < at_ms + valid_ms);
        let own_share = if has_demand { 0.5 } else { 1.0 };
        let borrowed = self.borrowed().min(wanted);
        let own = self.available(boxes, now_ms) * own_share;
        let own = own.min(wanted - borrowed);
        self.hand_over(own, borrowed, now_ms)
    }

    /// Lends exactly `wanted` retries if this box has them, like [`Self::lend`].
    pub fn lend_whole(
        &mut self,
        wanted: f64,
        boxes: Option<usize>,
        now_ms: u64,
    ) -> Option<RetryLoan> {
        let has_whole = self.available(boxes, now_ms) + self.borrowed() + EPSILON >= wanted;
        let loan = has_whole.then(|| self.lend(wanted, boxes, now_ms))?;
        let is_whole = loan.amount + EPSILON >= wanted;
        if !is_whole {
            self.add_loan(loan);
        }
        is_whole.then_some(loan)
    }

    /// Hands everything over that this box has, if it is less than one retry.
    pub fn offer(&mut self, boxes: Option<usize>, now_ms: u64) -> Option<RetryLoan> {
        self.expire_loans(now_ms);
        let own = self.available(boxes, now_ms);
        let borrowed = self.borrowed();
        let is_part = own + borrowed + EPSILON < 1.0;
        is_part.then(|| self.hand_over(own, borrowed, now_ms))
    }

    /// Adds retries that another box lent.
    pub fn add_loan(&mut self, loan: RetryLoan) {
        if loan.amount > 0.0 {
            self.loans.push(loan);
        }
    }

    /// How long a box's own retries may be lent, in ms.
    pub fn valid_ms(&self) -> u64 {
        self.bucket_ms() * VALID_BUCKETS
    }

    fn hand_over(&mut self, own: f64, borrowed: f64, now_ms: u64) -> RetryLoan {
        let counted = self.number_of(now_ms) + LOAN_BUCKETS;
        self.bucket(counted).retries += own;
        let borrowed_until_ms = self.use_loans(borrowed);
        RetryLoan {
            amount: own + borrowed,
            until_ms: borrowed_until_ms.min(now_ms + self.valid_ms()),
        }
    }

    /// Requests and retries within the last window.
    pub fn counts(&self, now_ms: u64) -> RetryCounts {
        let number = self.number_of(now_ms);
        let window = number.saturating_sub(BUCKETS)..=number + LOAN_BUCKETS;
        let buckets = window.map(|number| self.read(number));
        let mut counts = RetryCounts {
            requests: 0,
            retries: 0.0,
            pending: self.pending,
        };
        for bucket in buckets {
            counts.requests += bucket.requests;
            counts.retries += bucket.retries;
        }
        counts
    }

    /// Retries that this box may still send now, without loans: the least that any window which includes this moment allows.
    fn available(&mut self, boxes: Option<usize>, now_ms: u64) -> f64 {
        let now = self.number_of(now_ms);
        let extra = self.extra_of_box(boxes, now, now_ms);
        // The window may begin anywhere within a bucket: it covers all of its retries, and only the requests that it contains
        // at any phase.
        let first = now.saturating_sub(BUCKETS);
        let oldest = |number: u64| (number + 1).saturating_sub(BUCKETS);
        let mut requests: u32 = (oldest(first)..first + BUCKETS)
            .map(|number| self.read(number).requests)
            .sum();
        let mut retries: f64 = (first..=now + LOAN_BUCKETS)
            .map(|number| self.read(number).retries)
            .sum();
        let mut least = f64::INFINITY;
        for number in first..=now {
            let earned = self.limit.share * f64::from(requests) / REQUEST_WINDOWS;
            least = least.min(earned + extra - retries);
            retries -= self.read(number).retries;
            requests += self.read(number + BUCKETS).requests;
            if number + 1 >= BUCKETS {
                requests -= self.read(number + 1 - BUCKETS).requests;
            }
        }
        (least - self.pending).max(0.0)
    }

    /// This box's share of the extra retries, by the largest number of boxes within the window.
    fn extra_of_box(&mut self, boxes: Option<usize>, number: u64, now_ms: u64) -> f64 {
        let Some(boxes) = boxes.filter(|_| now_ms >= self.extra_from_ms) else {
            return 0.0;
        };
        let current = self.bucket(number);
        current.boxes = current.boxes.max(boxes as u32);
        let window = number.saturating_sub(BUCKETS)..=number;
        let peak = window.map(|number| self.read(number).boxes).max();
        self.limit.extra / f64::from(peak.unwrap_or(1).max(1))
    }

    fn borrowed(&self) -> f64 {
        self.loans.iter().map(|loan| loan.amount).sum()
    }

    fn expire_loans(&mut self, now_ms: u64) {
        self.loans.retain(|loan| loan.until_ms > now_ms);
    }

    /// Uses loans, those that expire first before others. Returns when the first used one expires, in ms.
    fn use_loans(&mut self, mut wanted: f64) -> u64 {
        if wanted <= 0.0 {
            return u64::MAX;
        }
        self.loans.sort_by_key(|loan| loan.until_ms);
        let until_ms = self.loans.first().map_or(u64::MAX, |loan| loan.until_ms);
        for loan in &mut self.loans {
            let used = loan.amount.min(wanted);
            loan.amount -= used;
            wanted -= used;
        }
        self.loans.retain(|loan| loan.amount > EPSILON);
        until_ms
    }

    fn bucket_ms(&self) -> u64 {
        (self.limit.window_ms / BUCKETS).max(1)
    }

    fn number_of(&self, now_ms: u64) -> u64 {
        now_ms / self.bucket_ms()
    }

    fn bucket(&mut self, number: u64) -> &mut Bucket {
        let bucket = &mut self.slots[number as usize % SLOTS];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }

    fn read(&self, number: u64) -> Bucket {
        let bucket = self.slots[number as usize % SLOTS];
        match bucket.number == number {
            true => bucket,
            false => Bucket::default(),
        }
    }
}

#[cfg(test)]
#[path = "window_tests.rs"]
mod tests;
