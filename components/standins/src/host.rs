//! Runs a stand-in, or a box in a test, on a runtime of its own. Killing the host drops the runtime
//! and with it every task and socket, as the end of a process would.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc as sync_mpsc;
use std::thread;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::{Builder, Handle};
use tokio::sync::oneshot;

/// Why a host did not start.
#[derive(Debug, Error)]
pub enum HostError {
    /// The runtime or its thread could not be made.
    #[error("cannot start a runtime: {0}")]
    Runtime(#[from] io::Error),
    /// What it was to run ended before it was ready.
    #[error("the hosted process ended at its start")]
    EndedEarly,
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4096;

/// Listens on `address`. Linux hands the no-delay option on to accepted links; without it each first
/// token would come 40 ms late.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A runtime in a thread of its own.
pub struct Host {
    handle: Handle,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Host {
    /// Starts a thread with a runtime, runs `start` on it and returns what it made.
    ///
    /// # Errors
    /// [`HostError`].
    pub fn start<T, F, Fut>(name: &str, start: F) -> Result<(Self, T), HostError>
    where
        T: Send + 'static,
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = T>,
    {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (kill, killed) = oneshot::channel();
        let (send_made, made) = sync_mpsc::sync_channel(1);
        let thread = thread::Builder::new().name(name.into()).spawn(move || {
            runtime.block_on(async move {
                let _ = send_made.send(start().await);
                let _ = killed.await;
            });
            runtime.shutdown_background();
        })?;
        let made = made.recv().map_err(|_| HostError::EndedEarly)?;
        let host = Self {
            handle,
            kill: Some(kill),
            thread: Some(thread),
        };
        Ok((host, made))
    }

    /// The handle of the runtime.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Stops everything on the runtime for `pause`, sockets staying open: what SIGSTOP and SIGCONT do
    /// to a process.
    pub fn pause(&self, pause: Duration) {
        self.handle.spawn(async move { thread::sleep(pause) });
    }

    /// Ends everything on the runtime at once.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        drop(self.kill.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}
