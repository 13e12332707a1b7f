//! Turns what is known of the sends of a request into the status that its caller gets, on whatever way the reply came about.

use crate::forwarding::sends::SendLog;
use crate::ingress::request::{IncomingRequest, LocalReply, Reply, is_not_run_status};

/// Why a status that promises that a request did not run is not passed on.
pub(crate) const UNVOUCHED_REFUSAL: &str =
    "a target refused without saying that it did not run the request";

/// Retry-After of a request that failed before any target received it.
const UNSENT_RETRY_MS: u64 = 300;

/// A reply that promises that its request did not run if, and only if, that is known. Callers get no other.
pub(crate) struct SettledReply(Reply);

impl SettledReply {
    /// Settles the reply to a request that was read.
    pub(crate) fn new(incoming: &IncomingRequest, mut reply: Reply) -> Self {
        let local = match reply.local {
            Some(local) => Some(local.settle(&incoming.sends)),
            None if is_not_run_status(reply.status) && incoming.sends.may_have_run() => {
                Some(LocalReply::MayHaveRun(UNVOUCHED_REFUSAL))
            }
            None => None,
        };
        if let Some(local) = local.filter(|local| reply.local != Some(*local)) {
            reply = Reply::local(local, incoming.facts.request_id.as_deref());
        }
        Self(reply)
    }

    /// The reply to a request that was not sent, for example because it was not read completely.
    pub(crate) fn rejection(local: LocalReply, id: Option<&str>) -> Self {
        Self(Reply::local(local, id))
    }

    pub(crate) fn status(&self) -> u16 {
        self.0.status
    }

    /// The reason of a reply that the box made itself.
    pub(crate) fn why(&self) -> Option<&'static str> {
        self.0.local.map(LocalReply::why)
    }

    pub(crate) fn into_inner(self) -> Reply {
        self.0
    }
}

impl LocalReply {
    /// This reply if it agrees with the sends of its request. A promise that is not known to be true becomes a failure, and a
    /// failure of a request that certainly did not run becomes a promise.
    pub(crate) fn settle(self, sends: &SendLog) -> Self {
        match (self.leaves_run_open(), sends.may_have_run()) {
            (false, true) if is_not_run_status(self.status()) => Self::MayHaveRun(self.why()),
            (true, false) => Self::NotRun {
                why: self.why(),
                retry_after_ms: UNSENT_RETRY_MS,
            },
            _ => self,
        }
    }
}
