//! A prompt part that crashes each engine which begins to answer it: callers that send it for a time, and the check that boxes
//! soon send no more of it.

use crate::checks::any_disturbed;
use crate::history::{Call, History, Key, Kind, Outcome};
use fleet::caller::{Caller, fresh_id, generation_request_of};
use fleet::crashes::FATAL_PART;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Callers that send the part.
const CALLERS: u64 = 3;
/// Pause between two calls of one of them, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..400;
/// Longest time that one of them waits for an answer.
const SILENCE: Duration = Duration::from_secs(7);
/// Crashes after which boxes withhold the part, the time that they have for it, and the requests with it that may come later.
const CRASHES_MAX: usize = 5;
const IN_FORCE_MS: u64 = 3_000;
const LATE_MAX: usize = 3;

/// Callers that send requests with the part to all boxes, no two alike, until it is stopped.
pub(crate) struct FatalCallers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Call>>>,
}

impl FatalCallers {
    pub fn start(boxes: &[SocketAddr], seed: u64, began: Instant) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start = |at: u64| {
            let (boxes, stop) = (boxes.to_vec(), stop.clone());
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(at);
            std::thread::spawn(move || {
                let mut calls = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let at = rng.random_range(0..boxes.len());
                    calls.push(call(at, boxes[at], began));
                    std::thread::sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
                }
                calls
            })
        };
        let threads = (0..CALLERS).map(start).collect();
        Self { stop, threads }
    }

    /// Has them end, and returns their calls.
    pub fn end(self) -> Vec<Call> {
        self.stop.store(true, Ordering::Relaxed);
        let joined = self.threads.into_iter().map(JoinHandle::join);
        joined.flat_map(Result::unwrap_or_default).collect()
    }
}

fn call(at: usize, address: SocketAddr, began: Instant) -> Call {
    let now_ms = || began.elapsed().as_millis() as u64;
    let id = fresh_id();
    let parts = format!("a1:100,{FATAL_PART}:400,{id}:500");
    let request = generation_request_of(&id, &parts, &id);
    let sent_ms = now_ms();
    let outcome = match Caller::try_connect_with_timeout(address, SILENCE) {
        None => Outcome::NoChannel,
        Some(mut channel) => match channel
            .try_send(&request)
            .then(|| channel.read_response())
            .flatten()
        {
            None => Outcome::Cut,
            Some(got) => Outcome::Answered(got),
        },
    };
    Call {
        id,
        kind: Kind::Stream,
        key: Key::Kept,
        at,
        sent_ms,
        ended_ms: now_ms(),
        outcome,
    }
}

/// Once a part has crashed some engines, hardly any request with it reaches one through a box in touch.
pub(crate) fn fatal_part_is_withheld(history: &History) -> Vec<String> {
    let Some(last_ms) = history.engine_crashes.get(CRASHES_MAX - 1) else {
        return Vec::new();
    };
    let from_ms = last_ms + IN_FORCE_MS + history.slack_ms;
    let is_late = |call: &&Call| {
        let mut arrivals = history.arrivals.iter();
        arrivals.any(|arrival| arrival.id == call.id && arrival.at_ms > from_ms)
            && !any_disturbed(
                history,
                call.at,
                call.sent_ms.saturating_sub(IN_FORCE_MS),
                call.ended_ms,
                |_| true,
            )
    };
    let late = history.fatal_calls.iter().filter(is_late).count();
    match late > LATE_MAX {
        true => vec![format!(
            "{late} requests with the part were sent from {from_ms} ms on; {} engines crashed",
            history.engine_crashes.len()
        )],
        false => Vec::new(),
    }
}
