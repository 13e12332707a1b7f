//! A link whose faults can be switched on: it can hold bytes back, or go half-open.

use crate::host::{Host, HostError, listen};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

const BUFFER_BYTES: usize = 16 * 1024;
const HOLD_CHECK: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Faults {
    held: AtomicBool,
    /// Connections made before this one was raised carry nothing any more.
    dead_before: AtomicU64,
    connections: AtomicU64,
}

impl Faults {
    /// Waits while the connection is held. False where it is dead for ever.
    async fn pass(&self, number: u64) -> bool {
        while self.held.load(Ordering::Relaxed) {
            tokio::time::sleep(HOLD_CHECK).await;
        }
        number >= self.dead_before.load(Ordering::Relaxed)
    }
}

/// A link to one address.
pub struct Link {
    address: SocketAddr,
    faults: Arc<Faults>,
    _host: Host,
}

impl Link {
    /// Starts a link to `to`.
    ///
    /// # Errors
    /// [`HostError`].
    pub fn start(to: SocketAddr) -> Result<Self, HostError> {
        let faults = Arc::new(Faults::default());
        let shared = faults.clone();
        let (host, made) = Host::start("standin-link", move || async move {
            let listener = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
            let address = listener.local_addr()?;
            tokio::spawn(async move {
                while let Ok((near, _)) = listener.accept().await {
                    let number = shared.connections.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(carry(near, to, shared.clone(), number));
                }
            });
            Ok::<_, io::Error>(address)
        })?;
        Ok(Self {
            address: made?,
            faults,
            _host: host,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds all bytes back, or lets them pass again.
    pub fn hold(&self, held: bool) {
        self.faults.held.store(held, Ordering::Relaxed);
    }

    /// Leaves the open connections half-open: they stay, and carry nothing any more.
    pub fn go_half_open(&self) {
        let connections = self.faults.connections.load(Ordering::Relaxed);
        self.faults
            .dead_before
            .store(connections, Ordering::Relaxed);
    }
}

async fn carry(near: TcpStream, to: SocketAddr, faults: Arc<Faults>, number: u64) {
    // Where the far side does not listen, the near side sees its connection closed at once.
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = copy(near_read, far_write, &faults, number) => {}
        () = copy(far_read, near_write, &faults, number) => {}
    }
}

async fn copy<R, W>(mut from: R, mut to: W, faults: &Faults, number: u64)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if !faults.pass(number).await {
            std::future::pending::<()>().await;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
