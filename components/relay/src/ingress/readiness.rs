//! Serves the platform's readiness checks: whether this box accepts new channels.

use crate::state::Relay;
use http1::{Channel, Headers, Listener, ResponseHead};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Timeout for the next readiness check on a channel.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves readiness checks until the process ends.
pub(crate) async fn serve(relay: Rc<Relay>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = relay.closed.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok(channel) = accepted {
            tokio::task::spawn_local(serve_channel(relay.clone(), channel));
        }
    }
}

async fn serve_channel(relay: Rc<Relay>, mut channel: Channel) {
    while let Ok(Ok(Some(head))) = timeout(IDLE_TIMEOUT, channel.request(MAX_HEAD_BYTES)).await {
        let path = head.target.split('?').next().unwrap_or_default();
        let status = match (path == platform::READINESS_PATH, relay.is_ready()) {
            (true, true) => 200,
            (true, false) => 503,
            (false, _) => 404,
        };
        let mut response = ResponseHead::start(status, &Headers::default());
        response.extend_from_slice(b"Content-Length: 0\r\n\r\n");
        if channel.write(&response).await.is_err() {
            return;
        }
    }
}
