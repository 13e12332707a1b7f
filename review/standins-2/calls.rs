//! Clients of plain routes: one request after another, each on a channel of its own.

use crate::wire::call;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub struct Sent {
    pub at: Instant,
    pub id: String,
    /// Of a whole answer.
    pub status: Option<u16>,
}

/// Clients that go on until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// One client for each front; the first digit of an id is the number of the front, the second is `tag`.
    pub fn start(
        fronts: &[SocketAddr],
        path: &'static str,
        key: &'static str,
        tag: char,
        pause: Duration,
    ) -> Self {
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let mut clients = Self {
            stop,
            sent,
            threads: Vec::new(),
        };
        for (at, front) in fronts.iter().copied().enumerate() {
            let (stop, sent) = (clients.stop.clone(), clients.sent.clone());
            clients.threads.push(thread::spawn(move || {
                let mut open = Vec::new();
                let mut number = 0u64;
                while !stop.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("{at:x}{tag}{number:014x}");
                    let sent: Arc<Mutex<Vec<Sent>>> = sent.clone();
                    open.push(thread::spawn(move || {
                        let at = Instant::now();
                        let request = format!(
                            "POST {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Identifier: {id}\r\n\
                             Deadline-Milliseconds: 3000\r\nX-Api-Key: {key}\r\nContent-Length: 2\r\n\r\nhi"
                        );
                        let answer = call(front, request.as_bytes(), Duration::from_millis(4_000));
                        let status = answer.filter(|a| a.whole).map(|a| a.status());
                        sent.lock().unwrap().push(Sent { at, id, status });
                    }));
                    thread::sleep(pause);
                }
                for one in open {
                    let _ = one.join();
                }
            }));
        }
        clients
    }

    /// Stops, and gives what was sent.
    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut sent = std::mem::take(&mut *self.sent.lock().unwrap());
        sent.sort_by_key(|one| one.at);
        sent
    }
}
