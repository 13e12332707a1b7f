//! Calls that have the source copy a generation to its target. A call that is not answered is repeated beside the first: its
//! answer may be lost, and the source names the copy to each call.

use crate::forwarding::control::ControlError;
use crate::migration::job::{JobStep, MigrationJob};
use crate::state::Relay;
use platform::CopyReply;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep_until};

/// A call is repeated after this time without an answer: several times that of a usual copy.
const REPEAT_AFTER: Duration = Duration::from_millis(1_000);
/// The same for an order to stop once the source has closed the stream: only the rest of the copy is awaited.
const REPEAT_AFTER_CLOSE: Duration = Duration::from_millis(200);
/// Pause before a call is repeated whose answer settles nothing. It doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// What the reader of a generation's stream lets its migration know.
#[derive(Debug, Default)]
pub(super) struct SourceStream {
    is_closed: Cell<bool>,
    closed: Notify,
    is_resumed: Cell<bool>,
}

impl SourceStream {
    pub(super) fn mark_closed(&self) {
        self.is_closed.set(true);
        self.closed.notify_waiters();
    }

    /// Records that the generation resumed from a copy, which therefore must not be freed.
    pub(super) fn mark_resumed(&self) {
        self.is_resumed.set(true);
    }

    pub(super) fn is_resumed(&self) -> bool {
        self.is_resumed.get()
    }
}

pub(super) type CallReply = Result<CopyReply, ControlError>;

/// The calls for one copy.
pub(super) struct CopyCalls<'a> {
    relay: &'a Rc<Relay>,
    job: &'a MigrationJob,
    target: SocketAddr,
    /// The calls order the source to stop the generation.
    is_final: bool,
    /// Its reader is the reader of the stream: no call is repeated once that is gone.
    steps: &'a mpsc::UnboundedSender<JobStep>,
    sender: mpsc::UnboundedSender<CallReply>,
    replies: mpsc::UnboundedReceiver<CallReply>,
    count: u32,
    /// Calls without a reply so far.
    outstanding: u32,
    /// Calls whose reply leaves open what became of them.
    unsettled: u32,
    pause: Duration,
    repeat_at: Instant,
}

impl<'a> CopyCalls<'a> {
    /// Sends the first call.
    pub(super) fn start(
        relay: &'a Rc<Relay>,
        job: &'a MigrationJob,
        target: SocketAddr,
        is_final: bool,
        steps: &'a mpsc::UnboundedSender<JobStep>,
    ) -> Self {
        let (sender, replies) = mpsc::unbounded_channel();
        let mut calls = Self {
            relay,
            job,
            target,
            is_final,
            steps,
            sender,
            replies,
            count: 0,
            outstanding: 0,
            unsettled: 0,
            pause: FIRST_PAUSE,
            repeat_at: Instant::now(),
        };
        calls.call();
        calls
    }

    /// Number of calls so far.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Whether a call, other than that of the last reply, may have been carried out or may yet be.
    pub(super) fn has_open_call(&self) -> bool {
        self.outstanding > 0 || self.unsettled > 0
    }

    /// Records that the last reply leaves open what became of its call, and has a call repeated after a pause.
    pub(super) fn record_unsettled(&mut self) {
        self.unsettled += 1;
        self.repeat_after_pause();
    }

    /// Has a call repeated after a pause.
    pub(super) fn repeat_after_pause(&mut self) {
        self.repeat_at = Instant::now() + self.pause;
        self.pause = MAX_PAUSE.min(self.pause * 2);
    }

    /// Waits for the next reply; none if the reader of the stream is gone and no reply is due.
    pub(super) async fn next_reply(&mut self) -> Option<CallReply> {
        let stream = self.job.stream.clone();
        loop {
            if self.outstanding == 0 && self.steps.is_closed() {
                return None;
            }
            let awaits_close = self.is_final && !stream.is_closed.get();
            tokio::select! {
                biased;
                reply = self.replies.recv() => {
                    self.outstanding -= 1;
                    return reply;
                }
                () = stream.closed.notified(), if awaits_close => {
                    let repeat_at = Instant::now() + REPEAT_AFTER_CLOSE;
                    self.repeat_at = self.repeat_at.min(repeat_at);
                }
                () = sleep_until(self.repeat_at) => self.repeat(),
            }
        }
    }

    fn repeat(&mut self) {
        match self.steps.is_closed() {
            true => self.repeat_at = Instant::now() + REPEAT_AFTER,
            false => self.call(),
        }
    }

    fn call(&mut self) {
        let is_closed = self.is_final && self.job.stream.is_closed.get();
        let patience = match is_closed {
            true => REPEAT_AFTER_CLOSE * (self.count + 1),
            false => REPEAT_AFTER,
        };
        self.repeat_at = Instant::now() + patience;
        self.count += 1;
        self.outstanding += 1;
        let (relay, job, sender) = (self.relay.clone(), self.job.clone(), self.sender.clone());
        let (target, is_final) = (self.target, self.is_final);
        tokio::task::spawn_local(async move {
            // A reply that nobody awaits any more is of no use.
            let _ = sender.send(job.copy(&relay, target, is_final).await);
        });
    }
}
