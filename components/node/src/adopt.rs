//! Takes up a stream that another box, or this one, carried before.

use crate::chat::{Started, desk_of, open};
use crate::permits::adopt_open;
use crate::pump::Run;
use crate::shared::{Node, Shared, lock};
use crate::timing::Timing;
use callers::{ChatAnswer, StreamAddress, StreamFailure};
use engines::{Endpoint, EngineStream, ResumeError};
use peers::AcquireRequest;
use prelude::{AccountId, Avoided, BoxId, PoolId, Refusal, RefusalReason, RunState};
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

const RESUMES_MAX: u32 = 3;
const RESUME_PAUSE: Duration = Duration::from_millis(100);
const TELL_LIMIT: Duration = Duration::from_millis(500);
/// Tries to tell the box that carried the stream before.
const TELLS_MAX: u32 = 3;
/// Prompt of a stream whose request this box never saw, for the ledger.
const PROMPT_TOKENS_GUESSED: u32 = 256;

impl Node {
    pub(crate) async fn resume_chat(&self, account: AccountId, event_id: &str) -> ChatAnswer {
        let shared = &self.0;
        let Some((address, next_index)) = shared.seal.open(event_id) else {
            return ChatAnswer::UnknownStream;
        };
        if address.account != account {
            return ChatAnswer::UnknownStream;
        }
        let Some(account) = shared.account(account) else {
            return ChatAnswer::UnknownStream;
        };
        let Some(guard) = shared.open_stream(&account) else {
            return ChatAnswer::Refused(Refusal {
                reason: RefusalReason::TooManyStreams,
                retry_after_ms: Some(1000),
            });
        };
        let endpoint = Endpoint {
            key: address.target,
            address: address.address,
        };
        let generation = Uuid::from_u128(address.generation);
        // The former box must know before its grace ends, so it is told at once.
        tell_former(shared, &address);
        let Some(stream) = resume(shared, endpoint, generation, next_index).await else {
            return ChatAnswer::Lost(StreamFailure {
                run: RunState::Incomplete,
                message: "the engine no longer has this generation".into(),
                delivered: next_index,
                retry_after_ms: Some(0),
            });
        };
        let pool = pool_of_target(shared, &address);
        let desk = desk_of(shared, pool);
        let request = AcquireRequest {
            pool,
            permit: shared.next_permit(),
            account: account.id,
            kind: 0,
            prompt_tokens: PROMPT_TOKENS_GUESSED,
            max_tokens: account.max_output_tokens,
            rank: account.rank(),
            waited_ms: 0,
            pause_goal_ms: None,
            wait_left_ms: 0,
            caller_left_ms: 0,
            prefix: None,
            told_tokens: None,
            avoid: Avoided::default(),
        };
        let permit = adopt_open(&desk, request, endpoint.key, next_index as u32);
        let run = Run {
            shared: shared.clone(),
            desk,
            wanted: None,
            timing: Timing::new(account.id, &account.objectives),
            account: Arc::new(account),
            started: Started {
                began_ms: self.0.now_ms(),
                permit,
                endpoint,
                generation,
                stream,
            },
            delivered: next_index,
        };
        metrics::counter!("shuntpier_takeovers_total").increment(1);
        ChatAnswer::Stream(open(run, guard))
    }
}

/// The pool in which a stream's engine is.
fn pool_of_target(shared: &Shared, address: &StreamAddress) -> PoolId {
    let settings = shared.settings();
    let pool = |shard| PoolId {
        model: address.model,
        region: shared.region,
        shard,
    };
    let holds = |pool: &PoolId| {
        let engines = settings.engines_of(*pool);
        engines.iter().any(|engine| engine.id == address.target.id)
    };
    let mut pools = (0..settings.shards_of(address.model)).map(pool);
    pools.find(holds).unwrap_or(pool(0))
}

async fn resume(
    shared: &Shared,
    endpoint: Endpoint,
    generation: Uuid,
    next_index: u64,
) -> Option<EngineStream> {
    let name = generation.simple().to_string();
    for attempt in 0..RESUMES_MAX {
        match shared.engines.resume(endpoint, &name, next_index).await {
            Ok(stream) => return Some(stream),
            Err(ResumeError::Unknown) => return None,
            Err(ResumeError::NotReached(_)) if lock(&shared.targets).is_gone(endpoint.key) => {
                return None;
            }
            Err(ResumeError::NotReached(_)) => {
                tokio::time::sleep(RESUME_PAUSE * (attempt + 1)).await;
            }
        }
    }
    None
}

fn tell_former(shared: &Arc<Shared>, address: &StreamAddress) {
    let (former, generation) = (address.entry, address.generation);
    let shared = shared.clone();
    tokio::spawn(async move {
        for _ in 0..TELLS_MAX {
            if tell(&shared, former, generation).await {
                return;
            }
        }
    });
}

async fn tell(shared: &Arc<Shared>, former: BoxId, generation: u128) -> bool {
    if former == shared.card.id {
        shared.taken_over.add(generation, shared.now_ms());
        return true;
    }
    let call = shared
        .peers
        .call(former, TELL_LIMIT, |client, context| async move {
            client.taken_over(context, generation).await
        });
    call.await.is_ok()
}
