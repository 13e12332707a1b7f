//! A stand-in plain service, such as a ledger, whose calls may not be repeated. It records each run.

use crate::host::{Host, HostError, listen};
use bytes::Bytes;
use prelude::unix_ms;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use warp::Filter;
use warp::http::StatusCode;
use warp::path::FullPath;
use warp::reply::Reply;

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceRun {
    /// The key that came with it.
    pub key: Option<String>,
    /// The body that came with it.
    pub body: String,
    /// Path of the call.
    pub path: String,
    /// When, in Unix milliseconds.
    pub at_ms: u64,
}

#[derive(Default)]
struct State {
    runs: Mutex<Vec<ServiceRun>>,
    work_ms: AtomicU64,
    stalled_until_ms: AtomicU64,
    lose_answers: AtomicBool,
    leaving: AtomicBool,
    pause_ms: AtomicU64,
    turned_away: AtomicU64,
    open: AtomicU64,
    started_ms: AtomicU64,
}

/// A running stand-in service. Dropping it ends it as a crash would.
pub struct StandinService {
    state: Arc<State>,
    host: Host,
    address: SocketAddr,
}

impl StandinService {
    /// Starts a worker whose calls take `work`.
    ///
    /// # Errors
    /// [`HostError`], also where the address is taken.
    pub fn start(address: SocketAddr, work: Duration) -> Result<Self, HostError> {
        let state = Arc::new(State::default());
        state
            .work_ms
            .store(work.as_millis() as u64, Ordering::Relaxed);
        state.started_ms.store(unix_ms(), Ordering::Relaxed);
        let shared = state.clone();
        let (host, made) = Host::start("standin-service", move || async move {
            let listener = listen(address)?;
            let address = listener.local_addr()?;
            tokio::spawn(serve(shared, listener));
            Ok::<_, std::io::Error>(address)
        })?;
        Ok(Self {
            state,
            host,
            address: made?,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every run so far.
    pub fn runs(&self) -> Vec<ServiceRun> {
        lock(&self.state.runs).clone()
    }

    /// Runs calls but loses their answers.
    pub fn lose_answers(&self, lose: bool) {
        self.state.lose_answers.store(lose, Ordering::Relaxed);
    }

    /// Answers nothing for a while.
    pub fn stall(&self, time: Duration) {
        let until_ms = unix_ms() + time.as_millis() as u64;
        self.state
            .stalled_until_ms
            .store(until_ms, Ordering::Relaxed);
    }

    /// Says in its reports that it leaves.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Turns each call away from now on, and asks for a pause.
    pub fn shed(&self, pause: Duration) {
        let pause_ms = pause.as_millis() as u64;
        self.state.pause_ms.store(pause_ms, Ordering::Relaxed);
    }

    /// Calls that were turned away so far.
    pub fn turned_away(&self) -> u64 {
        self.state.turned_away.load(Ordering::Relaxed)
    }

    /// Ends it at once.
    pub fn kill(self) {
        self.host.kill();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve(state: Arc<State>, listener: TcpListener) {
    let metrics_state = state.clone();
    let metrics = warp::path!("metrics").map(move || metrics_text(&metrics_state));
    let call = warp::any()
        .and(warp::path::full())
        .and(warp::header::optional("idempotency-key"))
        .and(warp::body::bytes())
        .and(warp::any().map(move || state.clone()))
        .then(run_call);
    warp::serve(metrics.or(call)).incoming(listener).run().await;
}

fn metrics_text(state: &State) -> String {
    let open = state.open.load(Ordering::Relaxed);
    let leaving = u8::from(state.leaving.load(Ordering::Relaxed));
    let started_s = state.started_ms.load(Ordering::Relaxed) as f64 / 1000.0;
    format!(
        "vllm:num_requests_running {open}\nengine_leaving {leaving}\n\
         process_start_time_seconds {started_s:.3}\n"
    )
}

async fn run_call(
    path: FullPath,
    key: Option<String>,
    body: Bytes,
    state: Arc<State>,
) -> warp::reply::Response {
    let pause_ms = state.pause_ms.load(Ordering::Relaxed);
    if pause_ms > 0 {
        state.turned_away.fetch_add(1, Ordering::Relaxed);
        let refused = warp::reply::with_status("", StatusCode::SERVICE_UNAVAILABLE);
        let pause_s = (pause_ms as f64 / 1_000.0).to_string();
        return warp::reply::with_header(refused, "retry-after", pause_s).into_response();
    }
    state.open.fetch_add(1, Ordering::Relaxed);
    let stalled_ms = state
        .stalled_until_ms
        .load(Ordering::Relaxed)
        .saturating_sub(unix_ms());
    let work_ms = state.work_ms.load(Ordering::Relaxed);
    let run = ServiceRun {
        key,
        body: String::from_utf8_lossy(&body).into_owned(),
        path: path.as_str().to_owned(),
        at_ms: unix_ms(),
    };
    let number = {
        let mut runs = lock(&state.runs);
        runs.push(run.clone());
        runs.len()
    };
    tokio::time::sleep(Duration::from_millis(stalled_ms + work_ms)).await;
    state.open.fetch_sub(1, Ordering::Relaxed);
    if state.lose_answers.load(Ordering::Relaxed) {
        let lost = futures::stream::once(async { Err::<Bytes, _>(std::io::Error::other("lost")) });
        return warp::reply::stream(lost).into_response();
    }
    let answer = warp::reply::json(&Answer {
        run: number,
        echo: &run.body,
    });
    warp::reply::with_status(answer, StatusCode::OK).into_response()
}

#[derive(Serialize)]
struct Answer<'a> {
    run: usize,
    echo: &'a str,
}
