//! Accepts callers' connections, with bounds on their headers, and drains them on a planned stop.

use crate::front::Front;
use crate::routes::routes;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Largest body.
    pub body_bytes: u64,
    /// Longest time in which the headers must have come.
    pub header_time_ms: u64,
}

const READ_BUFFER_BYTES: usize = 16 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers on `listener` until `stop` is cancelled, then until the requests that are in
/// progress have ended. Connections that come while it drains are still served, since the balancer
/// hears of the stop late; `closed` ends that.
pub async fn serve<F: Front>(
    front: F,
    listener: TcpListener,
    limits: ServeLimits,
    stop: CancellationToken,
    closed: CancellationToken,
) {
    let service = TowerToHyperService::new(warp::service(routes(front, limits.body_bytes)));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_time_ms))
        .max_buf_size(READ_BUFFER_BYTES);
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = closed.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else {
            // Most often too many open files: leave time for some to close.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        // A connection that comes late is served too, and ends with the drain.
        let ends_with = if stop.is_cancelled() { &closed } else { &stop };
        let connection = run(builder.clone(), socket, service.clone(), ends_with.clone());
        connections.spawn(connection);
    }
    connections.close();
    connections.wait().await;
}

async fn run<S>(builder: http1::Builder, socket: TcpStream, service: S, stop: CancellationToken)
where
    S: hyper::service::HttpService<hyper::body::Incoming>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    S::ResBody: 'static,
    <S::ResBody as hyper::body::Body>::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = stop.cancelled() => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
