//! What is asked of the key-value service.

use crate::watch::WatchEvent;
use prelude::Version;
use std::future::Future;
use thiserror::Error;

/// A value with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The service's era in which it was read; 0 where the service tells none.
    pub era: u32,
    /// Revision of its last write.
    pub revision: u64,
    /// The lease with which it ends; 0 where there is none, or where the service does not say.
    pub lease: u64,
}

impl Versioned {
    /// When it was last written.
    pub fn version(&self) -> Version {
        Version::new(self.era, self.revision)
    }
}

/// A condition: the key was last written at `revision`; 0 for a key that does not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease with which it ends; 0 for none.
        lease: u64,
    },
    /// Removes a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// Writes that take effect together if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionResult {
    /// It took effect at this revision.
    Done {
        /// The revision.
        revision: u64,
    },
    /// A condition did not hold. These are the values of the compared keys.
    Conflict {
        /// The values; a key that does not exist is left out.
        current: Vec<Versioned>,
    },
}

/// Why the service gave no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// The service was not reached, or said that it did nothing.
    #[error("the key-value service did nothing: {0}")]
    NotDone(String),
    /// No clear answer came: a write may have taken effect.
    #[error("the key-value service gave no clear answer: {0}")]
    Unclear(String),
    /// The writes that a watch was to begin with are forgotten: everything must be read anew.
    #[error("the key-value service has forgotten its history")]
    HistoryGone,
}

/// An open watch.
pub trait WatchStream: Send {
    /// Waits for the next writes. The list may be empty.
    ///
    /// # Errors
    /// [`StoreError`], where the watch ended. What it missed must be read.
    fn next(&mut self) -> impl Future<Output = Result<Vec<WatchEvent>, StoreError>> + Send;
}

/// The key-value service.
pub trait KeyValue: Clone + Send + Sync + 'static {
    /// Its watches.
    type Watch: WatchStream;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Reads all keys that begin with `prefix`, and the service's revision at that time.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Versioned>, u64), StoreError>> + Send;

    /// Runs a transaction.
    fn transact(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<TransactionResult, StoreError>> + Send;

    /// Grants a lease of `ttl_s` seconds.
    fn grant_lease(&self, ttl_s: u64) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Renews a lease. False where it is over.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Watches all keys that begin with `prefix`, from a revision on.
    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}
