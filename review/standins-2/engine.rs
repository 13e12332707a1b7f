//! Model workers, as PROTOCOL.md describes them: streams, reports, and the memory of running requests that is moved.

use crate::json::Json;
use crate::store::Store;
use crate::wire::{Message, answer, read_message};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time from one event to the next.
const STEP: Duration = Duration::from_millis(40);
/// Time that a copy takes.
const COPY: Duration = Duration::from_millis(30);

/// One request, as it ran here.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Instant,
    /// It goes on from what another worker, or this one, had made.
    pub resumed: bool,
    pub events: u32,
    /// It made its last event.
    pub finished: bool,
    /// It was stopped by an order, after which this worker keeps its memory.
    pub stopped: bool,
}

pub struct Engine {
    pub id: String,
    service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Events of a whole answer.
    events: u32,
    /// Copies for which the other end finds room: the first of a request, and the rest that is copied once it is stopped.
    pub finds_room_for_rest: AtomicBool,
    handles: AtomicU32,
    pub runs: Mutex<Vec<Run>>,
    /// Orders to stop, by request.
    orders: Mutex<HashMap<String, Arc<AtomicBool>>>,
    /// The next event of each request whose memory is kept here, by handle.
    kept: Mutex<HashMap<String, u32>>,
    pub calls: Mutex<Vec<(Instant, String)>>,
}

impl Engine {
    pub fn start(id: &str, service: &str, zone: &str, events: u32) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let engine = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            events,
            finds_room_for_rest: AtomicBool::new(true),
            handles: AtomicU32::new(0),
            runs: Mutex::default(),
            orders: Mutex::default(),
            kept: Mutex::default(),
            calls: Mutex::default(),
        });
        let serving = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let engine = serving.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_message(&mut reader, false) {
                        if !engine.serve(&request, reader.get_mut()) {
                            return;
                        }
                    }
                });
            }
        });
        engine
    }

    pub fn register(&self, store: &Store, state: &str) -> u64 {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":24,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1}}",
            self.service, self.address, self.zone
        );
        store.put(&format!("servers/{}", self.id), &entry)
    }

    fn note(&self, call: String) {
        self.calls.lock().unwrap().push((Instant::now(), call));
    }

    fn serve(&self, request: &Message, stream: &mut TcpStream) -> bool {
        match (request.method(), request.path()) {
            ("GET", "/health") => {
                let fields = format!("Instance-Identifier: {}\r\n", self.id);
                answer(stream, 200, &fields, b"")
            }
            ("GET", "/v1/report") => {
                let running = self.orders.lock().unwrap().len();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"state\":\"ready\",\"queued\":0,\"running\":{running},\"cache_used\":0,\
                     \"cache_total\":34545,\"handles\":0}}"
                );
                let fields = "Content-Type: application/json\r\n";
                answer(stream, 200, fields, body.as_bytes())
            }
            ("POST", "/v1/kv-move") => self.copy(request, stream),
            ("DELETE", path) if path.starts_with("/v1/kv-handle/") => {
                self.note(format!(
                    "free {}",
                    path.rsplit('/').next().unwrap_or_default()
                ));
                answer(stream, 200, "", b"")
            }
            _ => self.run(request, stream),
        }
    }

    /// Copies the memory of a run to another worker; with `last` it stops the run first.
    fn copy(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let id = body.get("identifier").text().to_owned();
        let is_last = matches!(body.get("last"), Json::Bool(true));
        let order = self.orders.lock().unwrap().get(&id).cloned();
        let Some(order) = order else {
            self.note(format!("move {id} last {is_last}: 404"));
            return answer(stream, 404, "", b"{}");
        };
        if is_last {
            order.store(true, Ordering::SeqCst);
        }
        thread::sleep(COPY);
        let handle = format!(
            "{}-{}",
            self.id,
            self.handles.fetch_add(1, Ordering::SeqCst) + 1
        );
        let made = {
            let runs = self.runs.lock().unwrap();
            runs.iter()
                .rev()
                .find(|run| run.id == id)
                .map_or(0, |run| run.events)
        };
        self.kept.lock().unwrap().insert(handle.clone(), made);
        let has_room = !is_last || self.finds_room_for_rest.load(Ordering::SeqCst);
        let status = if has_room { 200 } else { 503 };
        self.note(format!("move {id} last {is_last}: {status}, {handle}"));
        let body = match has_room {
            true => format!("{{\"handle\":\"{handle}\",\"made\":{made}}}"),
            false => format!("{{\"handle\":\"{handle}\"}}"),
        };
        let fields = "Content-Type: application/json\r\n";
        answer(stream, status, fields, body.as_bytes())
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request
            .field("attempt-identifier")
            .unwrap_or_default()
            .to_owned();
        if request
            .field("expected-instance")
            .is_some_and(|i| i != self.id)
        {
            return answer(stream, 421, "", b"");
        }
        let resumed = request.field("kv-from").map(str::to_owned);
        let from = request
            .field("last-event-id")
            .and_then(|e| e.parse::<u32>().ok());
        let first = match &resumed {
            Some(_) => from.map_or(0, |last| last + 1),
            None => 0,
        };
        if let Some(source) = &resumed {
            self.note(format!("{id} goes on from {source} after {from:?}"));
        }
        let stop = Arc::new(AtomicBool::new(false));
        self.orders.lock().unwrap().insert(id.clone(), stop.clone());
        let place = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.clone(),
                began: Instant::now(),
                resumed: resumed.is_some(),
                events: first,
                finished: false,
                stopped: false,
            });
            runs.len() - 1
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Identifier: {id}\r\nResponse-Signature: s.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut open = stream.write_all(head.as_bytes()).is_ok();
        for number in first..self.events {
            thread::sleep(STEP);
            if stop.load(Ordering::SeqCst) {
                self.runs.lock().unwrap()[place].stopped = true;
                open = false;
            }
            if !open {
                break;
            }
            let event = format!("id: {number}\ndata: t{number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            open = stream.write_all(chunk.as_bytes()).is_ok();
            self.runs.lock().unwrap()[place].events = number + 1;
        }
        self.orders.lock().unwrap().remove(&id);
        if !open {
            // Without its end.
            let _ = stream.shutdown(std::net::Shutdown::Both);
            return false;
        }
        self.runs.lock().unwrap()[place].finished = true;
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
