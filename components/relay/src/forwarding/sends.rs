//! What a box knows of each send of a request. From it follows whether a reply may promise that the request did not run.

use crate::ingress::arrival::Arrival;
use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use prelude::BoxId;
use std::cell::RefCell;
use std::fmt;

/// Who a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Receiver {
    Target(TargetSlot),
    /// Another box, which serves the request in place of this one.
    Box(BoxId),
}

/// What is known of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendState {
    /// Bytes of the request may have been received, and nothing shows that it did not run.
    Unclear,
    /// No byte of the request was written.
    Unsent,
    /// The receiver stated, with this status, that the request did not run and will not.
    Refused(u16),
    /// The receiver answered with this status, without such a statement.
    Answered(u16),
}

impl SendState {
    /// Whether the request may have run at the receiver, or may still run there.
    fn may_have_run(self) -> bool {
        matches!(self, Self::Unclear | Self::Answered(_))
    }
}

impl fmt::Display for SendState {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unclear => write!(out, "unclear"),
            Self::Unsent => write!(out, "unsent"),
            Self::Refused(status) => write!(out, "refused {status}"),
            Self::Answered(status) => write!(out, "answered {status}"),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Send {
    receiver: Receiver,
    sent_ms: u64,
    state: SendState,
}

/// All sends of one request.
#[derive(Debug, Default)]
pub(crate) struct SendLog(RefCell<Vec<Send>>);

/// Names one send of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendNumber(usize);

impl SendLog {
    /// Records a send that is about to be written. Until [`SendLog::settle`] it counts as unclear, so that a send that is
    /// cancelled stays so.
    pub(crate) fn begin(&self, receiver: Receiver, sent_ms: u64) -> SendNumber {
        let mut sends = self.0.borrow_mut();
        sends.push(Send {
            receiver,
            sent_ms,
            state: SendState::Unclear,
        });
        SendNumber(sends.len() - 1)
    }

    /// Records what became of a send.
    pub(crate) fn settle(&self, number: SendNumber, state: SendState) {
        if let Some(send) = self.0.borrow_mut().get_mut(number.0) {
            send.state = state;
        }
    }

    /// Whether the request may have run, or may still run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.borrow().iter().any(|send| send.state.may_have_run())
    }

    /// The sends for a log line: receiver, outcome, and time since the arrival of the request, separated by semicolons.
    pub(crate) fn describe(&self, relay: &Relay, arrival: Arrival) -> String {
        let describe = |send: &Send| {
            let receiver = match send.receiver {
                Receiver::Target(slot) => relay.name_of(slot),
                Receiver::Box(id) => format!("box {}", id.0),
            };
            let after_ms = arrival.elapsed_ms(send.sent_ms);
            format!("{receiver} {} sent after {after_ms} ms", send.state)
        };
        let sends: Vec<String> = self.0.borrow().iter().map(describe).collect();
        sends.join("; ")
    }
}
