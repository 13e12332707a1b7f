//! Control requests to engines, for reports and for copies of generations.

use crate::state::Relay;
use bytes::Bytes;
use http1::exchange;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for opening a control channel to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one control request. A copy may wait for other copies on its links, but a leaving engine is gone after
/// this time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Sends a control request to an engine. Returns status and body, or none if there was no response.
pub(crate) async fn send_control_request(
    relay: &Relay,
    address: SocketAddr,
    request: &[u8],
) -> Option<(u16, Bytes)> {
    let channel = relay.connect_target(address, CONNECT_TIMEOUT).await;
    let mut channel = match channel {
        Ok(channel) => channel,
        Err(error) => {
            slog::info!(relay.log, "connecting to engine for a control request failed"; "address" => %address,
                "error" => %error);
            return None;
        }
    };
    match exchange(&mut channel, request, RESPONSE_TIMEOUT).await {
        Ok(answer) => Some((answer.status, answer.body)),
        Err(error) => {
            slog::info!(relay.log, "no response to a control request"; "address" => %address,
                "error" => %error);
            None
        }
    }
}
