//! The calls between the boxes of a platform's fleet: what each knows of the operators' declarations, of
//! targets and of boxes, and permits for generations.

use crate::messages::{AcquireRequest, OpenStreams, PermitReply, UpdateReply, UpdateRequest};
use crate::rates::{RateTokenReply, RateTokenRequest, TargetRate};
use crate::retries::{LentRetries, RetryLoanRequest};
use crate::targets::{TargetChanges, TargetPatch, TargetSummary};
use prelude::{Acquittal, BoxId, PermitId, PoolId, TargetEnd, TargetId, Version};
use routing::{Evacuations, TargetLife};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use tarpc::context::Context;

/// What a box says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCard {
    /// Its key, made from its name.
    pub id: BoxId,
    /// Drawn at each start of its process: tells one life from another.
    pub life: u32,
    /// Its name.
    pub name: Box<str>,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Where callers reach it, and boxes that relay requests; none in a key that an earlier version wrote.
    #[serde(default)]
    pub callers_address: Option<SocketAddr>,
    /// The data centre it stands in.
    pub data_centre: Box<str>,
    /// Whether it stops.
    pub leaving: bool,
    /// Bandwidth of its link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: u32,
}

/// A time on the clock of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Which process it is, by [`FleetCard::life`].
    pub incarnation: u32,
    /// Milliseconds since the clock began; negative before that.
    pub at_ms: i64,
}

/// What a box knows, in short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    /// Who says it.
    pub from: FleetCard,
    /// The clock of its process when this was made, in ms.
    pub clock_ms: u64,
    /// The same time or an earlier one, on the clock of the receiver; none if the sender does not know that clock. Ages count
    /// from then.
    pub made_at: Option<ClockReading>,
    /// Version of the declarations that it has; 0 for none.
    pub table_version: u64,
    /// The store's version of the last change of targets that it knows.
    pub targets_changed_at: Version,
    /// How long ago, at most, the store confirmed that these declarations are the newest, in ms; none where that isn't known.
    pub table_age_ms: Option<u32>,
    /// The store's version up to which it knows all targets.
    pub targets_current_to: Version,
    /// How long ago, at most, the store confirmed that its view of targets is current, in ms; none where that isn't known.
    pub targets_age_ms: Option<u32>,
    /// Data centres that operators have evacuated, as far as it knows.
    pub evacuations: Evacuations,
    /// For how long the store's lists may still be stale after its era rose, in ms; 0 if they are not.
    pub settles_in_ms: u32,
    /// Other boxes that it knows.
    pub boxes: u32,
}

/// The operators' declarations as they lie in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedTable {
    /// Their version.
    pub version: u64,
    /// Their text, packed by DEFLATE.
    pub packed: Vec<u8>,
}

/// What a box tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetGossip {
    /// What the sender knows, in short.
    pub digest: FleetDigest,
    /// Whether the sender follows the store at this moment.
    pub follows_store: bool,
    /// Whether the sender asks all engines whether they leave, because the store does not say.
    pub asks_engines: bool,
    /// The declarations, where the other has none or older ones.
    pub table: Option<SharedTable>,
    /// Where the sender's list of targets differs from the other's, which knows less.
    pub target_patch: Option<TargetPatch>,
    /// What the sender has just learnt of targets.
    pub target_changes: Option<TargetChanges>,
    /// Lives of targets that the sender knows to leave, from the store, from themselves or because nothing
    /// listens there any more.
    pub leaving: Vec<TargetLife>,
    /// Rate limits that targets announced, those that the sender knows or some of them.
    pub rates: Vec<TargetRate>,
    /// Boxes that the receiver is to pass this on to, with their addresses: it may not have met them yet.
    pub pass_on: Vec<(BoxId, SocketAddr)>,
    /// Boxes that the sender knows, or some of them; empty where the other knows as many.
    pub boxes: Vec<FleetCard>,
}

/// Asks a box for what the asker lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// What the asker knows.
    pub digest: FleetDigest,
    /// Its list of targets, in short; none where it does not ask for targets.
    pub targets: Option<TargetSummary>,
}

/// A running generation is to go on elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelocateRequest {
    /// The pool.
    pub pool: PoolId,
    /// Its permit.
    pub permit: PermitId,
    /// The engine that it runs on and that leaves.
    pub from: TargetId,
    /// Engines that had no room or no way.
    pub avoid: Vec<TargetId>,
    /// The engine serves what it has: the generation goes only where there is ample room.
    pub may_stay: bool,
}

