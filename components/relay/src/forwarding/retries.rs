//! The retry budget of this box for each service. A box that has too little borrows from others: from a few at random, and then
//! from the broker of its group, where boxes put together what is less than one retry each.

use crate::state::Relay;
use peers::{LentRetries, RetryLoanRequest};
use policy::{RetryCounts, RetryLimit, RetryLoan, RetryWindow, TakenRetry, rendezvous_owner};
use prelude::BoxId;
use rand::seq::IteratorRandom;
use settings::{FleetPromises, Mechanism};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Boxes that are asked at random for one retry.
const MAX_LENDERS: usize = 3;
/// Boxes of one data centre that share a broker.
const GROUP_SIZE: usize = 128;
/// Timeout of one request for a loan.
const LOAN_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause in borrowing for a service after boxes lent too little, in ms.
const BORROW_PAUSE_MS: u64 = 500;

/// Returns the limit on retries from the promises of the settings.
pub(crate) fn retry_limit(promises: &FleetPromises) -> RetryLimit {
    RetryLimit {
        share: promises.resend_share,
        extra: promises.resend_spare,
        window_ms: (promises.resend_window_s * 1000.0) as u64,
    }
}

/// The retry budget of one service.
struct ServiceBudget {
    window: RetryWindow,
    borrows_from_ms: u64,
}

/// The retry budgets of all services.
#[derive(Default)]
pub(crate) struct RetryBudgets(HashMap<Box<str>, ServiceBudget>);

impl RetryBudgets {
    fn of_service(&mut self, service: &str, limit: RetryLimit) -> &mut ServiceBudget {
        self.0
            .entry(service.into())
            .or_insert_with(|| ServiceBudget {
                window: RetryWindow::new(limit),
                borrows_from_ms: 0,
            })
    }

    pub(crate) fn set_limit(&mut self, limit: RetryLimit, now_ms: u64) {
        for budget in self.0.values_mut() {
            budget.window.set_limit(limit, now_ms);
        }
    }

    /// Whether any retry was sent, lent or taken within the window.
    fn has_retries(&self, now_ms: u64) -> bool {
        let mut counts = self.0.values().map(|budget| budget.window.counts(now_ms));
        counts.any(|counts| counts.retries + counts.pending > 0.0)
    }
}

/// A retry that was taken from the budget. It is given back when the ticket is dropped, unless it was sent.
pub(crate) struct RetryTicket {
    relay: Rc<Relay>,
    service: Box<str>,
    taken: Cell<Option<TakenRetry>>,
}

impl RetryTicket {
    /// Records that the retry is sent now.
    pub(crate) fn record_sent(&self) {
        if let Some(taken) = self.taken.take() {
            self.relay
                .with_retry_window(&self.service, |window, now_ms| {
                    window.record_sent(taken, now_ms);
                });
        }
    }
}

impl Drop for RetryTicket {
    fn drop(&mut self) {
        if let Some(taken) = self.taken.take() {
            self.relay
                .with_retry_window(&self.service, |window, _| window.give_back(taken));
            metrics::counter!("shuntpier_resends_given_back").increment(1);
        }
    }
}

impl Relay {
    /// Counts a request that a caller sent to this box.
    pub(crate) fn record_request(&self, service: &str) {
        self.with_retry_window(service, RetryWindow::record_request);
    }

    /// Takes one retry to a service from the budget, with a loan if this box has too little. None if the budget is spent.
    pub(crate) async fn take_retry(
        self: &Rc<Self>,
        service: &str,
        request_id: &str,
    ) -> Option<RetryTicket> {
        let mut taken = self.try_take_retry(service);
        let borrows = taken.is_none();
        if borrows && self.borrow_retry(service).await {
            taken = self.try_take_retry(service);
        }
        let name = match taken {
            Some(_) => "shuntpier_resends",
            None => "shuntpier_resends_denied",
        };
        metrics::counter!(name).increment(1);
        self.log_retry(service, request_id, taken.is_some(), borrows);
        taken.map(|taken| RetryTicket {
            relay: self.clone(),
            service: service.into(),
            taken: Cell::new(Some(taken)),
        })
    }

    /// Lends a part of this box's budget to another box, or keeps what that box offers if there is too little.
    pub(crate) fn lend_retries(&self, request: &RetryLoanRequest) -> Option<LentRetries> {
        let declared = self.declared()?;
        declared.table.service_named(&request.service)?;
        let boxes = self.slack_divisor();
        let wanted = f64::from(request.wanted);
        self.with_retry_window(&request.service, |window, now_ms| {
            let Some(offered) = request.offered else {
                let loan = window.lend(wanted, boxes, now_ms);
                return Some(loan_message(loan, now_ms));
            };
            let lent = window.lend_whole(wanted, boxes, now_ms);
            if lent.is_none() {
                window.add_loan(received_loan(offered, now_ms));
            }
            lent.map(|loan| loan_message(loan, now_ms))
        })
    }

    /// Whether this box used its budget for any service within the window.
    pub(crate) fn has_recent_retries(&self) -> bool {
        let now_ms = self.now_ms();
        self.retry_budgets.borrow().has_retries(now_ms)
    }

    fn try_take_retry(&self, service: &str) -> Option<TakenRetry> {
        let boxes = self.slack_divisor();
        self.with_retry_window(service, |window, now_ms| window.try_take(boxes, now_ms))
    }

