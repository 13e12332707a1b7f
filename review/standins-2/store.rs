//! The platform's store, as PROTOCOL.md describes it. Each box has an address of its own there.

use crate::json::{Json, base64, quote};
use crate::wire::{Message, answer, read_message};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Items on a page.
const PAGE_ITEMS: usize = 500;
/// Time that the store takes for an answer.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(Instant, u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// What a stale read of one page gives: data of this long ago. The first argument is the number of the caller's address.
pub type StaleAge = Arc<dyn Fn(usize, &Message) -> Duration + Send + Sync>;

/// One machine's path to the store.
#[derive(Default)]
struct Path {
    is_cut: bool,
    channels: Vec<TcpStream>,
    watched: Option<Instant>,
}

#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
    stale_age: StaleAge,
    paths: Arc<Mutex<BTreeMap<usize, Path>>>,
    /// Lists whose prefix is slow to be read, and by how much.
    delays: Arc<Mutex<BTreeMap<String, Duration>>>,
}

impl Data {
    /// Does one transaction: all of it is one change, with one revision. Its events come in the order of their keys.
    fn write(&mut self, puts: Vec<(String, String, u64)>, removes: Vec<String>) {
        self.revision += 1;
        let puts = puts
            .into_iter()
            .map(|(key, value, lease)| (key, Some((value, lease))));
        let removes = removes.into_iter().map(|key| (key, None));
        let mut changes: Vec<_> = puts.chain(removes).collect();
        changes.sort();
        for (key, change) in changes {
            match change {
                Some((value, lease)) => self.put(&key, value, lease),
                None => self.remove(&key),
            }
        }
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |item| item.made);
        let item = Item {
            value,
            revision: self.revision,
            made,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((Instant::now(), self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history
                .push((Instant::now(), self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until < now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.write(Vec::new(), keys);
        }
    }

    /// The items and the revision of some time ago.
    fn as_of(&self, age: Duration) -> (BTreeMap<String, Item>, u64) {
        if age.is_zero() {
            return (self.items.clone(), self.revision);
        }
        let until = Instant::now() - age;
        let mut items = BTreeMap::new();
        let mut revision = 0;
        for (at, number, key, item) in &self.history {
            if *at > until {
                break;
            }
            revision = *number;
            match item {
                Some(item) => items.insert(key.clone(), item.clone()),
                None => items.remove(key),
            };
        }
        (items, revision)
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"private_key\":{},\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.made,
        item.lease
    )
}

impl Store {
    pub fn new(stale_age: StaleAge) -> Self {
        Self {
            data: Arc::new((Mutex::new(Data::default()), Condvar::new())),
            stale_age,
            paths: Arc::default(),
            delays: Arc::default(),
        }
    }

    /// Answers to lists of a prefix come so much later from now on; no later than usual if it is zero.
    pub fn delay(&self, prefix: &str, by: Duration) {
        self.delays.lock().unwrap().insert(prefix.into(), by);
    }

    /// Cuts a machine from the store, with a reset of its channels, or ends the cut.
    pub fn cut(&self, caller: usize, is_cut: bool) {
        let mut paths = self.paths.lock().unwrap();
        let path = paths.entry(caller).or_default();
        path.is_cut = is_cut;
        for channel in path.channels.drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
    }

    /// The machines that have watched the workers lately.
    pub fn watchers(&self, within: Duration) -> Vec<usize> {
        let paths = self.paths.lock().unwrap();
        let watched = |path: &Path| path.watched.is_some_and(|at| at.elapsed() < within);
        let watching = paths.iter().filter(|(_, path)| watched(path));
        watching.map(|(caller, _)| *caller).collect()
    }

    /// Writes as the operator or a worker does; gives the revision.
    pub fn put(&self, key: &str, text: &str) -> u64 {
        self.write(&[(key, text)], &[])
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.write(&[], &[key])
    }

    /// One transaction of the operator or a worker; gives its revision.
    pub fn write(&self, puts: &[(&str, &str)], removes: &[&str]) -> u64 {
        let puts = puts
            .iter()
            .map(|(key, text)| ((*key).to_owned(), base64(text.as_bytes()), 0));
        let removes = removes.iter().map(|key| (*key).to_owned());
        let mut data = self.data.0.lock().unwrap();
        data.write(puts.collect(), removes.collect());
        self.data.1.notify_all();
        data.revision
    }

    /// Serves at a free address.
    pub fn serve(&self, caller: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                {
                    let mut paths = store.paths.lock().unwrap();
                    let path = paths.entry(caller).or_default();
                    if path.is_cut {
                        continue;
                    }
                    path.channels.extend(stream.try_clone());
                }
                let store = store.clone();
                thread::spawn(move || store.serve_channel(caller, stream));
            }
        });
        address
    }

