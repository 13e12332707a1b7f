//! Answers the platform's question whether this box takes new channels.

use crate::state::Relay;
use http1::{Channel, Headers, Listener, ResponseHead};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest head of a question.
const HEAD_BYTES_MAX: usize = 8 * 1024;
/// A question channel that rests longer is closed.
const REST_LIMIT: Duration = Duration::from_secs(30);

/// Answers until the box ends.
pub(crate) async fn serve(relay: Rc<Relay>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = relay.closed.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok(channel) = accepted {
            tokio::task::spawn_local(answer_all(relay.clone(), channel));
        }
    }
}

async fn answer_all(relay: Rc<Relay>, mut channel: Channel) {
    while let Ok(Ok(Some(head))) = timeout(REST_LIMIT, channel.request(HEAD_BYTES_MAX)).await {
        let path = head.target.split('?').next().unwrap_or_default();
        let status = match (path == platform::READINESS_PATH, relay.is_ready()) {
            (true, true) => 200,
            (true, false) => 503,
            (false, _) => 404,
        };
        let mut answer = ResponseHead::start(status, &Headers::default());
        answer.extend_from_slice(b"Content-Length: 0\r\n\r\n");
        if channel.write(&answer).await.is_err() {
            return;
        }
    }
}
