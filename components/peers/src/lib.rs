//! Talk between entry boxes: permits, progress, settings, notices, claims. Boxes know each other by a
//! shared key.

mod client;
mod counted;
mod fleet;
mod handshake;
mod keys;
mod messages;
mod patch;
mod rates;
mod relay_proof;
mod retries;
mod server;
mod service;
mod spread;
mod targets;

pub use client::{FleetClients, LinkClient, LinkFrames, Links, PeerClients, PeerError};
pub use counted::{Counted, Traffic};
pub use fleet::{
    ClockReading, EndsTold, EngineFault, FetchRequest, FleetCard, FleetClient, FleetDigest,
    FleetGossip, FleetHandler, HintWord, RelocateReply, RelocateRequest, SharedTable, TargetHint,
};
pub use keys::KeyRing;
pub use messages::{
    AccountUsed, AcquireRequest, AdoptedStream, BoxCard, ClaimRequest, ClaimResult, Digest,
    EndedStream, GapsSeen, KeyOutcome, Notice, OpenStreams, OutcomeRecord, PermitReply,
    SettingsValue, StateOfTarget, StreamProgress, TargetWord, UpdateReply, UpdateRequest,
};
pub use patch::SettingsPatch;
pub use rates::{RateTokenReply, RateTokenRequest, TargetRate};
pub use retries::{LentRetries, RetryLoanRequest};
pub use server::{serve, serve_fleet};
pub use service::{PeerClient, PeerHandler};
pub use spread::{Topology, next_hops};
pub use targets::{TargetChanges, TargetList, TargetPatch, TargetSummary};
