//! A call that may run at most once: claims its key, sends it, and says what became of it, or finds out
//! what became of it under another's claim.

use crate::calls::{
    Sent, answer_of, done, left, no_worker, refused, request_of, send_once, unknown,
};
use crate::claimant::CallEnd;
use crate::claims::{claim, record_outcome};
use crate::shared::{Shared, lock};
use callers::{ServiceAnswer, ServiceCall};
use peers::{ClaimRequest, ClaimResult, KeyOutcome, OutcomeRecord, PeerError};
use prelude::{BoxId, BoxIncarnation, RefusalReason, RequestKey};
use rand::Rng;
use settings::ResolvedService;
use std::sync::Arc;
use std::time::Duration;

/// Claims that are tried when the claimant before us says that it did not run the call.
const CLAIMS_TRIED: u32 = 3;
/// Part of a call's deadline in which its claim must be recorded.
const CLAIM_PART: u64 = 2;
/// How long a claimant may hold back its word on a call in progress.
const CLAIMANT_WAIT: Duration = Duration::from_secs(1);
/// Tries in a row to reach a claimant before it is taken for gone.
const CLAIMANT_TRIES: u32 = 5;
const ASK_CLAIMANT_SLACK: Duration = Duration::from_millis(200);
const CLAIMANT_UNREACHED_PAUSE: Duration = Duration::from_millis(100);

/// A call that this box began and that may run at most once.
pub(crate) struct OnceCall {
    pub shared: Arc<Shared>,
    pub service: ResolvedService,
    pub fingerprint: u128,
    pub request: u64,
    /// The same for each try of the same call.
    pub key: RequestKey,
    pub call: ServiceCall,
    pub deadline_ms: u64,
}

/// The claim that another box, or another try or life of this one, holds.
struct HeldClaim {
    claimant: BoxId,
    life: BoxIncarnation,
    nonce: u64,
    revision: u64,
    outcome: Option<KeyOutcome>,
}

impl OnceCall {
    pub async fn run(self) -> ServiceAnswer {
        let mut replaces_revision = 0;
        for _ in 0..CLAIMS_TRIED {
            let claim_request = self.claim_request(replaces_revision);
            self.shared
                .claimant
                .try_claim(self.fingerprint, claim_request.nonce);
            match claim(&self.shared, claim_request.clone()).await {
                ClaimResult::Won { revision } => return self.send(claim_request, revision).await,
                ClaimResult::NotRecorded | ClaimResult::Unclear => break,
                ClaimResult::Taken { request, .. } if request != 0 && request != self.request => {
                    self.end(CallEnd::NeverSent(KeyOutcome::MayHaveRun));
                    return ServiceAnswer::KeyReused;
                }
                ClaimResult::Taken {
                    claimant,
                    life,
                    nonce,
                    revision,
                    outcome,
                    ..
                } => {
                    let held = HeldClaim {
                        claimant,
                        life,
                        nonce,
                        revision,
                        outcome,
                    };
                    match self.outcome_of(&held).await {
                        KeyOutcome::NotRun => replaces_revision = held.revision,
                        outcome => {
                            self.end(CallEnd::NeverSent(outcome.clone()));
                            return answer_of(outcome);
                        }
                    }
                }
            }
        }
        self.end(CallEnd::NeverSent(KeyOutcome::NotRun));
        refused(RefusalReason::ClaimUnavailable, Some(1000))
    }

    fn claim_request(&self, replaces_revision: u64) -> ClaimRequest {
        let left_ms = self.deadline_ms.saturating_sub(self.shared.now_ms());
        ClaimRequest {
            service: self.service.id,
            key: self.fingerprint,
            request: self.request,
            claimant: self.shared.card.id,
            life: self.shared.card.life,
            nonce: rand::rng().random(),
            replaces_revision,
            retention_ms: self.service.key_retention_ms,
            wait_left_ms: (left_ms / CLAIM_PART) as u32,
        }
    }

    /// Sends the call under a claim that was won.
    async fn send(self, claim: ClaimRequest, revision: u64) -> ServiceAnswer {
        let request = request_of(&self.call);
        let (service, deadline_ms) = (&self.service, self.deadline_ms);
        let sent = send_once(&self.shared, service, self.key, &request, deadline_ms).await;
        let (outcome, answer) = match sent {
            Sent::Nowhere { retry_after_ms } => (KeyOutcome::NotRun, no_worker(retry_after_ms)),
            Sent::MayHaveRun => (KeyOutcome::MayHaveRun, unknown()),
            Sent::Answered(response) => {
                let outcome = KeyOutcome::Done {
                    status: response.status,
                    content_type: response.content_type.clone(),
                    body: Some(response.body.to_vec()),
                };
                (outcome, done(response, false))
            }
        };
        let record = OutcomeRecord {
            claim,
            revision,
            outcome: outcome.clone(),
        };
        let shared = self.shared.clone();
        self.shared
            .work
            .spawn(async move { record_outcome(&shared, record).await });
        self.end(match outcome {
            KeyOutcome::NotRun => CallEnd::NeverSent(outcome),
            outcome => CallEnd::Sent(outcome),
        });
        answer
    }

    /// What became of the call under another's claim: what is recorded, else what the claimant says.
    async fn outcome_of(&self, held: &HeldClaim) -> KeyOutcome {
        if let Some(outcome) = held.outcome.clone() {
            return outcome;
        }
        let shared = &self.shared;
        let (key, life, nonce) = (self.fingerprint, held.life, held.nonce);
        if held.claimant == shared.card.id {
            let given_up = life == shared.card.life && shared.claimant.gave_up(key, nonce);
            return match given_up || self.is_own_try(held) {
                true => KeyOutcome::NotRun,
                false => KeyOutcome::MayHaveRun,
            };
        }
        let mut not_reached = 0;
        while shared.now_ms() < self.deadline_ms && not_reached < CLAIMANT_TRIES {
            let wait = left(shared, self.deadline_ms).min(CLAIMANT_WAIT);
            let wait_ms = wait.as_millis() as u32;
            let limit = wait + ASK_CLAIMANT_SLACK;
            let asked = shared
                .peers
                .call(held.claimant, limit, |client, context| async move {
                    client.outcome(context, life, key, nonce, wait_ms).await
                });
            match asked.await {
                Ok(KeyOutcome::InProgress) => {}
                Ok(outcome) => return outcome,
                Err(_) if lock(&shared.members).life_of(held.claimant) > Some(life) => break,
                Err(PeerError::NoAnswer { .. }) => {}
                Err(PeerError::NotReached { .. } | PeerError::NotKnown(_)) => {
                    not_reached += 1;
                    tokio::time::sleep(CLAIMANT_UNREACHED_PAUSE).await;
                }
            }
        }
        KeyOutcome::MayHaveRun
    }

    /// Whether a claim was made by an earlier try of this very call, which was not sent.
    fn is_own_try(&self, held: &HeldClaim) -> bool {
        held.life == self.shared.card.life
            && self.shared.claimant.is_trying(self.fingerprint, held.nonce)
    }

    fn end(&self, end: CallEnd) {
        self.shared.claimant.end(self.fingerprint, end);
    }
}
