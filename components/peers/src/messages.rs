//! The messages between boxes.

use crate::patch::SettingsPatch;
use prelude::{
    AccountId, Acquittal, Avoided, BoxId, BoxIncarnation, DataCentreId, PermitId, PoolId, Refusal,
    ServiceId, Standing, TargetEnd, TargetId, TargetKey,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A box asks a pool's dispatcher for a permit. Weights follow from the settings, so they are not sent.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcquireRequest {
    /// The pool.
    pub pool: PoolId,
    /// The permit's name.
    pub permit: PermitId,
    /// Who is charged.
    pub account: AccountId,
    /// Kind of request, for the length estimate.
    pub kind: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most it may generate.
    pub max_tokens: u32,
    /// 0 for the most urgent, 9 for the least.
    pub rank: u8,
    /// How long ago its caller came to the box that asks.
    pub waited_ms: u32,
    /// The longest pause between events that its caller takes for in time; none where any is.
    pub pause_goal_ms: Option<u32>,
    /// How long until its first token is due.
    pub wait_left_ms: u32,
    /// How long its caller stays.
    pub caller_left_ms: u32,
    /// Hash and tokens of a prefix that engines may have cached.
    pub prefix: Option<(u64, u32)>,
    /// True length, for the oracle policy.
    pub told_tokens: Option<u32>,
    /// Engines that it is not to be placed on.
    pub avoid: Avoided,
}

/// A dispatcher's word on a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// It may run there.
    Granted {
        /// The engine, in the life that its last report showed.
        target: TargetKey,
    },
    /// It waits.
    Waiting {
        /// Requests before it when it came.
        place: u32,
    },
    /// It is not to be run.
    Refused(Refusal),
    /// The same, with who stood before it.
    RefusedBehind(Refusal, Standing),
}

/// What a box saw of a stream's events since it last told of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapsSeen {
    /// Events that came after another.
    pub events: u16,
    /// Mean time from one event to the next.
    pub mean_ms: u16,
    /// Longest time from one event to the next.
    pub longest_ms: u16,
    /// How slow the engine said work is there, 100 as usual; 0 where it said nothing since.
    pub slowness_percent: u16,
}

/// How far a stream has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamProgress {
    /// Serial number of its permit.
    pub serial: u64,
    /// Tokens generated.
    pub tokens: u32,
    /// How fast it came there.
    pub gaps: GapsSeen,
}

/// A stream that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedStream {
    /// Serial number of its permit.
    pub serial: u64,
    /// Tokens generated.
    pub tokens: u32,
    /// Whether the model ended it.
    pub finished: bool,
    /// How fast its last events came.
    pub gaps: GapsSeen,
}

/// Progress and ends of a box's streams in one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// The pool.
    pub pool: PoolId,
    /// Streams that came further.
    pub progress: Vec<StreamProgress>,
    /// Streams that ended.
    pub ended: Vec<EndedStream>,
    /// The box that reports.
    pub from: BoxId,
    /// Its life, as its permits carry it.
    pub life: u32,
    /// Streams that it has open in the pool.
    pub open_streams: u32,
}

/// Answer to [`UpdateRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateReply {
    /// Whether the dispatcher's ledger differs and must be told all open streams.
    pub resync: bool,
}

/// An open stream, told to a new dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdoptedStream {
    /// What was asked for.
    pub request: AcquireRequest,
    /// Where it runs.
    pub target: TargetId,
    /// Tokens generated.
    pub tokens: u32,
}

/// What an account's requests at one box used in the window before now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsed {
    /// The account.
    pub account: AccountId,
    /// Memory that they held, in tokens times milliseconds.
    pub held_token_ms: u64,
    /// Tokens of the prompts that were begun.
    pub prompt_tokens: u32,
}

