use super::*;
use prelude::{BoxId, BoxIncarnation};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use store::Watch;

/// Fault that the store injects into a transaction.
#[derive(Clone, Copy)]
enum Fault {
    Reject,
    LoseResponse,
}

#[derive(Default)]
struct MemoryState {
    revision: u64,
    values: BTreeMap<String, (Vec<u8>, u64)>,
    faults: VecDeque<Fault>,
    calls: usize,
}

/// In-memory store with fault injection.
#[derive(Clone, Default)]
struct MemoryStore(Arc<Mutex<MemoryState>>);

impl KeyValue for MemoryStore {
    type Watch = Watch;

    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let state = self.0.lock().unwrap();
        let found = state.values.get(key).cloned();
        Ok(found.map(|(value, revision)| Versioned {
            era: 0,
            key: key.to_owned(),
            value,
            revision,
            lease: 0,
        }))
    }

    async fn list(&self, _: &str) -> Result<(Vec<Versioned>, u64), StoreError> {
        Ok((Vec::new(), 0))
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionResult, StoreError> {
        let mut state = self.0.lock().unwrap();
        state.calls += 1;
        let fault = state.faults.pop_front();
        if matches!(fault, Some(Fault::Reject)) {
            return Err(StoreError::NotDone("refused".into()));
        }
        let revision_of = |state: &MemoryState, key: &str| state.values.get(key).map_or(0, |v| v.1);
        let conditions_met = transaction
            .compare
            .iter()
            .all(|c| revision_of(&state, &c.key) == c.revision);
        if conditions_met {
            state.revision += 1;
            let revision = state.revision;
            for write in &transaction.writes {
                if let Write::Put { key, value, .. } = write {
                    state.values.insert(key.clone(), (value.clone(), revision));
                }
            }
        }
        if matches!(fault, Some(Fault::LoseResponse)) {
            return Err(StoreError::Unclear("lost".into()));
        }
        if conditions_met {
            let revision = state.revision;
            return Ok(TransactionResult::Done { revision });
        }
        let current = transaction.compare.iter().filter_map(|compare| {
            let (value, revision) = state.values.get(&compare.key)?.clone();
            let key = compare.key.clone();
            Some(Versioned {
                era: 0,
                key,
                value,
                revision,
                lease: 0,
            })
        });
        let current = current.collect();
        Ok(TransactionResult::Conflict { current })
    }

    async fn renew_lease(&self, _: u64) -> Result<bool, StoreError> {
        Ok(true)
    }

    async fn grant_lease(&self, _: u64) -> Result<u64, StoreError> {
        Ok(1)
    }

    async fn watch(&self, _: &str, _: u64) -> Result<Watch, StoreError> {
        Err(StoreError::NotDone("no watch".into()))
    }
}

fn pending(fingerprint: u128, nonce: u64) -> PendingClaim {
    PendingClaim {
        fingerprint,
        claim: Claim {
            claimant: BoxId(1),
            life: BoxIncarnation(1),
            nonce,
            request: 9,
            outcome: None,
        },
        replaces_revision: 0,
    }
}

fn won(result: &ClaimWriteResult) -> bool {
    matches!(result, ClaimWriteResult::Won { .. })
}

#[tokio::test]
async fn records_a_batch_of_claims_in_one_transaction() {
    let store = MemoryStore::default();
    let claims: Vec<PendingClaim> = (0..50).map(|key| pending(key, 1)).collect();
    let results = ClaimBatcher::new(store.clone()).record(&claims, 1).await;
    assert!(results.iter().all(won));
    assert_eq!(store.0.lock().unwrap().calls, 1);
}

#[tokio::test]
async fn grants_a_key_to_one_claimant_only() {
    let store = MemoryStore::default();
    let batcher = ClaimBatcher::new(store);
    let first = batcher.record(&[pending(1, 1)], 1).await;
    let second = batcher.record(&[pending(1, 2), pending(2, 2)], 1).await;
    assert!(won(&first[0]) && won(&second[1]));
    assert!(matches!(&second[0], ClaimWriteResult::Taken { by: Some(by), .. } if by.nonce == 1));
}

#[tokio::test]
async fn grants_a_duplicate_key_in_a_batch_to_the_first_claim() {
    let batcher = ClaimBatcher::new(MemoryStore::default());
    let results = batcher.record(&[pending(1, 1), pending(1, 2)], 1).await;
    assert!(won(&results[0]) && !won(&results[1]));
}

#[tokio::test]
async fn recognizes_its_own_claim_after_a_lost_response() {
    let store = MemoryStore::default();
    store
        .0
        .lock()
        .unwrap()
        .faults
        .push_back(Fault::LoseResponse);
    let results = ClaimBatcher::new(store).record(&[pending(1, 1)], 1).await;
    assert!(won(&results[0]));
}

#[tokio::test]
async fn reports_not_recorded_when_the_store_rejects_every_attempt() {
    let store = MemoryStore::default();
    store
        .0
        .lock()
        .unwrap()
        .faults
        .extend([Fault::Reject; MAX_ATTEMPTS]);
    let results = ClaimBatcher::new(store).record(&[pending(1, 1)], 1).await;
    assert_eq!(results, [ClaimWriteResult::NotRecorded]);
}

#[tokio::test]
async fn reports_unclear_when_a_response_was_lost() {
    let store = MemoryStore::default();
    let faults = [
        Fault::LoseResponse,
        Fault::Reject,
        Fault::Reject,
        Fault::Reject,
    ];
    store.0.lock().unwrap().faults.extend(faults);
    store
        .0
        .lock()
        .unwrap()
        .faults
        .extend([Fault::Reject; MAX_ATTEMPTS]);
    let results = ClaimBatcher::new(store).record(&[pending(1, 1)], 1).await;
    assert_eq!(results, [ClaimWriteResult::Unclear]);
}
