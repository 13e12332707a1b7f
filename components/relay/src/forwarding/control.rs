//! Control calls to engines: reports, copies.

use crate::state::Relay;
use bytes::Bytes;
use http1::{Channel, exchange};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for a channel to an engine for control.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for one call. A copy waits for others on its links; an engine that leaves is gone by then.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// One control call to an engine; none where it gave no answer.
pub(crate) async fn send_control_request(
    relay: &Relay,
    address: SocketAddr,
    request: &[u8],
) -> Option<(u16, Bytes)> {
    let channel = Channel::connect(address, CONNECT_TIMEOUT).await;
    let mut channel = match channel {
        Ok(channel) => channel,
        Err(error) => {
            slog::info!(relay.log, "engine not reached for control"; "address" => %address,
                "error" => %error);
            return None;
        }
    };
    match exchange(&mut channel, request, RESPONSE_TIMEOUT).await {
        Ok(answer) => Some((answer.status, answer.body)),
        Err(error) => {
            slog::info!(relay.log, "no answer to a control call"; "address" => %address,
                "error" => %error);
            None
        }
    }
}
