//! Talk between entry boxes: permits, progress, settings, notices, claims. Boxes know each other by a
//! shared key.

mod client;
mod counted;
mod handshake;
mod messages;
mod patch;
mod server;
mod service;
mod spread;

pub use client::{PeerClients, PeerError};
pub use counted::Traffic;
pub use messages::{
    AcquireRequest, AdoptedStream, BoxCard, ClaimRequest, ClaimResult, Digest, EndedStream,
    KeyOutcome, Notice, OutcomeRecord, PermitReply, SettingsValue, StateOfTarget, StreamProgress,
    TargetWord, UpdateReply, UpdateRequest,
};
pub use patch::SettingsPatch;
pub use server::serve;
pub use service::{PeerClient, PeerHandler};
pub use spread::{Topology, next_hops};
