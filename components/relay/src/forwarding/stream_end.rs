//! How a stream ended, and the delivery of its buffered events to the caller.

use crate::buffered::deliver::Delivered;
use crate::buffered::unsent::Unsent;
use crate::ingress::accept::ChannelAction;
use crate::ingress::request::IncomingRequest;
use crate::state::Relay;
use http1::Channel;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The engine sent the last event.
    Whole,
    /// The caller disconnected.
    CallerLeft,
    /// The caller stopped reading.
    Unread,
    /// The caller's deadline passed.
    TimeOver,
    /// The stream broke off.
    Broken(&'static str),
}

impl StreamEnd {
    /// The metric label of the outcome.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerLeft => "caller_left",
            Self::Unread => "unread",
            Self::TimeOver => "time_over",
            Self::Broken(_) => "broken",
        }
    }
}

/// Writes the remaining events of a complete stream to the caller, even after the deadline.
pub(super) async fn deliver_remaining(
    relay: &Relay,
    incoming: &IncomingRequest,
    mut unsent: Unsent,
    caller: &mut Channel,
    closes_channel: bool,
) -> ChannelAction {
    if !incoming.head.old {
        unsent.push(b"0\r\n\r\n", 0);
    }
    let started_ms = relay.now_ms();
    let was_blocked = unsent.write(caller, 0).is_ok() && !unsent.is_empty();
    let delivered = unsent.drain(relay, caller, incoming.id()).await;
    if was_blocked || delivered != Delivered::Whole {
        slog::info!(relay.log, "rest of a generation"; "id" => incoming.id(),
            "end" => ?delivered, "took_ms" => relay.now_ms() - started_ms,
            "after_ms" => incoming.arrival.elapsed_ms(relay.now_ms()));
    }
    if delivered == Delivered::Whole {
        caller.set_reset_on_close(false);
    }
    match delivered {
        Delivered::Whole if closes_channel => ChannelAction::Close,
        Delivered::Whole => ChannelAction::Keep,
        Delivered::CallerLeft | Delivered::Unread => ChannelAction::Drop,
    }
}

/// Writes the events received before a stream broke off, without the end of the stream.
pub(super) async fn deliver_partial(
    relay: &Relay,
    incoming: &IncomingRequest,
    unsent: Unsent,
    caller: &mut Channel,
) -> ChannelAction {
    // Whether or not they are delivered, the channel closes without the terminating chunk.
    let _ = unsent.drain(relay, caller, incoming.id()).await;
    ChannelAction::Drop
}