    fn serve_channel(&self, caller: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false) {
            thread::sleep(ANSWER);
            let prefix = request.query("path_prefix").unwrap_or_default();
            let delay = self.delays.lock().unwrap().get(&prefix).copied();
            thread::sleep(delay.unwrap_or_default());
            if request.path() == "/v1/kv-watch" && prefix == "servers/" {
                self.paths
                    .lock()
                    .unwrap()
                    .entry(caller)
                    .or_default()
                    .watched = Some(Instant::now());
            }
            let (status, body) = self.execute(caller, &request);
            let fields = "Content-Type: application/json\r\n";
            if !answer(reader.get_mut(), status, fields, body.as_bytes()) {
                return;
            }
        }
    }

    fn execute(&self, caller: usize, request: &Message) -> (u16, String) {
        let path = request.path().to_owned();
        let number = || {
            path.rsplit('/')
                .next()
                .and_then(|n| n.parse().ok())
                .unwrap_or(0)
        };
        self.data.0.lock().unwrap().expire();
        match (request.method(), path.as_str()) {
            ("GET", "/v1/kv-key") => {
                let key = request.query("private_key").unwrap_or_default();
                let (items, at) = self.read(caller, request);
                match items.get(&key) {
                    Some(item) => (200, item_text(&key, item)),
                    None => (404, format!("{{\"at\":{at}}}")),
                }
            }
            ("GET", "/v1/kv-range") => {
                let prefix = request.query("path_prefix").unwrap_or_default();
                let after = request.query("after_revision").unwrap_or_default();
                let (items, at) = self.read(caller, request);
                let mut found = items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_text(key, item));
                let page: Vec<String> = found.by_ref().take(PAGE_ITEMS).collect();
                let more = found.next().is_some();
                let page = page.join(",");
                (
                    200,
                    format!("{{\"items\":[{page}],\"more\":{more},\"at\":{at}}}"),
                )
            }
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl_ms = body.map_or(1000, |body| body.get("ttl_ms").number());
                let ttl = Duration::from_millis(ttl_ms);
                let mut data = self.data.0.lock().unwrap();
                data.revision += 1;
                let lease = data.revision + 1_000_000;
                data.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let mut data = self.data.0.lock().unwrap();
                match data.leases.get_mut(&number()) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                self.data.0.lock().unwrap().end_lease(number());
                self.data.1.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }

    fn read(&self, caller: usize, request: &Message) -> (BTreeMap<String, Item>, u64) {
        let age = match request.query("stale").as_deref() {
            Some("1") => (self.stale_age)(caller, request),
            _ => Duration::ZERO,
        };
        self.data.0.lock().unwrap().as_of(age)
    }

    fn watch(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let after = number("after_revision").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut data = self.data.0.lock().unwrap();
        loop {
            let new = data
                .history
                .iter()
                .rev()
                .take_while(|(_, at, ..)| *at > after);
            let mut events: Vec<String> = new
                .filter(|(_, _, key, _)| key.starts_with(&prefix))
                .map(|(_, at, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!(
                        "{{\"private_key\":{},\"revision\":{at},\"gone\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                events.reverse();
                let (events, at) = (events.join(","), data.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            data = self.data.1.wait_timeout(data, deadline - now).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, "{}".into());
        };
        let mut data = self.data.0.lock().unwrap();
        let expected = body.get("expected_revision").list();
        let revision_of = |data: &Data, key: &str| data.items.get(key).map_or(0, |i| i.revision);
        let holds = expected.iter().all(|row| {
            revision_of(&data, row.get("private_key").text()) == row.get("revision").number()
        });
        if !holds {
            let rows = expected.iter().map(|row| {
                let key = row.get("private_key").text();
                match data.items.get(key) {
                    Some(item) => item_text(key, item),
                    None => format!("{{\"private_key\":{},\"revision\":0}}", quote(key)),
                }
            });
            let rows: Vec<String> = rows.collect();
            return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        for row in body.get("put").list() {
            let lease = row.get("lease").number();
            if lease != 0 && !data.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        let puts = body.get("put").list().iter().map(|row| {
            let (key, value) = (row.get("private_key").text(), row.get("value").text());
            (key.to_owned(), value.to_owned(), row.get("lease").number())
        });
        let removes = body
            .get("remove")
            .list()
            .iter()
            .map(|key| key.text().to_owned());
        let (puts, removes) = (puts.collect(), removes.collect());
        data.write(puts, removes);
        self.data.1.notify_all();
        (200, format!("{{\"revision\":{}}}", data.revision))
    }
}
