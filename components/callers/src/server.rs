//! Accepts connections of callers, limits their headers and drains them on a graceful shutdown.

use crate::front::Front;
use crate::routes::routes;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Timeout for reading the request headers, in milliseconds.
    pub header_time_ms: u64,
}

const READ_BUFFER_BYTES: usize = 16 * 1024;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves callers on `listener`. When `stop` is cancelled, existing connections are shut down
/// gracefully. New connections are still accepted until `closed` is cancelled, because the load
/// balancer learns of the shutdown with a delay. Returns when all requests in progress have ended.
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
            // The most frequent cause is too many open files; wait until some are closed.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        // A connection accepted while draining is served until `closed`.
        let shutdown = if stop.is_cancelled() { &closed } else { &stop };
        let connection =
            serve_connection(builder.clone(), socket, service.clone(), shutdown.clone());
        connections.spawn(connection);
    }
    connections.close();
    connections.wait().await;
}

async fn serve_connection<S>(
    builder: http1::Builder,
    socket: TcpStream,
    service: S,
    stop: CancellationToken,
) where
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
