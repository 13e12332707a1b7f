//! Workers, as PROTOCOL.md describes them: plain ones, and model workers that answer with streams of events.

use crate::base::{listen, ms, Json, Message, Record, Wire};
use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub id: String,
    pub began_ms: u64,
    pub ended_ms: Option<u64>,
    pub is_whole: bool,
}

/// A request that runs at a model worker.
#[derive(Default)]
struct Active {
    prompt: u64,
    made: AtomicU64,
    is_stopped: AtomicBool,
    is_moving: AtomicBool,
    copied_tokens: AtomicU64,
    handle: AtomicU64,
}

/// A copy of a request's memory.
struct Copy {
    run: String,
    target: SocketAddr,
}

/// What model workers know of each other: their zones, and the copies between them by source and handle.
#[derive(Clone, Default)]
pub struct Moves {
    zones: Arc<Mutex<HashMap<SocketAddr, String>>>,
    copies: Arc<Mutex<HashMap<String, Copy>>>,
    last_handle: Arc<AtomicU64>,
    /// The requests that are copied, each with the first worker that a copy goes to.
    targets: Arc<Mutex<HashMap<String, SocketAddr>>>,
}

impl Moves {
    /// Where the first copy of a request goes.
    pub fn target_of(&self, id: &str) -> Option<SocketAddr> {
        self.targets.lock().unwrap().get(id).copied()
    }
}

/// `token_cache_bytes` and `link_mbps` of the sheet.
const TOKEN_BYTES: f64 = 18_432.0;
const LINK_MBPS: f64 = 2_700.0;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    slots: u32,
    work: Work,
    record: Record,
    running: Arc<AtomicU32>,
    /// Prompts are read one after another.
    reading: Arc<Mutex<()>>,
    runs: Arc<Mutex<Vec<Run>>>,
    active: Arc<Mutex<HashMap<String, Arc<Active>>>>,
    moves: Moves,
    has_ended: Arc<AtomicBool>,
    /// The request whose answer carries no length and closes with its channel.
    unframed: Arc<Mutex<String>>,
    /// Whether the answer to the next order to stop a run is lost.
    loses_stop: Arc<AtomicBool>,
}

#[derive(Clone, Copy)]
pub enum Work {
    /// Answers after this time.
    Plain(Duration),
    /// Reads prompts at 14 tokens a ms; an event of 4 tokens takes this time.
    Model { event: Duration },
}

const PROMPT_TOKENS_PER_MS: u64 = 14;
const TOKENS_PER_EVENT: u64 = 4;
/// "A step takes 7 ms and more."
const STEP: Duration = Duration::from_millis(8);

impl Worker {
    /// Starts a model worker that can move what runs there to others that share `moves`.
    pub fn start_moving(
        record: &Record,
        id: &str,
        zone: &str,
        address: SocketAddr,
        event: Duration,
        moves: &Moves,
    ) -> io::Result<Self> {
        moves.zones.lock().unwrap().insert(address, zone.into());
        let worker = Self {
            moves: moves.clone(),
            ..Self::new(
                record,
                id,
                "activation-lm",
                zone,
                address,
                64,
                Work::Model { event },
            )
        };
        let serving = worker.clone();
        listen(address, move |wire| serving.serve(wire))?;
        Ok(worker)
    }

