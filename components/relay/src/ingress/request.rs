//! A caller's request on this box, its resolved route, and replies.

use crate::buffered::BufferReservation;
use crate::forwarding::sends::SendLog;
use crate::ingress::arrival::Arrival;
use crate::state::Declared;
use bytes::Bytes;
use http1::RequestHead;
use prelude::{AccountId, PartKey, RequestKey};
use routing::{GenerationRequest, RequestFacts, Route, RouteKey, ServiceKey};
use std::cell::Cell;
use std::rc::Rc;

/// A request that was read completely.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub head: RequestHead,
    pub facts: RequestFacts,
    pub body: Bytes,
    /// Identifies the request by its content, the same for all retries.
    pub key: RequestKey,
    /// The prompt parts that other requests may share.
    pub parts: Box<[PartKey]>,
    /// It is sent to find out whether targets survive it.
    pub is_on_trial: Cell<bool>,
    /// Reserves memory for the body.
    pub _memory: BufferReservation,
    pub arrival: Arrival,
    /// Another box relays the request, so this one does not.
    pub is_relayed: bool,
    /// The version of the declarations by which it was admitted.
    pub declared_version: u64,
    /// Its sends so far.
    pub sends: SendLog,
}

/// Route, service and account of a request, by the declarations that were in force when it was read.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedRoute {
    pub declared: Rc<Declared>,
    pub route: RouteKey,
    pub service: ServiceKey,
    pub account: Option<u32>,
}

impl ResolvedRoute {
    pub(crate) fn route(&self) -> &Route {
        self.declared.table.route(self.route)
    }

    pub(crate) fn service(&self) -> &routing::Service {
        self.declared.table.service(self.service)
    }

    /// The account's name, as it is sent to targets.
    pub(crate) fn account_name(&self) -> Option<&str> {
        let account = &self.declared.table.accounts[self.account? as usize];
        Some(&account.name)
    }

    pub(crate) fn account_id(&self) -> AccountId {
        self.account_name()
            .map_or(AccountId::default(), AccountId::from_name)
    }

    /// The rank of the request; 0 is the most urgent. The rank of the account takes precedence over that of the route.
    pub(crate) fn rank(&self) -> u8 {
        let account_rank = self.account.and_then(|at| {
            let account = &self.declared.table.accounts[at as usize];
            account.rank
        });
        account_rank.unwrap_or(self.route().rank)
    }
}

impl IncomingRequest {
    pub(crate) fn id(&self) -> &str {
        self.facts.request_id.as_deref().unwrap_or_default()
    }

    /// The ids of the prompt parts that other requests may share, for logs: hexadecimal, separated by commas.
    pub(crate) fn shared_part_ids(&self) -> String {
        let generation = self.facts.generation.as_ref();
        let parts = generation.map_or(&[][..], GenerationRequest::shared_parts);
        let ids: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
        ids.join(",")
    }

    /// The request's deadline: the end of the caller's wait or of the route's hold limit, whichever is earlier.
    pub(crate) fn deadline_ms(&self, route: &Route) -> u64 {
        let caller = self.facts.wait_limit_ms.unwrap_or(route.hold_limit_ms);
        self.arrival.plus_ms(caller.min(route.hold_limit_ms))
    }

    /// The time (ms) left for a target until the request's deadline, at least 1.
    pub(crate) fn remaining_ms(&self, route: &Route, now_ms: u64) -> u64 {
        self.deadline_ms(route).saturating_sub(now_ms).max(1)
    }
}

/// The statuses that promise that a request did not run and will not.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether a status promises that a request did not run and will not.
pub(crate) fn is_not_run_status(status: u16) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// A reply that the box makes itself instead of forwarding a target's, by its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LocalReply {
    /// The request is malformed.
    BadRequest(&'static str),
    /// The request's key belongs to no account.
    NoAccount,
    /// No route matches the request.
    NoRoute,
    /// The head was not received in time.
    SlowHead,
    /// The body exceeds the size limit.
    BodyTooLong,
    /// The head exceeds the size limit.
    HeadTooLong,
    /// The request did not run and will not.
    NotRun {
        why: &'static str,
        retry_after_ms: u64,
    },
    /// Not run: the request, or a part of its prompt, is quarantined because several targets crashed under it. It has no
    /// Retry-After because the end of the quarantine is unknown.
    Withheld,
    /// Not run: this box reaches no target for a request that another box relays.
    Unreachable,
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The deadline passed; the request may have run.
    DeadlineExceeded,
}

impl LocalReply {
    pub(crate) fn status(self) -> u16 {
        match self {
            Self::BadRequest(_) => 400,
            Self::NoAccount => 401,
            Self::NoRoute => 404,
            Self::SlowHead => 408,
            Self::BodyTooLong => 413,
            Self::HeadTooLong => 431,
            Self::NotRun { .. } | Self::Withheld | Self::Unreachable => 503,
            Self::MayHaveRun(_) => 502,
            Self::DeadlineExceeded => 504,
        }
    }

    pub(crate) fn why(self) -> &'static str {
        match self {
            Self::BadRequest(why) | Self::NotRun { why, .. } | Self::MayHaveRun(why) => why,
            Self::NoAccount => "the key belongs to no account",
            Self::NoRoute => "no route takes this host and path",
            Self::SlowHead => "the head took too long",
            Self::BodyTooLong => "the body is too long",
            Self::HeadTooLong => "the head is too long",
            Self::Unreachable => "this box reaches no target",
            Self::Withheld => "targets end under this request",
            Self::DeadlineExceeded => "the time of the request is over",
        }
    }

    /// Whether the reply leaves open if the request ran.
    pub(crate) fn leaves_run_open(self) -> bool {
        matches!(self, Self::MayHaveRun(_) | Self::DeadlineExceeded)
    }

    /// The `run` field of the error body: whether the request certainly did not run.
    fn run_status(self) -> &'static str {
        match self.leaves_run_open() {
            true => "unknown",
            false => "not_run",
        }
    }

    pub(crate) fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NotRun { retry_after_ms, .. } => Some(retry_after_ms),
            _ => None,
        }
    }

    pub(crate) fn body(self) -> Bytes {
        let text = serde_json::json!({
            "error": { "message": self.why(), "run": self.run_status(),
                "retry_after_ms": self.retry_after_ms() }
        });
        text.to_string().into()
    }
}

/// A complete response to a caller.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub status: u16,
    /// Status line and header fields, without framing and the empty line.
    pub head: Vec<u8>,
    pub body: Bytes,
    /// Set for a reply that the box made itself; none for a target's.
    pub local: Option<LocalReply>,
    /// Reserves memory for the body; none for the box's own short replies.
    pub memory: Option<Rc<BufferReservation>>,
}

impl Reply {
    pub(crate) fn local(local: LocalReply, request_id: Option<&str>) -> Self {
        Self {
            status: local.status(),
            head: match local {
                LocalReply::Unreachable => {
                    platform::unreachable_reply_head(local.status(), request_id, None)
                }
                _ => platform::local_reply_head(local.status(), request_id, local.retry_after_ms()),
            },
            body: local.body(),
            local: Some(local),
            memory: None,
        }
    }

    /// The complete head, the body, and the memory reserved for the body.
    pub(crate) fn into_parts(
        mut self,
        closes_channel: bool,
    ) -> (Vec<u8>, Bytes, Option<Rc<BufferReservation>>) {
        let length = self.body.len();
        self.head
            .extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        if closes_channel {
            self.head.extend_from_slice(b"Connection: close\r\n");
        }
        self.head.extend_from_slice(b"\r\n");
        (self.head, self.body, self.memory)
    }
}
