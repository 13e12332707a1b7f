//! Control requests to engines, for reports and for copies of generations.

use crate::state::Relay;
use bytes::Bytes;
use http1::{AnswerLimits, exchange};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Timeout for opening a control channel to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one control request. A copy may wait for other copies on its links, but a leaving engine is gone after
/// this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Size limit of a response's body. Reports and names of copies are much shorter.
const RESPONSE_BYTES_MAX: usize = 1024 * 1024;

/// Why a control request has no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum ControlError {
    /// No channel could be opened.
    #[error("not sent")]
    NotSent,
    /// The engine may have carried the request out, or may yet do so.
    #[error("no answer")]
    NoAnswer,
}

/// Sends a control request to an engine. Returns status and body.
///
/// # Errors
/// [`ControlError`].
pub(crate) async fn send_control_request(
    relay: &Relay,
    address: SocketAddr,
    request: &[u8],
) -> Result<(u16, Bytes), ControlError> {
    let channel = relay.connect_target(address, CONNECT_TIMEOUT).await;
    let mut channel = match channel {
        Ok(channel) => channel,
        Err(error) => {
            slog::info!(relay.log, "connecting to engine for a control request failed"; "address" => %address,
                "error" => %error);
            return Err(ControlError::NotSent);
        }
    };
    let limits = AnswerLimits {
        time: RESPONSE_TIMEOUT,
        body_bytes: RESPONSE_BYTES_MAX,
    };
    match exchange(&mut channel, request, limits).await {
        Ok(answer) => Ok((answer.status, answer.body)),
        Err(error) => {
            slog::info!(relay.log, "no response to a control request"; "address" => %address,
                "error" => %error);
            Err(ControlError::NoAnswer)
        }
    }
}
