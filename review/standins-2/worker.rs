//! Workers of plain services, as PROTOCOL.md describes them.

use crate::store::Store;
use crate::wire::{Message, answer, read_message};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a worker saw of one request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub ran: bool,
    pub answered: bool,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    pub arrivals: Mutex<Vec<Arrival>>,
    running: AtomicU32,
    ended: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

impl Worker {
    pub fn start(id: &str, service: &str, zone: &str, slots: u32, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let worker = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().unwrap(),
            slots,
            work,
            arrivals: Mutex::default(),
            running: AtomicU32::new(0),
            ended: AtomicBool::new(false),
            channels: Mutex::default(),
        });
        let serving = worker.clone();
        thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || {
                for stream in listener.incoming().flatten() {
                    if serving.ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let _ = stream.set_nodelay(true);
                    if let Ok(channel) = stream.try_clone() {
                        serving.channels.lock().unwrap().push(channel);
                    }
                    let worker = serving.clone();
                    thread::spawn(move || worker.serve_channel(stream));
                }
            })
            .unwrap();
        worker
    }

    /// Writes the entry under `servers/`; gives the store's revision.
    pub fn register(&self, store: &Store, state: &str) -> u64 {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            self.service, self.address, self.zone, self.slots
        );
        store.put(&format!("servers/{}", self.id), &entry)
    }

    /// Ends: its channels close, whatever still runs.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve_channel(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false) {
            if self.ended.load(Ordering::SeqCst) || !self.serve(&request, reader.get_mut()) {
                return;
            }
        }
    }

    fn serve(&self, request: &Message, stream: &mut TcpStream) -> bool {
        if request.method() == "GET" && request.path() == "/health" {
            let fields = format!("Instance-Identifier: {}\r\n", self.id);
            return answer(stream, 200, &fields, b"");
        }
        let id = request
            .field("attempt-identifier")
            .unwrap_or_default()
            .to_owned();
        let echo = format!("Attempt-Identifier: {id}\r\n");
        let is_meant = request
            .field("expected-instance")
            .is_none_or(|i| i == self.id);
        if !is_meant {
            return answer(stream, 421, &echo, b"");
        }
        let is_full = self.running.fetch_add(1, Ordering::SeqCst) >= self.slots;
        let place = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                at: Instant::now(),
                id,
                ran: !is_full,
                answered: false,
            });
            arrivals.len() - 1
        };
        let written = if is_full {
            answer(stream, 503, &format!("{echo}Not-Executed: 1\r\n"), b"full")
        } else {
            thread::sleep(self.work);
            let fields = format!("{echo}Response-Signature: s.{}\r\n", self.id);
            !self.ended.load(Ordering::SeqCst) && answer(stream, 200, &fields, b"done")
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.arrivals.lock().unwrap()[place].answered = written;
        written
    }
}