    /// The number of boxes that share the extra retries; none if this box has no share.
    fn slack_divisor(&self) -> Option<usize> {
        let settings = self.settings();
        if !settings.has(Mechanism::BudgetShares) {
            return Some(1);
        }
        let window_ms = retry_limit(&settings.promises).window_ms;
        let claim = self.slack_claim.get();
        let is_counted = !self.is_stopping() && claim.is_counted(window_ms, self.now_ms());
        is_counted.then(|| self.members.borrow().peak_box_count())
    }

    /// Borrows what this box lacks for one retry. Returns whether it got it.
    async fn borrow_retry(self: &Rc<Self>, service: &str) -> bool {
        let now_ms = self.now_ms();
        let is_paused = self.with_budget(service, |budget| now_ms < budget.borrows_from_ms);
        if is_paused {
            return false;
        }
        for lender in self.random_lenders() {
            let wanted = self.missing_retries(service);
            if wanted == 0.0 {
                return true;
            }
            let loan = self.request_loan(lender, service, wanted, None).await;
            self.add_loans(service, loan);
        }
        if self.missing_retries(service) == 0.0 || self.pool_at_broker(service).await {
            return true;
        }
        self.with_budget(service, |budget| {
            budget.borrows_from_ms = now_ms + BORROW_PAUSE_MS;
        });
        false
    }

    /// Hands what this box has for a service to its broker, unless the broker adds what is missing to one retry.
    async fn pool_at_broker(self: &Rc<Self>, service: &str) -> bool {
        let Some(broker) = self.broker_of(service) else {
            return false;
        };
        let boxes = self.slack_divisor();
        let offered = self.with_retry_window(service, |window, now_ms| window.offer(boxes, now_ms));
        let Some(offered) = offered else {
            return true;
        };
        let missing = 1.0 - offered.amount;
        let lent = self
            .request_loan(broker, service, missing, Some(offered))
            .await;
        if lent.is_none() {
            return false;
        }
        self.add_loans(service, lent.into_iter().chain([offered]));
        true
    }

    async fn request_loan(
        self: &Rc<Self>,
        lender: BoxId,
        service: &str,
        wanted: f64,
        offered: Option<RetryLoan>,
    ) -> Option<RetryLoan> {
        let asked_ms = self.now_ms();
        let request = RetryLoanRequest {
            service: service.into(),
            wanted: wanted as f32,
            offered: offered.map(|loan| loan_message(loan, asked_ms)),
        };
        let call = self
            .peers
            .call(lender, LOAN_TIMEOUT, |client, context| async move {
                client.lend_retries(context, request).await
            });
        let lent = self.record_held_result(lender, call.await, "lend retries", 0)??;
        Some(received_loan(lent, asked_ms))
    }

    fn random_lenders(&self) -> Vec<BoxId> {
        let members = self.members.borrow();
        let others = members.eligible_others(self.now_ms()).map(|card| card.id);
        others.choose_multiple(&mut rand::rng(), MAX_LENDERS)
    }

    /// The box where the group of this box puts parts of retries together; none if it is this box.
    fn broker_of(&self, service: &str) -> Option<BoxId> {
        let members = self.members.borrow();
        let is_near = |id: &BoxId| {
            let card = members.card(*id);
            card.is_some_and(|card| *card.data_centre == *self.identity.data_centre)
        };
        let others = members.eligible_others(self.now_ms()).map(|card| card.id);
        let near: Vec<BoxId> = others.filter(is_near).chain([self.id]).collect();
        let groups = near.len().div_ceil(GROUP_SIZE) as u64;
        let group = u64::from(self.id.0) % groups;
        let role = xxh3_64(service.as_bytes()).wrapping_add(group);
        rendezvous_owner(role, near).filter(|id| *id != self.id)
    }

    fn missing_retries(&self, service: &str) -> f64 {
        let boxes = self.slack_divisor();
        self.with_retry_window(service, |window, now_ms| window.missing(boxes, now_ms))
    }

    fn add_loans(&self, service: &str, loans: impl IntoIterator<Item = RetryLoan>) {
        self.with_retry_window(service, |window, _| {
            loans.into_iter().for_each(|loan| window.add_loan(loan));
        });
    }

    fn with_budget<T>(&self, service: &str, act: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let limit = retry_limit(&self.settings().promises);
        let mut budgets = self.retry_budgets.borrow_mut();
        act(budgets.of_service(service, limit))
    }

    fn with_retry_window<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryWindow, u64) -> T,
    ) -> T {
        let now_ms = self.now_ms();
        self.with_budget(service, |budget| act(&mut budget.window, now_ms))
    }

    fn log_retry(&self, service: &str, request_id: &str, is_taken: bool, borrows: bool) {
        let RetryCounts {
            requests,
            retries,
            pending,
        } = self.with_retry_window(service, |window, now_ms| window.counts(now_ms));
        slog::info!(self.log, "retry budget"; "id" => request_id, "service" => service,
            "taken" => is_taken, "borrows" => borrows, "requests" => requests,
            "retries" => retries, "pending" => pending, "boxes" => self.slack_divisor(),
            "age_ms" => self.now_ms());
    }
}

fn loan_message(loan: RetryLoan, now_ms: u64) -> LentRetries {
    LentRetries {
        amount: loan.amount as f32,
        valid_ms: loan.until_ms.saturating_sub(now_ms) as u32,
    }
}

/// The loan of a message that was requested, or sent, at `since_ms` or later.
fn received_loan(lent: LentRetries, since_ms: u64) -> RetryLoan {
    RetryLoan {
        amount: f64::from(lent.amount).clamp(0.0, 1.0),
        until_ms: since_ms + u64::from(lent.valid_ms),
    }
}
