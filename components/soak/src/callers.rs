//! Callers: each sends one call after another, through any box, often on a channel that it keeps.

use crate::history::{Call, Key, Kind, Outcome};
use fleet::caller::{Caller, call_request, fresh_id, generation_request};
use fleet::config::{KEY, TOGGLED_KEY};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A caller takes a channel that is silent for this long for dead: longer than any call may take.
const SILENCE: Duration = Duration::from_secs(7);
/// Calls that one channel carries at the most.
const CALLS_A_CHANNEL: u32 = 6;
/// Pause between two calls of one caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 2..40;
/// The same for the caller whose key comes and goes.
const TOGGLED_PAUSE_MS: u64 = 40;

/// Callers that run until they are told to stop.
pub(crate) struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

/// What one caller is.
#[derive(Clone)]
struct OneCaller {
    boxes: Arc<Vec<SocketAddr>>,
    began: Instant,
    stop: Arc<AtomicBool>,
    key: Key,
    rng: ChaCha8Rng,
}

impl Callers {
    /// Starts `count` callers, and one more whose key comes and goes.
    pub fn start(count: usize, boxes: &[SocketAddr], seed: u64, began: Instant) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let boxes = Arc::new(boxes.to_vec());
        let start = |at: usize| {
            let caller = OneCaller {
                boxes: boxes.clone(),
                began,
                stop: stop.clone(),
                key: if at == count { Key::Toggled } else { Key::Kept },
                rng: ChaCha8Rng::seed_from_u64(seed.wrapping_add(1_000 + at as u64)),
            };
            std::thread::spawn(move || caller.run())
        };
        let threads = (0..=count).map(start).collect();
        Self { stop, threads }
    }

    /// Has them end, and hands out what they saw, with how many met an answer that cannot be read.
    pub fn end(self) -> (Vec<Call>, usize) {
        self.stop.store(true, Ordering::Relaxed);
        let (mut calls, mut unreadable) = (Vec::new(), 0);
        for thread in self.threads {
            match thread.join() {
                Ok(seen) => calls.extend(seen),
                Err(_) => unreadable += 1,
            }
        }
        (calls, unreadable)
    }
}

impl OneCaller {
    fn run(mut self) -> Vec<Call> {
        let mut calls = Vec::new();
        while !self.stop.load(Ordering::Relaxed) {
            let at = self.rng.random_range(0..self.boxes.len());
            self.serve_channel(at, &mut calls);
        }
        calls
    }

    /// Makes some calls on one channel.
    fn serve_channel(&mut self, at: usize, calls: &mut Vec<Call>) {
        let count = self.rng.random_range(1..=CALLS_A_CHANNEL);
        let mut channel = Caller::try_connect_with_timeout(self.boxes[at], SILENCE);
        for _ in 0..count {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let (call, goes_on) = self.call(at, channel.as_mut());
            calls.push(call);
            self.pause();
            if !goes_on {
                return;
            }
        }
        if let Some(channel) = channel.take() {
            channel.disconnect();
        }
    }

    fn pause(&mut self) {
        let ms = match self.key {
            Key::Kept => self.rng.random_range(PAUSE_MS),
            Key::Toggled => TOGGLED_PAUSE_MS,
        };
        std::thread::sleep(Duration::from_millis(ms));
    }

    fn kind(&mut self) -> Kind {
        match (self.key, self.rng.random_range(0..10)) {
            (Key::Toggled, _) | (Key::Kept, 0..4) => Kind::Repeatable,
            (Key::Kept, 4..7) => Kind::Once,
            (Key::Kept, _) => Kind::Stream,
        }
    }

    /// One call; whether its channel goes on after it.
    fn call(&mut self, at: usize, channel: Option<&mut Caller>) -> (Call, bool) {
        let kind = self.kind();
        let id = fresh_id();
        let request = request(&id, kind, self.key);
        let sent_ms = self.began.elapsed().as_millis() as u64;
        let (outcome, goes_on) = match channel {
            None => (Outcome::NoChannel, false),
            Some(channel) => match channel
                .try_send(&request)
                .then(|| channel.read_response())
                .flatten()
            {
                None => (Outcome::Cut, false),
                Some(got) => {
                    let closes = got.header("connection").as_deref() == Some("close");
                    let goes_on = got.is_complete && !closes;
                    (Outcome::Answered(got), goes_on)
                }
            },
        };
        let call = Call {
            id,
            kind,
            key: self.key,
            at,
            sent_ms,
            ended_ms: self.began.elapsed().as_millis() as u64,
            outcome,
        };
        (call, goes_on)
    }
}

fn request(id: &str, kind: Kind, key: Key) -> Vec<u8> {
    let request = match kind {
        Kind::Repeatable => call_request(id, "/safe/x", "", ""),
        Kind::Once => call_request(id, "/unsafe/x", "{\"do\":\"it\"}", ""),
        Kind::Stream => generation_request(id),
    };
    match key {
        Key::Kept => request,
        Key::Toggled => {
            let text = String::from_utf8_lossy(&request).into_owned();
            text.replace(KEY, TOGGLED_KEY).into_bytes()
        }
    }
}
