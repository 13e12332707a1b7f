//! Calls of plain services. One that may not be repeated is sent only under a claim, and never again
//! once a byte of it may have gone out.

use crate::claimant::{CallEnd, Found, settled};
use crate::claims::{claim, record_outcome};
use crate::shared::{Node, Shared, lock};
use callers::{ServiceAnswer, ServiceCall};
use peers::{ClaimRequest, ClaimResult, KeyOutcome, OutcomeRecord, PeerError};
use policy::EngineState;
use prelude::{AccountId, BoxId, BoxIncarnation, Refusal, RefusalReason, ServiceId, TargetId};
use rand::Rng;
use services::{CallError, KeyAge, ServiceRequest, ServiceResponse, fingerprint, key_age};
use settings::{ResolvedAccount, ResolvedService};
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Workers that are tried when one cannot be reached.
const WORKERS_TRIED: usize = 3;
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

impl Node {
    pub(crate) async fn call_service(
        &self,
        account: AccountId,
        call: ServiceCall,
    ) -> ServiceAnswer {
        let shared = &self.0;
        let settings = shared.settings();
        let Some(account) = shared.account(account) else {
            return ServiceAnswer::Invalid("the account was removed".into());
        };
        let Some(service) = settings.services.get(&ServiceId::from_name(&call.service)) else {
            return ServiceAnswer::NoService;
        };
        let deadline_ms = shared.now_ms() + account.call_deadline_ms;
        if service.repeatable {
            return call_repeatable(shared, service, call, deadline_ms).await;
        }
        let Some(key) = call.key.clone() else {
            return ServiceAnswer::Invalid(
                "calls of this service may not be repeated: send an `Idempotency-Key`".into(),
            );
        };
        if key_age(&key, shared.clock.unix_ms(), service.key_retention_ms) == KeyAge::Expired {
            return refused(RefusalReason::KeyExpired, None);
        }
        call_once(shared, &account, service, &key, call, deadline_ms).await
    }
}

fn refused(reason: RefusalReason, retry_after_ms: Option<u64>) -> ServiceAnswer {
    metrics::counter!("shuntpier_refused_total", "reason" => reason.as_str()).increment(1);
    ServiceAnswer::Refused(Refusal {
        reason,
        retry_after_ms,
    })
}

fn unknown() -> ServiceAnswer {
    metrics::counter!("shuntpier_unknown_total").increment(1);
    ServiceAnswer::Unknown(
        "the call may have run and will not be run again under this key; ask the service itself"
            .into(),
    )
}

fn request_of(call: &ServiceCall) -> ServiceRequest {
    ServiceRequest {
        method: call.method.clone(),
        path: call.path.clone(),
        key: call.key.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
    }
}

fn left(shared: &Shared, deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(shared.now_ms()))
}

/// The better of two live workers drawn at random, by this box's own calls.
fn choose_worker(
    shared: &Shared,
    service: &ResolvedService,
    avoid: &[TargetId],
) -> Option<TargetId> {
    let settings = shared.settings();
    let targets = lock(&shared.targets);
    let takes_work = |id: &&TargetId| {
        let leaves = settings.targets.get(id).is_none_or(|target| target.leave);
        !leaves && !avoid.contains(id) && targets.state(**id) == EngineState::Live
    };
    let live: Vec<TargetId> = service.targets.iter().filter(takes_work).copied().collect();
    if live.is_empty() {
        return None;
    }
    let mut rng = rand::rng();
    let first = live[rng.random_range(0..live.len())];
    let second = live[rng.random_range(0..live.len())];
    let fewer = targets.own_open(second) < targets.own_open(first);
    Some(if fewer { second } else { first })
}

/// Counts a call at a worker until it is dropped.
struct OpenCall<'a> {
    shared: &'a Shared,
    target: TargetId,
}

impl<'a> OpenCall<'a> {
    fn new(shared: &'a Shared, target: TargetId) -> Self {
        lock(&shared.targets).opened(target);
        Self { shared, target }
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        lock(&self.shared.targets).closed(self.target);
    }
}

/// How a call went that was sent at most once.
enum Sent {
    Answered(ServiceResponse),
    Nowhere,
    MayHaveRun,
}

