//! What this box knows of the calls that it claimed: in progress, done, never sent, perhaps run. It is
//! lost with the box; what it would have said is then unknown, and nothing is run a second time.

use crate::shared::lock;
use peers::KeyOutcome;
use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;

/// Memory for remembered answers.
const ANSWERS_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Longest answer that is remembered whole.
const BODY_BYTES_MAX: usize = 256 * 1024;
/// What a remembered call takes beside its answer.
const CALL_BYTES: usize = 256;

struct Call {
    request: u64,
    outcome: watch::Sender<KeyOutcome>,
    /// Tries to claim the key that are under way.
    tries: Vec<u64>,
    /// Tries that were given up: whatever becomes of their claims, nothing is sent under them.
    given_up: Vec<u64>,
    /// Nothing was sent by this box; what is known comes from elsewhere, and may be asked again.
    may_begin_again: bool,
}

/// How a call of this box ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// It was sent; this became of it.
    Sent(KeyOutcome),
    /// It was never sent. This is what others know of the key.
    NeverSent(KeyOutcome),
}

#[derive(Default)]
struct Calls {
    by_key: HashMap<u128, Call>,
    ended: VecDeque<(u128, usize)>,
    ended_bytes: usize,
}

/// The calls of this box, by the fingerprint of account and key.
#[derive(Default)]
pub(crate) struct Claimant {
    calls: Mutex<Calls>,
}

/// What a request finds when it comes.
pub(crate) enum Found {
    /// Nothing: it goes on, and is the one that others will find.
    Begun,
    /// The same request is in progress, or has ended.
    Same(watch::Receiver<KeyOutcome>),
    /// The key belongs to another request.
    Other,
}

impl Claimant {
    /// Begins a call, unless one with the same key is known. A call that this box never sent may begin
    /// again.
    pub fn begin(&self, key: u128, request: u64) -> Found {
        let mut calls = lock(&self.calls);
        let mut given_up = Vec::new();
        if let Some(call) = calls.by_key.get(&key) {
            if !call.may_begin_again {
                return match call.request == request {
                    true => Found::Same(call.outcome.subscribe()),
                    false => Found::Other,
                };
            }
            given_up.clone_from(&call.given_up);
        }
        let (outcome, _) = watch::channel(KeyOutcome::InProgress);
        let call = Call {
            request,
            outcome,
            tries: Vec::new(),
            given_up,
            may_begin_again: false,
        };
        calls.by_key.insert(key, call);
        Found::Begun
    }

    /// Notes a try to claim the key, before it is made.
    pub fn try_claim(&self, key: u128, nonce: u64) {
        if let Some(call) = lock(&self.calls).by_key.get_mut(&key) {
            call.tries.push(nonce);
        }
    }

    /// Whether this box gave up the try that made a claim, and so never sends under it.
    pub fn gave_up(&self, key: u128, nonce: u64) -> bool {
        let calls = lock(&self.calls);
        let call = calls.by_key.get(&key);
        call.is_some_and(|call| call.given_up.contains(&nonce))
    }

    /// Whether a try to claim the key is one of the call in progress.
    pub fn is_trying(&self, key: u128, nonce: u64) -> bool {
        let calls = lock(&self.calls);
        let call = calls.by_key.get(&key);
        call.is_some_and(|call| call.tries.contains(&nonce))
    }

    /// Notes how a call ended.
    pub fn end(&self, key: u128, end: CallEnd) {
        let mut calls = lock(&self.calls);
        let Some(call) = calls.by_key.get_mut(&key) else {
            return;
        };
        let outcome = match end {
            CallEnd::Sent(outcome) => outcome,
            CallEnd::NeverSent(outcome) => {
                call.may_begin_again = true;
                let tries = std::mem::take(&mut call.tries);
                call.given_up.extend(tries);
                outcome
            }
        };
        let outcome = shortened(outcome);
        let bytes = CALL_BYTES + body_bytes(&outcome);
        call.outcome.send_replace(outcome);
        calls.ended.push_back((key, bytes));
        calls.ended_bytes += bytes;
        while calls.ended_bytes > ANSWERS_BYTES_MAX {
            let Some((old, bytes)) = calls.ended.pop_front() else {
                return;
            };
            calls.ended_bytes -= bytes;
            let ended = calls
                .by_key
                .get(&old)
                .map(|call| call.outcome.borrow().clone());
            if ended.is_some_and(|outcome| outcome != KeyOutcome::InProgress) {
                calls.by_key.remove(&old);
            }
        }
    }

    /// What is known of the call under the claim that the try `nonce` made, waiting up to `wait` where
    /// it is in progress.
    pub async fn outcome(&self, key: u128, nonce: u64, wait: Duration) -> KeyOutcome {
        if self.gave_up(key, nonce) {
            return KeyOutcome::NotRun;
        }
        let call = lock(&self.calls)
            .by_key
            .get(&key)
            .map(|call| call.outcome.subscribe());
        let Some(outcome) = call else {
            return KeyOutcome::NotKnown;
        };
        let outcome = settled(outcome, wait).await;
        match outcome {
            // That word is on another try, unless this one was given up meanwhile.
            KeyOutcome::NotRun if !self.gave_up(key, nonce) => KeyOutcome::MayHaveRun,
            outcome => outcome,
        }
    }
}

/// Waits up to `wait` for a call to end.
pub(crate) async fn settled(
    mut outcome: watch::Receiver<KeyOutcome>,
    wait: Duration,
) -> KeyOutcome {
    let ended = outcome.wait_for(|outcome| *outcome != KeyOutcome::InProgress);
    match tokio::time::timeout(wait, ended).await {
        Ok(Ok(outcome)) => outcome.clone(),
        Ok(Err(_)) | Err(_) => KeyOutcome::InProgress,
    }
}

fn body_bytes(outcome: &KeyOutcome) -> usize {
    match outcome {
        KeyOutcome::Done {
            body: Some(body), ..
        } => body.len(),
        _ => 0,
    }
}

fn shortened(outcome: KeyOutcome) -> KeyOutcome {
    match outcome {
        KeyOutcome::Done {
            status,
            content_type,
            body,
        } => KeyOutcome::Done {
            status,
            content_type,
            body: body.filter(|body| body.len() <= BODY_BYTES_MAX),
        },
        other => other,
    }
}

#[cfg(test)]
#[path = "claimant_tests.rs"]
mod tests;
