//! Answers other boxes.

use crate::claims::{record_here, record_outcome_here};
use crate::dispatch::{Adopt, Update, Withdraw, acquire_here, dispatcher};
use crate::shared::{Node, lock};
use crate::spread::{exchange, take_notice};
use peers::{
    AcquireRequest, AdoptedStream, ClaimRequest, ClaimResult, Digest, EndedStream, KeyOutcome,
    Notice, OutcomeRecord, PeerHandler, PermitReply, UpdateReply, UpdateRequest,
};
use prelude::{BoxId, BoxIncarnation, PermitId, PoolId};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest time for which a peer is kept waiting.
const WAIT_MAX: Duration = Duration::from_secs(5);

fn bounded(wait_ms: u32) -> Duration {
    Duration::from_millis(u64::from(wait_ms)).min(WAIT_MAX)
}

impl PeerHandler for Node {
    fn link_refused(&self, from: Option<SocketAddr>) {
        metrics::counter!("shuntpier_links_refused").increment(1);
        slog::warn!(self.0.log, "link refused: its box holds none of the keys"; "from" => ?from);
    }

    async fn acquire(
        &self,
        request: AcquireRequest,
        wait_ms: u32,
        ended: Vec<EndedStream>,
    ) -> PermitReply {
        acquire_here(&self.0, request, bounded(wait_ms), ended).await
    }

    async fn withdraw(&self, pool: PoolId, permit: PermitId) {
        let _ = dispatcher(&self.0, pool).send(Withdraw(permit)).await;
    }

    async fn update(&self, request: UpdateRequest) -> UpdateReply {
        let address = dispatcher(&self.0, request.pool);
        address.send(Update(request)).await.unwrap_or_default()
    }

    async fn adopt(&self, from: BoxId, pool: PoolId, streams: Vec<AdoptedStream>) {
        let _ = dispatcher(&self.0, pool).send(Adopt(from, streams)).await;
    }

    async fn notice(&self, origin: BoxId, notice: Notice) {
        take_notice(&self.0, origin, notice);
    }

    async fn digest(&self, digest: Digest) -> Digest {
        exchange(&self.0, digest)
    }

    async fn claim(&self, request: ClaimRequest) -> ClaimResult {
        record_here(&self.0, &request).await
    }

    async fn outcome(
        &self,
        life: BoxIncarnation,
        key: u128,
        nonce: u64,
        wait_ms: u32,
    ) -> KeyOutcome {
        if life != self.0.card.life {
            return KeyOutcome::MayHaveRun;
        }
        self.0.claimant.outcome(key, nonce, bounded(wait_ms)).await
    }

    async fn record_outcome(&self, record: OutcomeRecord) {
        record_outcome_here(&self.0, record);
    }

    async fn taken_over(&self, generation: u128) {
        self.0.taken_over.add(generation, self.0.now_ms());
    }
}

impl Node {
    /// The boxes that this box would give roles to.
    pub fn usable_boxes(&self) -> Vec<BoxId> {
        lock(&self.0.members).usable(self.0.now_ms())
    }
}
