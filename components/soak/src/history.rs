//! What callers saw, what was done to boxes, and what came out.

use crate::refusals::RefusalCounts;
use fleet::caller::Response;
use serde::Serialize;
use std::collections::HashMap;

/// What a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A call that may run again.
    Repeatable,
    /// A call that may run once.
    Once,
    /// A generation.
    Stream,
}

/// Whose key a call carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Key {
    /// One that always holds.
    Kept,
    /// One that the operator takes away and gives back.
    Toggled,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Nobody listened.
    NoChannel,
    /// The channel was closed, or silent for too long, before an answer began.
    Cut,
    /// An answer began.
    Answered(Response),
}

/// One call of one caller. Times are since the run began.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub id: String,
    pub kind: Kind,
    pub key: Key,
    /// The box it was sent to.
    pub at: usize,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub outcome: Outcome,
}

/// What was done to a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// It was killed, or paused.
    Broken,
    /// It had ended by plan, and was not started again yet.
    Ended,
    /// Its way to the store was troubled.
    Store,
}

/// A time in which something was done to a box.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbed {
    pub trouble: Trouble,
    /// Which box; all where none is named.
    pub at: Option<usize>,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// A request that a target began on, as the checks need it.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub id: String,
    pub target: String,
    /// Which of the lives under that name.
    pub life: u64,
    pub kind: Kind,
    pub at_ms: u64,
    pub ran: bool,
    /// The pause that the target asked for with its answer.
    pub pause_ms: Option<u64>,
    /// The box that sent it to the target, which is another one than its caller's where it was relayed.
    pub from_box: Option<usize>,
}

/// A life of a target of which the store said that it leaves.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    pub target: String,
    pub life: u64,
    pub told_ms: u64,
}

/// A target whose entry could not be read, for a time.
#[derive(Clone, Debug)]
pub(crate) struct Garbled {
    pub target: String,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// A data centre to whose targets nothing new was to go, for a time.
#[derive(Clone, Debug)]
pub(crate) struct Evacuated {
    pub data_centre: &'static str,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// A rate limit that a life of a target announced in its answers, for a time.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncedLimit {
    pub target: String,
    pub life: u64,
    pub limit_per_s: f64,
    pub from_ms: u64,
    pub until_ms: u64,
}

/// A life of a target whose answers say that it leaves, from a time on.
#[derive(Clone, Debug)]
pub(crate) struct SaysItLeaves {
    pub target: String,
    pub life: u64,
    pub from_ms: u64,
}

/// A time in which the link before a target had trouble.
#[derive(Clone, Debug)]
pub(crate) struct TroubledLink {
    pub target: String,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Whether the toggled key holds, from a time on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyChange {
    pub holds: bool,
    pub told_ms: u64,
}

/// All that one run left behind.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// Whether plain targets refused calls while boxes were killed in series.
    pub has_refusals: bool,
    pub calls: Vec<Call>,
    pub arrivals: Vec<Arrival>,
    pub disturbed: Vec<Disturbed>,
    /// Planned stops: the box, and when it was asked to stop.
    pub stops: Vec<(usize, u64)>,
    /// The calls with a prompt part that crashes engines; they are among all calls, too.
    pub fatal_calls: Vec<Call>,
    /// When engines crashed under them.
    pub engine_crashes: Vec<u64>,
    /// Times in which engines broke streams off.
    pub crashes: Vec<(u64, u64)>,
    pub leaving: Vec<Leaving>,
    pub garbled: Vec<Garbled>,
    pub limits: Vec<AnnouncedLimit>,
    pub say_they_leave: Vec<SaysItLeaves>,
    pub troubled_links: Vec<TroubledLink>,
    pub evacuated: Vec<Evacuated>,
    /// Where each target stands.
    pub places: HashMap<String, &'static str>,
    pub key_changes: Vec<KeyChange>,
    /// Callers that met an answer that cannot be read.
    pub unreadable: usize,
    /// Events of a whole stream.
    pub events: u32,
    /// Whether calls were served within the time after the loss of all boxes.
    pub served_again: bool,
    /// Whether all boxes refused calls, within the bound, once no target had an entry that can be read.
    pub refused_unreadable: bool,
    /// Whether calls were served once all targets had started again under their names.
    pub served_by_next_lives: bool,
    /// What a machine that stalls is allowed beyond each bound, in milliseconds.
    pub slack_ms: u64,
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Broken {
    /// Which.
    pub promise: &'static str,
    /// How.
    pub what: String,
}

/// What one run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Calls that were made.
    pub calls: usize,
    /// Calls that were answered with success.
    pub served: usize,
    /// Calls that were refused, by kind.
    pub refusals: Vec<RefusalCounts>,
    /// What was done, in words.
    pub steps: Vec<String>,
    /// What was broken.
    pub broken: Vec<Broken>,
    /// Where the logs of the boxes lie; none where nothing was broken.
    pub logs: Option<String>,
}