    /// Ends the worker: all its channels close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.record.line(&format!("worker {}: ends", self.id));
    }

    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        slots: u32,
        work: Work,
    ) -> io::Result<Self> {
        let worker = Self::new(record, id, service, zone, address, slots, work);
        let serving = worker.clone();
        listen(address, move |wire| serving.serve(wire))?;
        Ok(worker)
    }

    fn new(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        slots: u32,
        work: Work,
    ) -> Self {
        Self {
            id: id.into(),
            address,
            service: service.into(),
            zone: zone.into(),
            slots,
            work,
            record: record.clone(),
            running: Arc::default(),
            reading: Arc::default(),
            runs: Arc::default(),
            active: Arc::default(),
            moves: Moves::default(),
            has_ended: Arc::default(),
            unframed: Arc::default(),
            loses_stop: Arc::default(),
        }
    }

    /// The answer to this request carries no length and closes with its channel.
    pub fn answer_unframed(&self, id: &str) {
        *self.unframed.lock().unwrap() = id.into();
    }

    /// The next order to stop a run is carried out, and its answer is lost.
    pub fn lose_next_stop(&self) {
        self.loses_stop.store(true, Ordering::SeqCst);
    }

    /// The worker's own entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let models = match self.work {
            Work::Plain(_) => "",
            Work::Model { .. } => {
                "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            }
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,{models}\"sequence\":1}}",
            self.service, self.address, self.zone, self.slots
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(request)) = wire.message() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let kept = match request.path() {
                "/health" => self.reply(&mut wire, 200, "", ""),
                "/v1/report" => self.reply(
                    &mut wire,
                    200,
                    "Content-Type: application/json\r\n",
                    &self.report(),
                ),
                "/v1/kv-move" if self.loses_answer_to(&request) => {
                    // The call has come, its channel closes, and the run stops after the step that is under way.
                    self.record.line(&format!(
                        "worker {}: the answer to a kv-move with last is lost, its channel closes",
                        self.id
                    ));
                    let _ = wire.io.shutdown(Shutdown::Both);
                    sleep(STEP);
                    self.copy(&request);
                    return;
                }
                "/v1/kv-move" => {
                    let (status, body) = self.copy(&request);
                    self.reply(
                        &mut wire,
                        status,
                        "Content-Type: application/json\r\n",
                        &body,
                    )
                }
                path if path.starts_with("/v1/kv-handle/") => self.reply(&mut wire, 200, "", "{}"),
                path if path.starts_with("/v1/") => self.reply(&mut wire, 404, "", "{}"),
                _ => self.run(&mut wire, &request),
            };
            if !kept {
                return;
            }
        }
    }

    fn loses_answer_to(&self, request: &Message) -> bool {
        let body = Json::parse(&request.body);
        let stops = body.is_some_and(|body| matches!(body.get("last"), Json::Bool(true)));
        stops && self.loses_stop.swap(false, Ordering::SeqCst)
    }

    fn reply(&self, wire: &mut Wire, status: u16, headers: &str, body: &str) -> bool {
        let head = format!(
            "HTTP/1.1 {status} X\r\nInstance-Identifier: {}\r\n{}{headers}Content-Length: {}\r\n\r\n{body}",
            self.id, self.load(), body.len()
        );
        wire.write(head.as_bytes()).is_ok()
    }

    fn load(&self) -> String {
        format!(
            "Instance-Load: {},0,{}\r\n",
            self.running.load(Ordering::SeqCst),
            self.slots
        )
    }

    fn report(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"utilization\":false,\"sequence\":0,\
             \"queued\":0,\"running\":{running},\"cache_used\":{},\"cache_total\":34545,\"handles\":0,\"state\":\"ready\"}}",
            running * 2600
        )
    }

    fn run(&self, wire: &mut Wire, request: &Message) -> bool {
        let id = request
            .header("attempt-identifier")
            .unwrap_or_default()
            .to_owned();
        let echo = format!("Attempt-Identifier: {id}\r\n");
        if request
            .header("expected-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return self.reply(wire, 421, &echo, "");
        }
        let copy = request.header("kv-from").map(str::to_owned);
        if let Some(from) = &copy {
            // A handle serves once.
            let taken = self.moves.copies.lock().unwrap().remove(from);
            let serves = |copy: &Copy| {
                copy.run == id
                    && (copy.target == self.address || from.starts_with(&self.address.to_string()))
            };
            if !taken.as_ref().is_some_and(serves) {
                return self.reply(wire, 503, &format!("{echo}Not-Executed: 1\r\n"), "");
            }
        }
        if self.running.load(Ordering::SeqCst) >= self.slots {
            return self.reply(wire, 503, &format!("{echo}Not-Executed: 1\r\n"), "");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let at = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                worker: self.id.clone(),
                id: id.clone(),
                began_ms: self.record.now_ms(),
                ended_ms: None,
                is_whole: false,
            });
            runs.len() - 1
        };
        let tenant = request.header("tenant").unwrap_or("-").to_owned();
        let begins = if copy.is_some() {
            "goes on with"
        } else {
            "begins"
        };
        self.record.line(&format!(
            "worker {}: {begins} {id} ({} {}, Tenant {tenant})",
            self.id,
            request.method(),
            request.path()
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Response-Signature: 3e1b.07.5a2.{id}\r\n{}",
            self.load()
        );
        let whole = match self.work {
            Work::Plain(time) => {
                sleep(time);
                let body = format!("answer to {id}");
                wire.write(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
                    .is_ok()
            }
            Work::Model { event } => self.stream(wire, request, &head, event),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let mut runs = self.runs.lock().unwrap();
        runs[at].ended_ms = Some(self.record.now_ms());
        runs[at].is_whole = whole;
        drop(runs);
        let how = if whole {
            "whole"
        } else {
            "its channel was closed"
        };
        self.record
            .line(&format!("worker {}: ends {id} ({how})", self.id));
        whole
    }

    /// Streams the events of a request; drops it once its channel closes or its time is over.
    fn stream(&self, wire: &mut Wire, request: &Message, head: &str, event: Duration) -> bool {
        let counts = request.header("token-counts").unwrap_or_default();
        let mut counts = counts
            .split(',')
            .filter_map(|count| count.trim().parse::<u64>().ok());
        let (prompt, most) = (counts.next().unwrap_or(0), counts.next().unwrap_or(4));
        let left_ms = request
            .header("deadline-milliseconds")
            .and_then(|text| text.parse().ok())
            .unwrap_or(60_000);
        let until = Instant::now() + ms(left_ms);
        let id = request
            .header("attempt-identifier")
            .unwrap_or_default()
            .to_owned();
        let active = Arc::new(Active {
            prompt,
            ..Active::default()
        });
        self.active
            .lock()
            .unwrap()
            .insert(id.clone(), active.clone());
        let whole = self.events(wire, request, head, event, (prompt, most), until, &active);
        self.active.lock().unwrap().remove(&id);
        whole
    }

    #[allow(clippy::too_many_arguments)]
    fn events(
        &self,
        wire: &mut Wire,
        request: &Message,
        head: &str,
        event: Duration,
        (prompt, most): (u64, u64),
        until: Instant,
        active: &Active,
    ) -> bool {
        let is_resumed = request.header("kv-from").is_some();
        let is_unframed =
            request.header("attempt-identifier") == Some(self.unframed.lock().unwrap().as_str());
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let last: u64 = last.filter(|_| is_resumed).unwrap_or(0);
        if !is_resumed {
            let _turn = self.reading.lock().unwrap();
            if wire.is_closed() {
                return false;
            }
            sleep(ms(prompt / PROMPT_TOKENS_PER_MS));
        }
        for number in last + 1..=most.div_ceil(TOKENS_PER_EVENT) {
            sleep(event);
            if wire.is_closed() || Instant::now() >= until {
                return false;
            }
            if active.is_stopped.load(Ordering::SeqCst) || self.has_ended.load(Ordering::SeqCst) {
                return false;
            }
            active.made.store(number, Ordering::SeqCst);
            let text = format!("id: {number}\ndata: tokens {number}\n\n");
            let mut out = String::new();
            if number == last + 1 {
                let framing = if is_unframed {
                    "Connection: close"
                } else {
                    "Transfer-Encoding: chunked"
                };
                out.push_str(&format!(
                    "{head}Content-Type: text/event-stream\r\n{framing}\r\n\r\n"
                ));
            }
            match is_unframed {
                true => out.push_str(&text),
                false => out.push_str(&format!("{:x}\r\n{text}\r\n", text.len())),
            }
            if wire.write(out.as_bytes()).is_err() {
                return false;
            }
        }
        if is_unframed {
            // The close of the channel is the end.
            return wire.io.shutdown(Shutdown::Write).is_ok();
        }
        wire.write(b"0\r\n\r\n").is_ok()
    }

    /// Copies what a request keeps here to another worker; with `last` the run stops first.
    fn copy(&self, request: &Message) -> (u16, String) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, "{}".into());
        };
        let (id, is_last) = (
            body.get("identifier").text().to_owned(),
            matches!(body.get("last"), Json::Bool(true)),
        );
        let Ok(target) = body.get("target_version").text().parse::<SocketAddr>() else {
            return (400, "{}".into());
        };
        let active = self.active.lock().unwrap().get(&id).cloned();
        let Some(active) = active else {
            return (404, "{}".into());
        };
        if active.is_moving.swap(true, Ordering::SeqCst) {
            return (409, "{}".into());
        }
        let how = if is_last {
            "the run stops"
        } else {
            "the run goes on"
        };
        self.record.line(&format!(
            "worker {}: copies {id} to {target} ({how})",
            self.id
        ));
        self.moves
            .targets
            .lock()
            .unwrap()
            .entry(id.clone())
            .or_insert(target);
        if is_last {
            active.is_stopped.store(true, Ordering::SeqCst);
        }
        let made = active.made.load(Ordering::SeqCst);
        let tokens = active.prompt + made * TOKENS_PER_EVENT;
        let new_tokens = tokens - active.copied_tokens.swap(tokens, Ordering::SeqCst);
        let zones = self.moves.zones.lock().unwrap().clone();
        let factor = if zones.get(&target) == Some(&self.zone) {
            1.0
        } else {
            2.0
        };
        sleep(Duration::from_secs_f64(
            factor * new_tokens as f64 * TOKEN_BYTES * 8.0 / (LINK_MBPS * 1e6),
        ));
        if active.handle.load(Ordering::SeqCst) == 0 {
            let handle = self.moves.last_handle.fetch_add(1, Ordering::SeqCst) + 1;
            active.handle.store(handle, Ordering::SeqCst);
        }
        let handle = active.handle.load(Ordering::SeqCst);
        let copy = Copy {
            run: id.clone(),
            target,
        };
        self.moves
            .copies
            .lock()
            .unwrap()
            .insert(format!("{}/{handle}", self.address), copy);
        active.is_moving.store(false, Ordering::SeqCst);
        self.record.line(&format!(
            "worker {}: copied {new_tokens} tokens of {id} to {target}",
            self.id
        ));
        (200, format!("{{\"handle\":{handle},\"made\":{made}}}"))
    }
}