/// Sends a call to one worker after the other, until one may have got a byte of it.
async fn send_once(
    shared: &Shared,
    service: &ResolvedService,
    request: &ServiceRequest,
    deadline_ms: u64,
) -> Sent {
    let mut avoid = Vec::new();
    for _ in 0..WORKERS_TRIED {
        let Some(id) = choose_worker(shared, service, &avoid) else {
            return Sent::Nowhere;
        };
        let Some(target) = shared.target(id) else {
            return Sent::Nowhere;
        };
        let limit = left(shared, deadline_ms);
        if limit.is_zero() {
            return Sent::Nowhere;
        }
        let _open = OpenCall::new(shared, id);
        let sent = shared
            .services
            .call(target.address, request, service.repeatable, limit)
            .await;
        match sent {
            Ok(response) => return Sent::Answered(response),
            Err(CallError::NotSent { .. }) => avoid.push(id),
            Err(error @ CallError::MayHaveRun { .. }) => {
                slog::warn!(shared.log, "a call may have run";
                    "target" => &target.name, "error" => %error);
                return Sent::MayHaveRun;
            }
        }
    }
    Sent::Nowhere
}

async fn call_repeatable(
    shared: &Arc<Shared>,
    service: &ResolvedService,
    call: ServiceCall,
    deadline_ms: u64,
) -> ServiceAnswer {
    let request = request_of(&call);
    for _ in 0..WORKERS_TRIED {
        match send_once(shared, service, &request, deadline_ms).await {
            Sent::Answered(response) => return done(response, false),
            Sent::Nowhere => return refused(RefusalReason::NoTarget, Some(1000)),
            Sent::MayHaveRun => {}
        }
    }
    unknown()
}

fn done(response: ServiceResponse, replayed: bool) -> ServiceAnswer {
    ServiceAnswer::Done {
        status: response.status,
        content_type: response.content_type,
        body: response.body,
        replayed,
    }
}

/// The answer to a request whose key is known.
fn answer_of(outcome: KeyOutcome) -> ServiceAnswer {
    match outcome {
        KeyOutcome::Done {
            status,
            content_type,
            body: Some(body),
        } => ServiceAnswer::Done {
            status,
            content_type,
            body: body.into(),
            replayed: true,
        },
        KeyOutcome::Done {
            status, body: None, ..
        } => ServiceAnswer::Unknown(format!(
            "the call ran, with status {status}; its answer was too long to be kept"
        )),
        KeyOutcome::NotRun => refused(RefusalReason::ClaimUnavailable, Some(1000)),
        KeyOutcome::MayHaveRun | KeyOutcome::NotKnown => unknown(),
        KeyOutcome::InProgress => ServiceAnswer::Unknown(
            "a call with this key is still in progress; ask again with the same key".into(),
        ),
    }
}

async fn call_once(
    shared: &Arc<Shared>,
    account: &ResolvedAccount,
    service: &ResolvedService,
    key: &str,
    call: ServiceCall,
    deadline_ms: u64,
) -> ServiceAnswer {
    let fingerprint = fingerprint(service.id, account.id, key);
    let request = request_fingerprint(&call);
    match shared.claimant.begin(fingerprint, request) {
        Found::Other => return ServiceAnswer::KeyReused,
        Found::Same(outcome) => {
            return answer_of(settled(outcome, left(shared, deadline_ms)).await);
        }
        Found::Begun => {}
    }
    // The call goes on when its caller goes away, so that its outcome is known.
    let work = OnceCall {
        shared: shared.clone(),
        service: service.clone(),
        fingerprint,
        request,
        call,
        deadline_ms,
    };
    let running = shared.work.spawn(work.run());
    running.await.unwrap_or_else(|_| unknown())
}

fn request_fingerprint(call: &ServiceCall) -> u64 {
    let mut bytes = Vec::with_capacity(call.body.len() + call.path.len() + 16);
    bytes.extend_from_slice(call.method.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(call.path.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(&call.body);
    xxh3_64(&bytes)
}

/// A call that this box began and that may run at most once.
struct OnceCall {
    shared: Arc<Shared>,
    service: ResolvedService,
    fingerprint: u128,
    request: u64,
    call: ServiceCall,
    deadline_ms: u64,
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
    async fn run(self) -> ServiceAnswer {
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
        let sent = send_once(&self.shared, &self.service, &request, self.deadline_ms).await;
        let (outcome, answer) = match sent {
            Sent::Nowhere => (
                KeyOutcome::NotRun,
                refused(RefusalReason::NoTarget, Some(1000)),
            ),
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