/// All that a box tells a dispatcher that is new to it, or that knows other streams of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OpenStreams {
    /// The streams that it has open in the pool.
    pub streams: Vec<AdoptedStream>,
    /// What accounts used there of late, those that used most.
    pub used: Vec<AccountUsed>,
}

/// What a box says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxCard {
    /// Its number.
    pub id: BoxId,
    /// Its life.
    pub life: BoxIncarnation,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Whether it stops.
    pub leaving: bool,
}

/// One value of the settings, at a revision of the platform's service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsValue {
    /// The partner whose branch it is.
    pub partner: String,
    /// The revision at which it was accepted.
    pub revision: u64,
    /// The branch as YAML.
    pub text: String,
}

/// What is said of a target's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum StateOfTarget {
    /// It takes no new work.
    Leaving,
    /// It is dead.
    Gone,
}

/// A word on one life of a target. Words are joined by their maximum, so a life never comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWord {
    /// The target and its life.
    pub target: TargetKey,
    /// What is said.
    pub state: StateOfTarget,
}

/// A notice that is spread to all boxes at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// A target leaves or is dead.
    Target(TargetWord),
    /// A box stops by plan, or says that it runs.
    Box(BoxCard),
    /// A branch of the settings was accepted.
    Settings(SettingsValue),
    /// The same, as the difference from the revision before it.
    SettingsPatch(SettingsPatch),
    /// Targets ended under requests.
    Ends(Vec<TargetEnd>),
    /// Ends are not put down to a request.
    Acquitted(Acquittal),
}

/// What a box knows, in short. Two boxes exchange it and each then gets what it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Who says it.
    pub from: BoxCard,
    /// Revisions of the branches that it has.
    pub revisions: Vec<(String, u64)>,
    /// Targets that it knows to leave or to be dead.
    pub targets: Vec<TargetWord>,
    /// Branches that the other box lacks; empty in the first message.
    pub newer: Vec<SettingsValue>,
    /// The ends under requests that are withheld.
    pub withheld: Vec<TargetEnd>,
}

/// A box asks the writer of a claim slot to record a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The service.
    pub service: ServiceId,
    /// Fingerprint of account and key.
    pub key: u128,
    /// Fingerprint of the request.
    pub request: u64,
    /// The box that will run the call.
    pub claimant: BoxId,
    /// Its life.
    pub life: BoxIncarnation,
    /// Unique to this try.
    pub nonce: u64,
    /// Revision of the claim that it replaces, whose claimant said that it did not run; 0 for none.
    pub replaces_revision: u64,
    /// How long the claim is to be kept.
    pub retention_ms: u64,
    /// How long the claim may wait to be recorded.
    pub wait_left_ms: u32,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// It is recorded: the claimant, and nobody else, may send the call.
    Won {
        /// Revision of the claim.
        revision: u64,
    },
    /// The key was claimed before.
    Taken {
        /// By whom.
        claimant: BoxId,
        /// In which life.
        life: BoxIncarnation,
        /// The try that made it.
        nonce: u64,
        /// Fingerprint of that request.
        request: u64,
        /// Revision of that claim.
        revision: u64,
        /// The outcome, where it is recorded.
        outcome: Option<KeyOutcome>,
    },
    /// It was not recorded, and will not be.
    NotRecorded,
    /// It may have been recorded.
    Unclear,
}

/// A claimant asks the writer of a claim slot to record what became of a call. It may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeRecord {
    /// The claim, as it was made.
    pub claim: ClaimRequest,
    /// Revision of the claim.
    pub revision: u64,
    /// What became of the call.
    pub outcome: KeyOutcome,
}

/// What a claimant knows of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyOutcome {
    /// It ran; this was the answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Type of the body.
        content_type: Option<String>,
        /// The body; none where it was too long to be kept.
        body: Option<Vec<u8>>,
    },
    /// It was not sent, and will not be.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// It is still in progress after the time that was waited.
    InProgress,
    /// This box, in this life, knows nothing of the key.
    NotKnown,
}
