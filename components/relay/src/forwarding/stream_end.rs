//! How a stream ended, and what its caller still gets of it.

use crate::buffered::deliver::Delivered;
use crate::buffered::unsent::Unsent;
use crate::ingress::accept::After;
use crate::ingress::request::Incoming;
use crate::state::Relay;
use http1::Channel;

/// How a stream ended at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// With its last event.
    Whole,
    /// The caller left.
    CallerLeft,
    /// The caller did not read.
    Unread,
    /// Its time is over.
    TimeOver,
    /// Early.
    Broken(&'static str),
}

impl Ended {
    /// For counters.
    pub(super) fn word(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerLeft => "caller_left",
            Self::Unread => "unread",
            Self::TimeOver => "time_over",
            Self::Broken(_) => "broken",
        }
    }
}

/// Writes what is left of a whole stream, also after its time.
pub(super) async fn deliver_rest(
    relay: &Relay,
    incoming: &Incoming,
    mut unsent: Unsent,
    caller: &mut Channel,
    closes: bool,
) -> After {
    if !incoming.head.old {
        unsent.push(b"0\r\n\r\n", 0);
    }
    let began_ms = relay.now_ms();
    let waits = unsent.write(caller, 0).is_ok() && !unsent.is_empty();
    let delivered = unsent.drain(relay, caller, incoming.id()).await;
    if waits || delivered != Delivered::Whole {
        slog::info!(relay.log, "rest of a generation"; "id" => incoming.id(),
            "end" => ?delivered, "took_ms" => relay.now_ms() - began_ms,
            "after_ms" => relay.now_ms() - incoming.came_ms);
    }
    match delivered {
        Delivered::Whole if closes => After::Close,
        Delivered::Whole => After::Keep,
        Delivered::CallerLeft | Delivered::Unread => After::Drop,
    }
}

/// Writes the events that came before a stream broke off; its end is not written.
pub(super) async fn deliver_part(
    relay: &Relay,
    incoming: &Incoming,
    unsent: Unsent,
    caller: &mut Channel,
) -> After {
    // Whatever becomes of them, the channel closes without the end of the stream.
    let _ = unsent.drain(relay, caller, incoming.id()).await;
    After::Drop
}
