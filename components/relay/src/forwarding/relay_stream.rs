//! Forwards the answer of another box to a generation that this box has relayed there.

use crate::buffered::deliver::wait_writable;
use crate::buffered::unsent::Unsent;
use crate::forwarding::open_response::OpenResponse;
use crate::forwarding::relay::{
    NO_HELPER_REPLY, OpenRelay, RelayResult, open_at_helper, relay_time_left,
};
use crate::forwarding::retries::RetryTicket;
use crate::forwarding::stream_end::{StreamEnd, deliver_partial, deliver_remaining};
use crate::ingress::accept::{ChannelAction, log_refusal};
use crate::ingress::request::{IncomingRequest, LocalReply, ResolvedRoute, is_not_run_status};
use crate::ingress::settled::UNVOUCHED_REFUSAL;
use crate::state::Relay;
use http1::{Channel, push_chunk};
use platform::forwarded_response_head;
use std::rc::Rc;
use tokio::time::{Instant, sleep_until};

/// How a relayed generation ended.
pub(super) enum RelayedEnd {
    /// An answer, or a part of it, was written to the caller.
    Delivered(ChannelAction),
    /// Nothing was written to the caller yet.
    LocalReply(LocalReply),
}

/// Relays a generation, and forwards the answer as it arrives.
pub(super) async fn relay_generation(
    relay: &Rc<Relay>,
    caller: &mut Channel,
    incoming: &IncomingRequest,
    resolved: &ResolvedRoute,
    retry: Option<&RetryTicket>,
) -> RelayedEnd {
    let opened = tokio::select! {
        opened = open_at_helper(relay, incoming, resolved, retry) => opened,
        () = caller.gone() => return RelayedEnd::Delivered(ChannelAction::Drop),
    };
    match opened {
        RelayResult::Answered(response, open_relay) => {
            let stream = RelayedStream::new(relay, incoming, resolved, open_relay);
            stream.run(caller, *response).await
        }
        RelayResult::NoHelper => RelayedEnd::LocalReply(NO_HELPER_REPLY),
        RelayResult::MayHaveRun(why) => RelayedEnd::LocalReply(LocalReply::MayHaveRun(why)),
    }
}

/// The answer of another box on its way to the caller.
struct RelayedStream<'a> {
    relay: &'a Rc<Relay>,
    incoming: &'a IncomingRequest,
    unsent: Unsent,
    deadline: Instant,
    open_relay: OpenRelay,
    is_head_written: bool,
}

impl<'a> RelayedStream<'a> {
    fn new(
        relay: &'a Rc<Relay>,
        incoming: &'a IncomingRequest,
        resolved: &ResolvedRoute,
        open_relay: OpenRelay,
    ) -> Self {
        Self {
            relay,
            incoming,
            unsent: Unsent::new(&relay.memory, resolved.account_id()),
            deadline: Instant::now() + relay_time_left(relay, incoming, resolved),
            open_relay,
            is_head_written: false,
        }
    }

    async fn run(mut self, caller: &mut Channel, mut response: OpenResponse) -> RelayedEnd {
        let closes_channel = self.relay.should_close_channel() || self.incoming.head.old;
        let status = response.head.status;
        if is_not_run_status(status) && self.incoming.sends.may_have_run() {
            return RelayedEnd::LocalReply(LocalReply::MayHaveRun(UNVOUCHED_REFUSAL));
        }
        if is_not_run_status(status) {
            log_refusal(self.relay, self.incoming, status, "receiver", None);
        }
        let end = self.forward(caller, &mut response, closes_channel).await;
        slog::info!(self.relay.log, "relayed generation ended"; "id" => self.incoming.id(),
            "end" => ?end, "status" => response.head.status,
            "unsent_bytes_most" => self.unsent.peak_bytes(),
            "after_ms" => self.incoming.arrival.elapsed_ms(self.relay.now_ms()));
        let action = match end {
            StreamEnd::Whole => {
                let Self {
                    relay,
                    incoming,
                    unsent,
                    ..
                } = self;
                deliver_remaining(relay, incoming, unsent, caller, closes_channel).await
            }
            StreamEnd::CallerLeft | StreamEnd::Unread => ChannelAction::Drop,
            _ if self.is_head_written => {
                deliver_partial(self.relay, self.incoming, self.unsent, caller).await
            }
            StreamEnd::TimeOver => return RelayedEnd::LocalReply(LocalReply::DeadlineExceeded),
            StreamEnd::Broken(why) => return RelayedEnd::LocalReply(LocalReply::MayHaveRun(why)),
        };
        RelayedEnd::Delivered(action)
    }

    async fn forward(
        &mut self,
        caller: &mut Channel,
        response: &mut OpenResponse,
        closes_channel: bool,
    ) -> StreamEnd {
        loop {
            let wants_write = !self.unsent.is_empty();
            let wants_read = self.unsent.can_read();
            tokio::select! {
                biased;
                is_connected = wait_writable(caller, wants_write) => {
                    if !is_connected || self.unsent.write(caller, 0).is_err() {
                        return StreamEnd::CallerLeft;
                    }
                }
                () = sleep_until(self.deadline) => return StreamEnd::TimeOver,
                () = sleep_until(self.unsent.next_check_at()), if wants_write => {
                    if self.unsent.is_caller_stalled(self.relay, self.incoming.id()) {
                        return StreamEnd::Unread;
                    }
                }
                () = self.unsent.wait_for_room(), if !wants_read => {}
                piece = response.next(), if wants_read => match piece {
                    Ok(Some(data)) => {
                        self.write_head(caller, response, closes_channel);
                        self.push(&data);
                        if self.unsent.write(caller, 0).is_err() {
                            return StreamEnd::CallerLeft;
                        }
                    }
                    Ok(None) => {
                        self.write_head(caller, response, closes_channel);
                        return StreamEnd::Whole;
                    }
                    Err(why) => return StreamEnd::Broken(why),
                },
            }
        }
    }

    fn write_head(&mut self, caller: &Channel, response: &OpenResponse, closes_channel: bool) {
        if std::mem::replace(&mut self.is_head_written, true) {
            return;
        }
        let mut head = forwarded_response_head(&response.head);
        match self.incoming.head.old {
            false => head.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
            // Only the close of the channel tells the caller that the answer is whole.
            true => caller.set_reset_on_close(true),
        }
        if closes_channel {
            head.extend_from_slice(b"Connection: close\r\n");
        }
        head.extend_from_slice(b"\r\n");
        self.unsent.push(&head, 0);
    }

    fn push(&mut self, data: &[u8]) {
        self.open_relay.count_bytes(data.len());
        if self.incoming.head.old {
            return self.unsent.push(data, 0);
        }
        let mut chunk = Vec::with_capacity(data.len() + 16);
        push_chunk(&mut chunk, data);
        self.unsent.push(&chunk, 0);
    }
}