/// A dispatcher's word on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelocateReply {
    /// It goes there, now.
    Go(TargetId),
    /// Others go first.
    Wait,
    /// No engine has room.
    NoRoom,
    /// The permit is not known here.
    NotKnown,
}

/// What a box just saw of a target of plain calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HintWord {
    /// How long work takes there now, 100 as usual, by the target's own word.
    Slowness(u32),
    /// It gave no answer.
    NoAnswer,
    /// It turned a request away and asked the box for a pause.
    TurnedAway,
    /// It refused a connection. The receiver checks it with a connection of its own.
    Refused,
}

/// A word on a target, for boxes of the same data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetHint {
    /// The box that saw it.
    pub from: BoxId,
    /// The target's life.
    pub target: TargetId,
    /// What it saw.
    pub word: HintWord,
    /// Boxes that the receiver is to pass this on to.
    pub pass_on: Vec<BoxId>,
}

/// What a box knows of requests under which targets end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndsTold {
    /// Targets that ended.
    pub ends: Vec<TargetEnd>,
    /// Requests to which ends are not put down.
    pub acquittals: Vec<Acquittal>,
    /// Whether the receiver is to answer with all requests that are withheld, else with those of `ends`.
    pub asks_all: bool,
    /// Boxes that the receiver is to pass this on to.
    pub pass_on: Vec<BoxId>,
}

/// How an engine failed a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineFault {
    /// It broke it off, or answered with an error.
    Broke,
    /// Nothing came from it for a long time. An engine that reads many prompts is silent too.
    Silent,
}

/// What each box of a fleet answers.
#[tarpc::service]
pub trait Fleet {
    /// Says in short what the caller knows, and gets the same.
    async fn exchange(digest: FleetDigest) -> FleetGossip;

    /// Gets what the caller lacks.
    async fn fetch(request: FetchRequest) -> FleetGossip;

    /// Tells news that the caller just learnt, and gets the receiver's clock.
    async fn tell(news: FleetGossip) -> ClockReading;

    /// Tells what the caller just saw of a target of plain calls.
    async fn hint(hint: TargetHint);

    /// Asks for a permit; waits up to `wait_ms` for a decision.
    async fn acquire(request: AcquireRequest, wait_ms: u32) -> PermitReply;

    /// Takes back a request for a permit.
    async fn withdraw(pool: PoolId, permit: PermitId);

    /// Asks where a running generation can go on; its permit moves there. Waits for its turn on the link
    /// of the engine that it leaves.
    async fn relocate(request: RelocateRequest) -> RelocateReply;

    /// Says that a generation's turn on the link of an engine is over.
    async fn relocated(pool: PoolId, permit: PermitId, from: TargetId);

    /// Says that an engine failed a generation.
    async fn engine_failed(pool: PoolId, target: TargetId, fault: EngineFault);

    /// Reports progress and ends of generations.
    async fn update(request: UpdateRequest) -> UpdateReply;

    /// Tells a dispatcher of all the generations that `from` has open in a pool, and what accounts used of late.
    async fn adopt(from: BoxId, pool: PoolId, open: OpenStreams);

    /// Asks whether a box that is overrun may say that it is not ready.
    async fn stand_back(from: BoxId) -> bool;

    /// Tells of targets that ended under requests, and gets what the other knows of these.
    async fn ends(told: EndsTold) -> EndsTold;

    /// Asks for the token of one call to a target with a rate limit.
    async fn rate_token(request: RateTokenRequest) -> RateTokenReply;

    /// Asks for a part of the box's retry budget; none if it lends nothing.
    async fn lend_retries(request: RetryLoanRequest) -> Option<LentRetries>;
}

