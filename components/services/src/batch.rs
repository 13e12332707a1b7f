//! Group commit of claims: many claims go into one transaction, which costs one call of the
//! platform's key-value service. Concurrent writers are safe, because each claim carries its own
//! compare condition.

use crate::claim::{Claim, claim_key};
use std::collections::HashMap;
use store::{Compare, KeyValue, StoreError, Transaction, TransactionResult, Versioned, Write};

/// Maximum number of claims in one transaction; etcd accepts 128 operations.
const MAX_BATCH_CLAIMS: usize = 100;
/// Maximum number of attempts to write a batch.
const MAX_ATTEMPTS: usize = 6;

/// A new claim, or the outcome of an existing one, that waits to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingClaim {
    /// Fingerprint of service, account and key, see [`fingerprint`](crate::fingerprint).
    pub fingerprint: u128,
    /// The claim to write.
    pub claim: Claim,
    /// Revision of the claim that this one replaces; 0 for a new claim.
    pub replaces_revision: u64,
}

/// Result of writing one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimWriteResult {
    /// The claim is recorded.
    Won {
        /// Revision of the write.
        revision: u64,
    },
    /// Another claim holds the key.
    Taken {
        /// That claim; `None` if its value cannot be decoded.
        by: Option<Claim>,
        /// Revision of that claim.
        revision: u64,
    },
    /// The claim is not recorded, and no write of it is in flight.
    NotRecorded,
    /// The claim may be recorded.
    Unclear,
}

/// Writes claims in batches.
#[derive(Clone, Debug)]
pub struct ClaimBatcher<K> {
    store: K,
}

impl<K: KeyValue> ClaimBatcher<K> {
    /// Creates a batcher that writes to `store`.
    pub fn new(store: K) -> Self {
        Self { store }
    }

    /// Maximum number of claims that [`ClaimBatcher::record`] puts into one transaction.
    pub fn batch_max(&self) -> usize {
        MAX_BATCH_CLAIMS
    }

    /// Writes claims under the lease with the id `lease` and returns the result of each, in the
    /// order given. If a key occurs twice, the first claim is written and the second finds the key
    /// taken.
    pub async fn record(&self, pending: &[PendingClaim], lease: u64) -> Vec<ClaimWriteResult> {
        let mut results: Vec<Option<ClaimWriteResult>> = vec![None; pending.len()];
        let mut unclear = false;
        for _ in 0..MAX_ATTEMPTS {
            let unresolved = first_of_each_key(pending, &results);
            if unresolved.is_empty() {
                break;
            }
            let transaction = transaction(pending, &unresolved, lease);
            match self.store.transact(&transaction).await {
                Ok(TransactionResult::Done { revision }) => {
                    for index in unresolved {
                        results[index] = Some(ClaimWriteResult::Won { revision });
                    }
                    unclear = false;
                }
                Ok(TransactionResult::Conflict { current }) => {
                    resolve(pending, &unresolved, &current, &mut results);
                    unclear = false;
                }
                Err(StoreError::NotDone(_) | StoreError::HistoryGone) => {}
                Err(StoreError::Unclear(_)) => unclear = true,
            }
        }
        let default = if unclear {
            ClaimWriteResult::Unclear
        } else {
            ClaimWriteResult::NotRecorded
        };
        let or_default =
            |result: Option<ClaimWriteResult>| result.unwrap_or_else(|| default.clone());
        results.into_iter().map(or_default).collect()
    }
}

/// Returns the indexes of the claims without a result, only the first claim of each key.
fn first_of_each_key(pending: &[PendingClaim], results: &[Option<ClaimWriteResult>]) -> Vec<usize> {
    let mut seen = HashMap::new();
    for index in 0..pending.len() {
        if results[index].is_none() && seen.len() < MAX_BATCH_CLAIMS {
            seen.entry(pending[index].fingerprint).or_insert(index);
        }
    }
    let mut unresolved: Vec<usize> = seen.into_values().collect();
    unresolved.sort_unstable();
    unresolved
}

fn transaction(pending: &[PendingClaim], unresolved: &[usize], lease: u64) -> Transaction {
    let compare = unresolved.iter().map(|index| Compare {
        key: claim_key(pending[*index].fingerprint),
        revision: pending[*index].replaces_revision,
    });
    let writes = unresolved.iter().map(|index| Write::Put {
        key: claim_key(pending[*index].fingerprint),
        value: pending[*index].claim.to_bytes(),
        lease,
    });
    Transaction {
        compare: compare.collect(),
        writes: writes.collect(),
    }
}

/// Sets the results after a conflict. A claim whose compare condition fails is taken, or it was
/// recorded by an earlier write whose response was lost. The others stay unresolved for the next
/// attempt.
fn resolve(
    pending: &[PendingClaim],
    unresolved: &[usize],
    current: &[Versioned],
    results: &mut [Option<ClaimWriteResult>],
) {
    let by_key: HashMap<&str, &Versioned> = current
        .iter()
        .map(|value| (value.key.as_str(), value))
        .collect();
    for index in unresolved {
        let pending_claim = &pending[*index];
        let found = by_key
            .get(claim_key(pending_claim.fingerprint).as_str())
            .copied();
        let revision = found.map_or(0, |value| value.revision);
        if revision == pending_claim.replaces_revision {
            continue;
        }
        let by = found.and_then(|value| Claim::from_bytes(&value.value));
        let own = by.as_ref() == Some(&pending_claim.claim);
        results[*index] = Some(match own {
            true => ClaimWriteResult::Won { revision },
            false => ClaimWriteResult::Taken { by, revision },
        });
    }
}

#[cfg(test)]
#[path = "batch_tests.rs"]
mod tests;
