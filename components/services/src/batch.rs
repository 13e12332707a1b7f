//! Group commit of claims: many claims go into one transaction, which counts as one call of the
//! platform's service. Two writers at once are safe, since each claim carries its own condition.

use crate::claim::{Claim, claim_key};
use std::collections::HashMap;
use store::{Compare, KeyValue, StoreError, Transaction, TransactionResult, Versioned, Write};

/// Claims in one transaction; etcd takes 128 operations.
const BATCH_MAX: usize = 100;
/// Tries of one batch before its claims are given up.
const TRIES: usize = 6;

/// A claim, or a claim's outcome, that is to be recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingClaim {
    /// Fingerprint of account and key.
    pub fingerprint: u128,
    /// The claim.
    pub claim: Claim,
    /// The revision of the claim that it replaces; 0 for a new one.
    pub replaces_revision: u64,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimWriteResult {
    /// It is recorded.
    Won {
        /// The revision of the write.
        revision: u64,
    },
    /// The key was claimed before.
    Taken {
        /// By this claim; none where the value cannot be read.
        by: Option<Claim>,
        /// The revision of that claim.
        revision: u64,
    },
    /// It is not recorded, and no write of it is under way.
    NotRecorded,
    /// It may be recorded.
    Unclear,
}

/// Records claims in batches.
#[derive(Clone, Debug)]
pub struct ClaimBatcher<K> {
    store: K,
}

impl<K: KeyValue> ClaimBatcher<K> {
    /// A batcher that writes to `store`.
    pub fn new(store: K) -> Self {
        Self { store }
    }

    /// The most claims that [`ClaimBatcher::record`] puts into one transaction.
    pub fn batch_max(&self) -> usize {
        BATCH_MAX
    }

    /// Records claims under a lease of `lease` and says what became of each, in the order given.
    /// A key that comes twice is recorded once; the later one finds it taken.
    pub async fn record(&self, pending: &[PendingClaim], lease: u64) -> Vec<ClaimWriteResult> {
        let mut verdicts: Vec<Option<ClaimWriteResult>> = vec![None; pending.len()];
        let mut doubt = false;
        for _ in 0..TRIES {
            let open = first_of_each_key(pending, &verdicts);
            if open.is_empty() {
                break;
            }
            let transaction = transaction(pending, &open, lease);
            match self.store.transact(&transaction).await {
                Ok(TransactionResult::Done { revision }) => {
                    for at in open {
                        verdicts[at] = Some(ClaimWriteResult::Won { revision });
                    }
                    doubt = false;
                }
                Ok(TransactionResult::Conflict { current }) => {
                    resolve(pending, &open, &current, &mut verdicts);
                    doubt = false;
                }
                Err(StoreError::NotDone(_) | StoreError::HistoryGone) => {}
                Err(StoreError::Unclear(_)) => doubt = true,
            }
        }
        let open = if doubt {
            ClaimWriteResult::Unclear
        } else {
            ClaimWriteResult::NotRecorded
        };
        let settle = |verdict: Option<ClaimWriteResult>| verdict.unwrap_or_else(|| open.clone());
        verdicts.into_iter().map(settle).collect()
    }
}

/// Places of the claims without a verdict, only the first of each key.
fn first_of_each_key(
    pending: &[PendingClaim],
    verdicts: &[Option<ClaimWriteResult>],
) -> Vec<usize> {
    let mut seen = HashMap::new();
    for at in 0..pending.len() {
        if verdicts[at].is_none() && seen.len() < BATCH_MAX {
            seen.entry(pending[at].fingerprint).or_insert(at);
        }
    }
    let mut open: Vec<usize> = seen.into_values().collect();
    open.sort_unstable();
    open
}

fn transaction(pending: &[PendingClaim], open: &[usize], lease: u64) -> Transaction {
    let compare = open.iter().map(|at| Compare {
        key: claim_key(pending[*at].fingerprint),
        revision: pending[*at].replaces_revision,
    });
    let writes = open.iter().map(|at| Write::Put {
        key: claim_key(pending[*at].fingerprint),
        value: pending[*at].claim.to_bytes(),
        lease,
    });
    Transaction {
        compare: compare.collect(),
        writes: writes.collect(),
    }
}

/// After a conflict: claims whose condition does not hold are taken, or were won by a write whose
/// answer was lost. The others stay open for the next try.
fn resolve(
    pending: &[PendingClaim],
    open: &[usize],
    current: &[Versioned],
    verdicts: &mut [Option<ClaimWriteResult>],
) {
    let by_key: HashMap<&str, &Versioned> = current
        .iter()
        .map(|value| (value.key.as_str(), value))
        .collect();
    for at in open {
        let item = &pending[*at];
        let found = by_key.get(claim_key(item.fingerprint).as_str()).copied();
        let revision = found.map_or(0, |value| value.revision);
        if revision == item.replaces_revision {
            continue;
        }
        let by = found.and_then(|value| Claim::from_bytes(&value.value));
        let own = by.as_ref() == Some(&item.claim);
        verdicts[*at] = Some(match own {
            true => ClaimWriteResult::Won { revision },
            false => ClaimWriteResult::Taken { by, revision },
        });
    }
}

#[cfg(test)]
#[path = "batch_tests.rs"]
mod tests;
