use super::*;
use prelude::{BoxId, BoxIncarnation};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use store::Watch;

/// What the store shall do with the next transactions.
#[derive(Clone, Copy)]
enum Fault {
    Refuse,
    LoseAnswer,
}

#[derive(Default)]
struct Values {
    revision: u64,
    values: BTreeMap<String, (Vec<u8>, u64)>,
    faults: VecDeque<Fault>,
    calls: usize,
}

/// A store in memory.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Values>>);

impl KeyValue for Memory {
    type Watch = Watch;

    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let held = self.0.lock().unwrap();
        let found = held.values.get(key).cloned();
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
        let mut held = self.0.lock().unwrap();
        held.calls += 1;
        let fault = held.faults.pop_front();
        if matches!(fault, Some(Fault::Refuse)) {
            return Err(StoreError::NotDone("refused".into()));
        }
        let revision_of = |held: &Values, key: &str| held.values.get(key).map_or(0, |v| v.1);
        let holds = transaction
            .compare
            .iter()
            .all(|c| revision_of(&held, &c.key) == c.revision);
        if holds {
            held.revision += 1;
            let revision = held.revision;
            for write in &transaction.writes {
                if let Write::Put { key, value, .. } = write {
                    held.values.insert(key.clone(), (value.clone(), revision));
                }
            }
        }
        if matches!(fault, Some(Fault::LoseAnswer)) {
            return Err(StoreError::Unclear("lost".into()));
        }
        if holds {
            let revision = held.revision;
            return Ok(TransactionResult::Done { revision });
        }
        let current = transaction.compare.iter().filter_map(|compare| {
            let (value, revision) = held.values.get(&compare.key)?.clone();
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

fn won(verdict: &ClaimWriteResult) -> bool {
    matches!(verdict, ClaimWriteResult::Won { .. })
}

#[tokio::test]
async fn records_many_claims_in_one_call() {
    let store = Memory::default();
    let many: Vec<PendingClaim> = (0..50).map(|key| pending(key, 1)).collect();
    let verdicts = ClaimBatcher::new(store.clone()).record(&many, 1).await;
    assert!(verdicts.iter().all(won));
    assert_eq!(store.0.lock().unwrap().calls, 1);
}

#[tokio::test]
async fn gives_a_key_to_one_claimant_only() {
    let store = Memory::default();
    let batcher = ClaimBatcher::new(store);
    let first = batcher.record(&[pending(1, 1)], 1).await;
    let second = batcher.record(&[pending(1, 2), pending(2, 2)], 1).await;
    assert!(won(&first[0]) && won(&second[1]));
    assert!(matches!(&second[0], ClaimWriteResult::Taken { by: Some(by), .. } if by.nonce == 1));
}

#[tokio::test]
async fn gives_a_key_that_comes_twice_in_a_batch_to_the_first() {
    let batcher = ClaimBatcher::new(Memory::default());
    let verdicts = batcher.record(&[pending(1, 1), pending(1, 2)], 1).await;
    assert!(won(&verdicts[0]) && !won(&verdicts[1]));
}

#[tokio::test]
async fn finds_its_own_claim_after_a_lost_answer() {
    let store = Memory::default();
    store.0.lock().unwrap().faults.push_back(Fault::LoseAnswer);
    let verdicts = ClaimBatcher::new(store).record(&[pending(1, 1)], 1).await;
    assert!(won(&verdicts[0]));
}

#[tokio::test]
async fn says_when_nothing_was_recorded() {
    let store = Memory::default();
    store
        .0
        .lock()
        .unwrap()
        .faults
        .extend([Fault::Refuse; TRIES]);
    let verdicts = ClaimBatcher::new(store).record(&[pending(1, 1)], 1).await;
    assert_eq!(verdicts, [ClaimWriteResult::NotRecorded]);
}

#[tokio::test]
async fn says_when_it_may_have_been_recorded() {
    let store = Memory::default();
    let faults = [
        Fault::LoseAnswer,
        Fault::Refuse,
        Fault::Refuse,
        Fault::Refuse,
    ];
    store.0.lock().unwrap().faults.extend(faults);
    store
        .0
        .lock()
        .unwrap()
        .faults
        .extend([Fault::Refuse; TRIES]);
    let verdicts = ClaimBatcher::new(store).record(&[pending(1, 1)], 1).await;
    assert_eq!(verdicts, [ClaimWriteResult::Unclear]);
}
