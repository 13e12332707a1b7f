//! The platform's metadata store, as PROTOCOL.md describes it.

use crate::base::{base64, listen, ms, unbase64, Json, Message, Record, Wire};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    next_lease: u64,
    leases: HashMap<u64, (Instant, Duration)>,
}

/// One channel to the store.
struct StoreChannel {
    peer: String,
    /// Nothing that comes is answered any more; the channel stays open.
    is_silent: AtomicBool,
    /// The call that it carries, if any, and when bytes last passed.
    call: Mutex<(Option<String>, Instant)>,
    is_open: AtomicBool,
}

#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
    channels: Arc<Mutex<Vec<Arc<StoreChannel>>>>,
}

impl Data {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item {
            value,
            revision: self.revision,
            made,
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.history.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.into(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"private_key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        base64(&item.value),
        item.revision,
        item.made,
        item.lease
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self {
            data: Arc::default(),
            channels: Arc::default(),
        };
        store.data.0.lock().unwrap().revision = 100;
        let serving = store.clone();
        listen(address, move |wire| serving.serve(wire))?;
        Ok(store)
    }

    /// A write of the operator or of a worker.
    pub fn put(&self, key: &str, text: &str) {
        self.data
            .0
            .lock()
            .unwrap()
            .put(key, text.as_bytes().to_vec(), 0);
        self.data.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.data.0.lock().unwrap().remove(key);
        self.data.1.notify_all();
    }

    /// From now on the open channels over which nothing has passed for `quiet` say nothing more, and stay open. The other
    /// ones and new ones work.
    pub fn silence(&self, record: &Record, quiet: Duration) -> usize {
        let mut count = 0;
        for channel in self.channels.lock().unwrap().iter() {
            let call = channel.call.lock().unwrap();
            if channel.is_open.load(Ordering::SeqCst) && call.1.elapsed() >= quiet {
                channel.is_silent.store(true, Ordering::SeqCst);
                let carried = call.0.as_deref().unwrap_or("no call on it");
                record.line(&format!(
                    "store: channel from {} goes silent ({carried})",
                    channel.peer
                ));
                count += 1;
            }
        }
        count
    }

    fn serve(&self, mut wire: Wire) {
        let channel = Arc::new(StoreChannel {
            peer: wire
                .io
                .peer_addr()
                .map(|a| a.to_string())
                .unwrap_or_default(),
            is_silent: AtomicBool::new(false),
            call: Mutex::new((None, Instant::now())),
            is_open: AtomicBool::new(true),
        });
        self.channels.lock().unwrap().push(channel.clone());
        while let Ok(Some(request)) = wire.message() {
            *channel.call.lock().unwrap() = (Some(request.target().to_owned()), Instant::now());
            let (status, body) = self.answer(&request);
            sleep(ms(2));
            let mut call = channel.call.lock().unwrap();
            while channel.is_silent.load(Ordering::SeqCst) {
                drop(call);
                if wire.is_closed() {
                    channel.is_open.store(false, Ordering::SeqCst);
                    return;
                }
                sleep(ms(20));
                call = channel.call.lock().unwrap();
            }
            let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            *call = (None, Instant::now());
            if wire.write(head.as_bytes()).is_err() {
                break;
            }
        }
        channel.is_open.store(false, Ordering::SeqCst);
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.path().to_owned();
        let lease = || {
            path.rsplit('/')
                .next()
                .and_then(|id| id.parse::<u64>().ok())
                .unwrap_or(0)
        };
        match (request.method(), path.as_str()) {
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-key") => self.key(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => {
                let ttl_ms =
                    Json::parse(&request.body).map_or(1000, |body| body.get("ttl_ms").number());
                let mut data = self.data.0.lock().unwrap();
                data.next_lease += 1;
                let id = 70_000 + data.next_lease;
                data.leases
                    .insert(id, (Instant::now() + ms(ttl_ms), ms(ttl_ms)));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let mut data = self.data.0.lock().unwrap();
                data.expire();
                match data.leases.get_mut(&lease()) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                self.data.0.lock().unwrap().end_lease(lease());
                self.data.1.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("after_revision").unwrap_or_default();
        let mut data = self.data.0.lock().unwrap();
        data.expire();
        let found = data
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
        (
            200,
            format!(
                "{{\"items\":[{}],\"more\":false,\"at\":{}}}",
                items.join(","),
                data.revision
            ),
        )
    }

    fn key(&self, request: &Message) -> (u16, String) {
        let key = request.query("private_key").unwrap_or_default();
        let mut data = self.data.0.lock().unwrap();
        data.expire();
        match data.items.get(&key) {
            Some(item) => {
                let text = item_json(&key, item);
                (
                    200,
                    format!("{},\"at\":{}}}", &text[..text.len() - 1], data.revision),
                )
            }
            None => (404, format!("{{\"at\":{}}}", data.revision)),
        }
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after: u64 = request
            .query("after_revision")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let wait_ms: u64 = request
            .query("wait_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + ms(wait_ms.min(30_000));
        let mut data = self.data.0.lock().unwrap();
        loop {
            data.expire();
            let events: Vec<String> = data
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        "{{\"private_key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"
                    ),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                return (
                    200,
                    format!(
                        "{{\"events\":[{}],\"at\":{}}}",
                        events.join(","),
                        data.revision
                    ),
                );
            }
            data = self.data.1.wait_timeout(data, ms(100)).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".into());
        };
        let mut data = self.data.0.lock().unwrap();
        data.expire();
        let expected = body.get("expected_revision").list();
        let revision = |data: &Data, key: &str| data.items.get(key).map_or(0, |item| item.revision);
        if expected.iter().any(|row| {
            revision(&data, row.get("private_key").text()) != row.get("revision").number()
        }) {
            let items: Vec<String> = expected
                .iter()
                .map(|row| {
                    let key = row.get("private_key").text();
                    data.items.get(key).map_or(
                        format!("{{\"private_key\":\"{key}\",\"revision\":0}}"),
                        |item| item_json(key, item),
                    )
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = body.get("put").list();
        if puts.iter().any(|row| {
            row.get("lease").number() != 0 && !data.leases.contains_key(&row.get("lease").number())
        }) {
            return (404, "{}".into());
        }
        for row in puts {
            data.put(
                row.get("private_key").text(),
                unbase64(row.get("value").text()),
                row.get("lease").number(),
            );
        }
        for key in body.get("remove").list() {
            data.remove(key.text());
        }
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }
}
