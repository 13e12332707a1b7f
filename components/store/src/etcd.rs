//! Client of etcd v3's JSON gateway.

use crate::keyvalue::{
    Compare, KeyValue, StoreError, Transaction, TransactionResult, Versioned, Write,
};
use crate::watch::Watch;
use crate::wire::{
    Base64, CompareRequest, DeleteRequest, KeepAliveRequest, KeepAliveResponse, KeyValueMessage,
    LeaseRequest, LeaseResponse, Number, Operation, PutRequest, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse, WatchCreate, WatchRequest,
};
use reqwest::{Client, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

const CONNECT_LIMIT: Duration = Duration::from_millis(500);
const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Client of the key-value service. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Etcd {
    http: Client,
    urls: Arc<[String]>,
    current: Arc<AtomicUsize>,
}

impl Etcd {
    /// A client that turns to the next of `urls` when one fails.
    ///
    /// # Errors
    /// The HTTP library's, where it cannot start.
    pub fn new(urls: &[String]) -> Result<Self, reqwest::Error> {
        let http = Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(Self {
            http,
            urls: urls.into(),
            current: Arc::default(),
        })
    }

    fn url(&self, path: &str) -> Result<String, StoreError> {
        let at = self.current.load(Ordering::Relaxed) % self.urls.len().max(1);
        let base = self
            .urls
            .get(at)
            .ok_or_else(|| StoreError::NotDone("no URL is set".into()))?;
        Ok(format!("{}{path}", base.trim_end_matches('/')))
    }

    async fn send<B: Serialize>(
        &self,
        path: &str,
        body: &B,
        limit: Option<Duration>,
    ) -> Result<Response, StoreError> {
        let mut request = self.http.post(self.url(path)?).json(body);
        if let Some(limit) = limit {
            request = request.timeout(limit);
        }
        let response = request.send().await.map_err(|error| {
            self.current.fetch_add(1, Ordering::Relaxed);
            match error.is_connect() {
                true => StoreError::NotDone(error.to_string()),
                false => StoreError::Unclear(error.to_string()),
            }
        })?;
        match response.status() {
            StatusCode::OK => Ok(response),
            StatusCode::TOO_MANY_REQUESTS => Err(StoreError::NotDone("too many requests".into())),
            status => {
                self.current.fetch_add(1, Ordering::Relaxed);
                Err(StoreError::Unclear(format!("status {status}")))
            }
        }
    }

    async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, StoreError> {
        let response = self.send(path, body, Some(CALL_LIMIT)).await?;
        let unclear = |error: reqwest::Error| StoreError::Unclear(error.to_string());
        response.json().await.map_err(unclear)
    }
}

impl KeyValue for Etcd {
    type Watch = Watch;

    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let request = RangeRequest {
            key: Base64::text(key),
            range_end: None,
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.kvs.into_iter().next().map(versioned))
    }

    async fn list(&self, prefix: &str) -> Result<(Vec<Versioned>, u64), StoreError> {
        let request = RangeRequest {
            key: Base64::text(prefix),
            range_end: Some(Base64::prefix_end(prefix)),
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let values = response.kvs.into_iter().map(versioned).collect();
        Ok((values, response.header.revision.0))
    }

    async fn transact(&self, transaction: &Transaction) -> Result<TransactionResult, StoreError> {
        let request = TxnRequest {
            compare: transaction.compare.iter().map(compare_request).collect(),
            success: transaction.writes.iter().map(write_request).collect(),
            failure: transaction.compare.iter().map(read_request).collect(),
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        if response.succeeded {
            let revision = response.header.revision.0;
            return Ok(TransactionResult::Done { revision });
        }
        let ranges = response
            .responses
            .into_iter()
            .filter_map(|r| r.response_range);
        let current = ranges.flat_map(|range| range.kvs).map(versioned).collect();
        Ok(TransactionResult::Conflict { current })
    }

    async fn grant_lease(&self, ttl_s: u64) -> Result<u64, StoreError> {
        let request = LeaseRequest { ttl: Number(ttl_s) };
        let response: LeaseResponse = self.call("/v3/lease/grant", &request).await?;
        Ok(response.id.0)
    }

    async fn renew_lease(&self, lease: u64) -> Result<bool, StoreError> {
        let request = KeepAliveRequest { id: Number(lease) };
        let response: KeepAliveResponse = self.call("/v3/lease/keepalive", &request).await?;
        Ok(response.result.ttl.0 > 0)
    }

    async fn watch(&self, prefix: &str, from_revision: u64) -> Result<Watch, StoreError> {
        let request = WatchRequest {
            create_request: WatchCreate {
                key: Base64::text(prefix),
                range_end: Base64::prefix_end(prefix),
                start_revision: Number(from_revision),
            },
        };
        let response = self.send("/v3/watch", &request, None).await?;
        Ok(Watch::new(response))
    }
}

fn versioned(message: KeyValueMessage) -> Versioned {
    Versioned {
        era: 0,
        key: String::from_utf8_lossy(&message.key.0).into_owned(),
        value: message.value.0,
        revision: message.mod_revision.0,
        lease: message.lease.0,
    }
}

fn compare_request(compare: &Compare) -> CompareRequest {
    CompareRequest {
        key: Base64::text(&compare.key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: Number(compare.revision),
    }
}

fn write_request(write: &Write) -> Operation {
    match write {
        Write::Put { key, value, lease } => Operation::Put(PutRequest {
            key: Base64::text(key),
            value: Base64(value.clone()),
            lease: Number(*lease),
        }),
        Write::Delete { key } => Operation::Delete(DeleteRequest {
            key: Base64::text(key),
        }),
    }
}

fn read_request(compare: &Compare) -> Operation {
    Operation::Range(RangeRequest {
        key: Base64::text(&compare.key),
        range_end: None,
    })
}
