//! The calls between boxes.

use crate::messages::{
    AcquireRequest, AdoptedStream, ClaimRequest, ClaimResult, Digest, EndedStream, KeyOutcome,
    Notice, OutcomeRecord, PermitReply, UpdateReply, UpdateRequest,
};
use prelude::{BoxId, BoxIncarnation, PermitId, PoolId};
use std::future::Future;
use std::net::SocketAddr;
use tarpc::context::Context;

/// What each box answers.
#[tarpc::service]
pub trait Peer {
    /// Asks for a permit; waits up to `wait_ms` for a decision. Carries the ends of streams of the same
    /// pool and box.
    async fn acquire(request: AcquireRequest, wait_ms: u32, ended: Vec<EndedStream>)
    -> PermitReply;

    /// Takes back a request for a permit.
    async fn withdraw(pool: PoolId, permit: PermitId);

    /// Reports progress and ends of streams.
    async fn update(request: UpdateRequest) -> UpdateReply;

    /// Tells a dispatcher of all the streams that `from` has open in a pool.
    async fn adopt(from: BoxId, pool: PoolId, streams: Vec<AdoptedStream>);

    /// Spreads a notice that `origin` began.
    async fn notice(origin: BoxId, notice: Notice);

    /// Exchanges what both know.
    async fn digest(digest: Digest) -> Digest;

    /// Asks the writer of a slot to record a claim.
    async fn claim(request: ClaimRequest) -> ClaimResult;

    /// Asks a claimant, in a given life, what became of the call under one claim; waits up to
    /// `wait_ms`.
    async fn outcome(life: BoxIncarnation, key: u128, nonce: u64, wait_ms: u32) -> KeyOutcome;

    /// Asks the writer of a slot to record what became of a call.
    async fn record_outcome(record: OutcomeRecord);

    /// Says that another box now serves a generation's caller.
    async fn taken_over(generation: u128);
}

/// What a box does on each call of [`Peer`]. `tarpc` does not say that its futures are `Send`; these
/// are.
pub trait PeerHandler: Clone + Send + Sync + 'static {
    /// A box asked for a link and does not hold a key: it got nothing.
    fn link_refused(&self, from: Option<SocketAddr>);

    /// See [`Peer::acquire`].
    fn acquire(
        &self,
        request: AcquireRequest,
        wait_ms: u32,
        ended: Vec<EndedStream>,
    ) -> impl Future<Output = PermitReply> + Send;

    /// See [`Peer::withdraw`].
    fn withdraw(&self, pool: PoolId, permit: PermitId) -> impl Future<Output = ()> + Send;

    /// See [`Peer::update`].
    fn update(&self, request: UpdateRequest) -> impl Future<Output = UpdateReply> + Send;

    /// See [`Peer::adopt`].
    fn adopt(
        &self,
        from: BoxId,
        pool: PoolId,
        streams: Vec<AdoptedStream>,
    ) -> impl Future<Output = ()> + Send;

    /// See [`Peer::notice`].
    fn notice(&self, origin: BoxId, notice: Notice) -> impl Future<Output = ()> + Send;

    /// See [`Peer::digest`].
    fn digest(&self, digest: Digest) -> impl Future<Output = Digest> + Send;

    /// See [`Peer::claim`].
    fn claim(&self, request: ClaimRequest) -> impl Future<Output = ClaimResult> + Send;

    /// See [`Peer::outcome`].
    fn outcome(
        &self,
        life: BoxIncarnation,
        key: u128,
        nonce: u64,
        wait_ms: u32,
    ) -> impl Future<Output = KeyOutcome> + Send;

    /// See [`Peer::record_outcome`].
    fn record_outcome(&self, record: OutcomeRecord) -> impl Future<Output = ()> + Send;

    /// See [`Peer::taken_over`].
    fn taken_over(&self, generation: u128) -> impl Future<Output = ()> + Send;
}

/// Answers the calls of [`Peer`] by a handler.
#[derive(Clone)]
pub(crate) struct PeerServer<H>(pub H);

impl<H: PeerHandler> Peer for PeerServer<H> {
    async fn acquire(
        self,
        _: Context,
        request: AcquireRequest,
        wait_ms: u32,
        ended: Vec<EndedStream>,
    ) -> PermitReply {
        self.0.acquire(request, wait_ms, ended).await
    }

    async fn withdraw(self, _: Context, pool: PoolId, permit: PermitId) {
        self.0.withdraw(pool, permit).await;
    }

    async fn update(self, _: Context, request: UpdateRequest) -> UpdateReply {
        self.0.update(request).await
    }

    async fn adopt(self, _: Context, from: BoxId, pool: PoolId, streams: Vec<AdoptedStream>) {
        self.0.adopt(from, pool, streams).await;
    }

    async fn notice(self, _: Context, origin: BoxId, notice: Notice) {
        self.0.notice(origin, notice).await;
    }

    async fn digest(self, _: Context, digest: Digest) -> Digest {
        self.0.digest(digest).await
    }

    async fn claim(self, _: Context, request: ClaimRequest) -> ClaimResult {
        self.0.claim(request).await
    }

    async fn outcome(
        self,
        _: Context,
        life: BoxIncarnation,
        key: u128,
        nonce: u64,
        wait_ms: u32,
    ) -> KeyOutcome {
        self.0.outcome(life, key, nonce, wait_ms).await
    }

    async fn record_outcome(self, _: Context, record: OutcomeRecord) {
        self.0.record_outcome(record).await;
    }

    async fn taken_over(self, _: Context, generation: u128) {
        self.0.taken_over(generation).await;
    }
}