/// What a box does on each call of [`Fleet`]. All its work is done in one thread.
pub trait FleetHandler: Clone + 'static {
    /// A box asked for a link and does not hold a key: it got nothing.
    fn link_refused(&self, from: Option<SocketAddr>);

    /// See [`Fleet::exchange`].
    fn exchange(&self, digest: FleetDigest) -> impl Future<Output = FleetGossip>;

    /// See [`Fleet::fetch`].
    fn fetch(&self, request: FetchRequest) -> impl Future<Output = FleetGossip>;

    /// See [`Fleet::tell`].
    fn tell(&self, news: FleetGossip) -> impl Future<Output = ClockReading>;

    /// See [`Fleet::hint`].
    fn hint(&self, hint: TargetHint) -> impl Future<Output = ()>;

    /// See [`Fleet::acquire`].
    fn acquire(&self, request: AcquireRequest, wait_ms: u32) -> impl Future<Output = PermitReply>;

    /// See [`Fleet::withdraw`].
    fn withdraw(&self, pool: PoolId, permit: PermitId) -> impl Future<Output = ()>;

    /// See [`Fleet::relocate`].
    fn relocate(&self, request: RelocateRequest) -> impl Future<Output = RelocateReply>;

    /// See [`Fleet::relocated`].
    fn relocated(&self, pool: PoolId, permit: PermitId, from: TargetId)
    -> impl Future<Output = ()>;

    /// See [`Fleet::engine_failed`].
    fn engine_failed(
        &self,
        pool: PoolId,
        target: TargetId,
        fault: EngineFault,
    ) -> impl Future<Output = ()>;

    /// See [`Fleet::update`].
    fn update(&self, request: UpdateRequest) -> impl Future<Output = UpdateReply>;

    /// See [`Fleet::adopt`].
    fn adopt(&self, from: BoxId, pool: PoolId, open: OpenStreams) -> impl Future<Output = ()>;

    /// See [`Fleet::stand_back`].
    fn stand_back(&self, from: BoxId) -> impl Future<Output = bool>;

    /// See [`Fleet::ends`].
    fn ends(&self, told: EndsTold) -> impl Future<Output = EndsTold>;

    /// See [`Fleet::rate_token`].
    fn rate_token(&self, request: RateTokenRequest) -> impl Future<Output = RateTokenReply>;

    /// See [`Fleet::lend_retries`].
    fn lend_retries(&self, request: RetryLoanRequest) -> impl Future<Output = Option<LentRetries>>;
}

/// Answers the calls of [`Fleet`] by a handler.
#[derive(Clone)]
pub(crate) struct FleetServer<H>(pub H);

impl<H: FleetHandler> Fleet for FleetServer<H> {
    async fn exchange(self, _: Context, digest: FleetDigest) -> FleetGossip {
        self.0.exchange(digest).await
    }

    async fn fetch(self, _: Context, request: FetchRequest) -> FleetGossip {
        self.0.fetch(request).await
    }

    async fn tell(self, _: Context, news: FleetGossip) -> ClockReading {
        self.0.tell(news).await
    }

    async fn hint(self, _: Context, hint: TargetHint) {
        self.0.hint(hint).await;
    }

    async fn acquire(self, _: Context, request: AcquireRequest, wait_ms: u32) -> PermitReply {
        self.0.acquire(request, wait_ms).await
    }

    async fn withdraw(self, _: Context, pool: PoolId, permit: PermitId) {
        self.0.withdraw(pool, permit).await;
    }

    async fn relocate(self, _: Context, request: RelocateRequest) -> RelocateReply {
        self.0.relocate(request).await
    }

    async fn relocated(self, _: Context, pool: PoolId, permit: PermitId, from: TargetId) {
        self.0.relocated(pool, permit, from).await;
    }

    async fn engine_failed(self, _: Context, pool: PoolId, target: TargetId, fault: EngineFault) {
        self.0.engine_failed(pool, target, fault).await;
    }

    async fn update(self, _: Context, request: UpdateRequest) -> UpdateReply {
        self.0.update(request).await
    }

    async fn adopt(self, _: Context, from: BoxId, pool: PoolId, open: OpenStreams) {
        self.0.adopt(from, pool, open).await;
    }

    async fn stand_back(self, _: Context, from: BoxId) -> bool {
        self.0.stand_back(from).await
    }

    async fn ends(self, _: Context, told: EndsTold) -> EndsTold {
        self.0.ends(told).await
    }

    async fn rate_token(self, _: Context, request: RateTokenRequest) -> RateTokenReply {
        self.0.rate_token(request).await
    }

    async fn lend_retries(self, _: Context, request: RetryLoanRequest) -> Option<LentRetries> {
        self.0.lend_retries(request).await
    }
}
