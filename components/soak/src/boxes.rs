//! Boxes as processes of their own, started and ended by their ids.

use crate::plan::FileChange;
use fleet::caller::get_status;
use fleet::store::{Store, StoreEndpoint};
use miette::{IntoDiagnostic, WrapErr, miette};
use serde_json::{Value, json};
use std::fs::{File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

/// One box: its settings, and its process while it runs.
pub(crate) struct BoxProcess {
    program: PathBuf,
    settings: PathBuf,
    /// What its settings file says where it is right.
    file: Value,
    log: PathBuf,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub door: StoreEndpoint,
    _door: fleet::serve::ServerThread,
    child: Option<Child>,
}

/// Ports below those that the system hands out by itself: a box keeps its addresses when it is started again, and
/// nothing that asks for any free port may take them meanwhile.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// The key by which boxes know each other, among others that come and go.
const PEER_KEY: &str = "soak";
/// The next port to try, by this process.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Addresses that nothing listens on.
pub(crate) fn free_addresses(count: usize) -> miette::Result<Vec<SocketAddr>> {
    let span = PORTS.end - PORTS.start;
    // Processes that soak at one time begin at different ports.
    let first = (std::process::id() as u16).wrapping_mul(97) % span;
    let mut found = Vec::with_capacity(count);
    for _ in 0..span {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + (first + offset % span) % span;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            found.push(listener.local_addr().into_diagnostic()?);
        }
        if found.len() == count {
            return Ok(found);
        }
    }
    Err(miette!("no ports are free from {} on", PORTS.start))
}

/// Most boxes of one run.
const BOXES_MAX: usize = 200;

/// The local address of a box's connections to targets, by which links and targets know it.
pub(crate) fn source_address(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 1, 10 + at as u8)
}

/// The box that connects from an address.
pub(crate) fn box_at(address: IpAddr) -> Option<usize> {
    (0..BOXES_MAX).find(|at| address == source_address(*at))
}

/// What the boxes of one run have in common.
pub(crate) struct Common<'a> {
    pub program: &'a Path,
    pub folder: &'a Path,
    pub seeds: &'a [SocketAddr],
    /// Second sends as a share of requests.
    pub resend_share: f64,
    /// Second sends beyond that.
    pub resend_spare: f64,
    /// Mechanisms that are off.
    pub without: &'a [&'a str],
}

impl BoxProcess {
    /// Writes the settings of a box; nothing runs yet.
    pub fn new(
        at: usize,
        addresses: &[SocketAddr],
        store: &Store,
        common: &Common<'_>,
    ) -> miette::Result<Self> {
        let name = format!("box-{at}");
        let [callers, readiness, peers] = addresses else {
            return Err(miette!("a box has three addresses"));
        };
        let (door_thread, door) = store.open_endpoint();
        let file = json!({
            "box": { "name": name, "data_centre": "hall", "callers_address": callers,
                "readiness_address": readiness, "peers_address": peers,
                "source_address": source_address(at) },
            "store": { "address": door.address },
            "promises": { "resend_share": common.resend_share, "resend_spare": common.resend_spare },
            "seeds": common.seeds,
            "peer_keys": [PEER_KEY],
            "without": common.without,
        });
        Ok(Self {
            program: common.program.to_owned(),
            settings: common.folder.join(format!("{name}.yaml")),
            file,
            log: common.folder.join(format!("{name}.log")),
            callers: *callers,
            readiness: *readiness,
            door,
            _door: door_thread,
            child: None,
        })
    }

    /// Lays the settings file, as it is where it is right.
    pub fn write_file(&self) {
        self.write_text(self.file.to_string().as_bytes());
    }

    fn write_text(&self, text: &[u8]) {
        // A folder that cannot be written to shows when the process starts.
        let _ = std::fs::write(&self.settings, text);
    }

    /// Changes the settings file; `count` tells this change from others.
    pub fn change_file(&mut self, change: FileChange, count: u64) {
        match change {
            FileChange::None => {}
            FileChange::Away => {
                // It may be away already.
                let _ = std::fs::remove_file(&self.settings);
            }
            FileChange::Bad => {
                let mut bad = self.file.clone();
                bad["promises"]["resend_share"] = json!(7.0);
                self.write_text(bad.to_string().as_bytes());
            }
            FileChange::Good | FileChange::Half => {
                self.file["limits"] = json!({ "link_mbps": 100 + count });
                self.file["peer_keys"] = json!([PEER_KEY, format!("soak-{count}")]);
                let text = self.file.to_string();
                let length = match change {
                    FileChange::Half => text.len() / 2,
                    _ => text.len(),
                };
                self.write_text(&text.as_bytes()[..length]);
            }
        }
    }

    /// Starts the process, with a settings file that is right.
    pub fn start(&mut self) -> miette::Result<()> {
        self.write_file();
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .into_diagnostic()?;
        let errors = log.try_clone().into_diagnostic()?;
        let child = Command::new(&self.program)
            .arg("relay")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether its process runs.
    pub fn runs(&mut self) -> bool {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(None)) => true,
            _ => {
                self.child = None;
                false
            }
        }
    }

    /// Sends its process a signal by its name.
    pub fn signal(&mut self, name: &str) {
        let Some(child) = &self.child else {
            return;
        };
        let id = child.id().to_string();
        // A process that has just ended takes no signal; its end is seen at the next look.
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status();
    }

    /// Ends its process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it takes new channels.
    pub fn is_ready(&self) -> bool {
        get_status(self.readiness, "/v1/readiness") == Some(200)
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
