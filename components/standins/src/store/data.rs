//! The data: keys with revisions, and the history of all writes.

use super::messages::{
    Base64, Compare, Header, KeyValue, Number, Operation, OperationResponse, PutResponse,
    RangeRequest, RangeResponse, TxnRequest, TxnResponse, WatchEvent,
};
use std::collections::BTreeMap;

/// The newest values and every write since the start.
#[derive(Default)]
pub(super) struct Data {
    pub revision: u64,
    values: BTreeMap<Vec<u8>, KeyValue>,
    pub history: Vec<(u64, WatchEvent)>,
}

impl Data {
    pub fn header(&self) -> Header {
        Header {
            revision: Number(self.revision),
        }
    }

    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let kvs: Vec<KeyValue> = self
            .values
            .values()
            .filter(|kv| in_range(&kv.key.0, &request.key, request.range_end.as_ref()))
            .cloned()
            .collect();
        RangeResponse {
            header: self.header(),
            count: Number(kvs.len() as u64),
            kvs,
        }
    }

    pub fn put(&mut self, key: &Base64, value: &Base64) {
        let old = self.values.get(&key.0);
        let create_revision = old.map_or(Number(self.revision), |kv| kv.create_revision);
        let version = old.map_or(1, |kv| kv.version.0 + 1);
        let kv = KeyValue {
            key: key.clone(),
            value: value.clone(),
            create_revision,
            mod_revision: Number(self.revision),
            version: Number(version),
        };
        self.values.insert(key.0.clone(), kv.clone());
        self.history
            .push((self.revision, WatchEvent { kind: None, kv }));
    }

    pub fn delete(&mut self, key: &Base64) {
        let Some(mut kv) = self.values.remove(&key.0) else {
            return;
        };
        kv.mod_revision = Number(self.revision);
        kv.value = Base64::default();
        let event = WatchEvent {
            kind: Some("DELETE"),
            kv,
        };
        self.history.push((self.revision, event));
    }

    pub fn txn(&mut self, request: &TxnRequest) -> TxnResponse {
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
        let operations = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        if operations.iter().any(is_write) {
            self.revision += 1;
        }
        let responses = operations.iter().map(|operation| self.apply(operation));
        let responses = responses.collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn apply(&mut self, operation: &Operation) -> OperationResponse {
        match operation {
            Operation::Put(put) => {
                self.put(&put.key, &put.value);
                OperationResponse::Put(PutResponse {
                    header: self.header(),
                })
            }
            Operation::Range(range) => OperationResponse::Range(self.range(range)),
            Operation::DeleteRange(delete) => {
                self.delete(&delete.key);
                OperationResponse::DeleteRange(PutResponse {
                    header: self.header(),
                })
            }
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let kv = self.values.get(&compare.key.0);
        match compare.target.as_str() {
            "MOD" => kv.map_or(0, |kv| kv.mod_revision.0) == compare.mod_revision.0,
            "CREATE" => kv.map_or(0, |kv| kv.create_revision.0) == compare.create_revision.0,
            _ => false,
        }
    }
}

pub(super) fn is_write(operation: &Operation) -> bool {
    !matches!(operation, Operation::Range(_))
}

pub(super) fn in_range(key: &[u8], start: &Base64, end: Option<&Base64>) -> bool {
    match end {
        None => key == start.0.as_slice(),
        Some(end) => key >= start.0.as_slice() && key < end.0.as_slice(),
    }
}
