//! Boxes: the program of the deploy file, each as a process of its own, with settings made from `deploy/box.yaml`.

use crate::wire::call;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub struct BoxSettings {
    pub name: String,
    pub zone: String,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// Gaps of the template that differ from those of a small deployment.
    pub changed: Vec<(&'static str, String)>,
}

pub struct FrontBox {
    pub settings: BoxSettings,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    metrics: u16,
    folder: PathBuf,
    child: Option<Child>,
}

/// The processes that run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that still run.
pub fn kill_all() {
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
}

/// A free address, below the ports that the system hands out by itself.
pub fn free_address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = TAKEN.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + (std::process::id() * 61 + step) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// The bounds and limits that SYSTEM.md gives for a small deployment.
const SMALL: [(&str, &str); 9] = [
    ("platform.ttl_min_ms", "1000"),
    ("bounds.drain_ms", "2000"),
    ("bounds.grace_s", "8"),
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.retry_slack", "56"),
    ("bounds.budget_window_s", "10"),
    ("limits.memory_mb", "110"),
    ("limits.file_descriptors", "4100"),
    ("limits.link_mbps", "1000.0"),
];

impl FrontBox {
    pub fn new(folder: &PathBuf, settings: BoxSettings, control: SocketAddr) -> Self {
        Self {
            settings,
            front: free_address(),
            ready: free_address(),
            control,
            metrics: free_address().port(),
            folder: folder.clone(),
            child: None,
        }
    }

    fn filled(&self) -> String {
        let template =
            fs::read_to_string("deploy/box.yaml").expect("run this at the repository's root");
        let seeds = self.settings.seeds.iter().map(|seed| format!("\"{seed}\""));
        let seeds: Vec<String> = seeds.collect();
        let mut gaps: Vec<(String, String)> = vec![
            (
                "node_name|json".into(),
                format!("\"{}\"", self.settings.name),
            ),
            ("zone|json".into(), format!("\"{}\"", self.settings.zone)),
            (
                "listen_addresses.front|json".into(),
                format!("\"{}\"", self.front),
            ),
            (
                "listen_addresses.ready|json".into(),
                format!("\"{}\"", self.ready),
            ),
            (
                "listen_addresses.control|json".into(),
                format!("\"{}\"", self.control),
            ),
            (
                "platform.address|json".into(),
                format!("\"{}\"", self.settings.store),
            ),
            ("seed_nodes|json".into(), format!("[{}]", seeds.join(","))),
            ("ip_address".into(), "127.0.0.1".into()),
        ];
        for (name, value) in SMALL {
            let changed = self.settings.changed.iter().find(|(n, _)| *n == name);
            let value = changed.map_or(value.to_owned(), |(_, v)| v.clone());
            gaps.push((name.into(), value));
        }
        let mut text = template;
        for (name, value) in gaps {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        text.replace(":9464", &format!(":{}", self.metrics))
    }

    pub fn start(&mut self) {
        let name = &self.settings.name;
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, self.filled()).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let errors = log.try_clone().unwrap();
        let child = Command::new("target/release/shuntpier")
            .arg("relay")
            .env_clear()
            .env("SHUNTPIER_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("target/release/shuntpier: build first");
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/readiness HTTP/1.1\r\nHost: box\r\n\r\n";
        let answer = call(self.ready, request, Duration::from_millis(500));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }
}

impl Drop for FrontBox {
    fn drop(&mut self) {
        self.kill();
    }
}
