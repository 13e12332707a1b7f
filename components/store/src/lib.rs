//! What boxes keep outside themselves: the key-value service, of which etcd v3's JSON gateway is one form,
//! and the box list, through Prometheus' HTTP service-discovery JSON.

mod boxes;
mod budget;
mod etcd;
mod keyvalue;
mod settings;
mod watch;
mod wire;

pub use boxes::{BoxListClient, BoxListError, ListedBox, ListedState, ListedTarget, Listing};
pub use budget::CallBudget;
pub use etcd::Etcd;
pub use keyvalue::{
    Compare, KeyValue, StoreError, Transaction, TransactionResult, Versioned, WatchStream, Write,
};
pub use settings::{
    ApplyError, ApplyOutcome, BranchText, HistoryEntry, SETTINGS_PREFIX, apply_branch,
    branch_partner, read_branches, read_history,
};
pub use watch::{Watch, WatchEvent};
