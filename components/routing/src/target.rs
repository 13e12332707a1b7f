//! Targets as the platform lists them.

use prelude::{TargetId, Version};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetPhase {
    /// It does.
    Ready,
    /// It serves what it has and will end.
    Leaving,
}

/// Names one life of a target.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetLife {
    /// The target's name.
    pub instance: Box<str>,
    /// When this life began, in Unix time; none where each life has a name of its own.
    pub born_ms: Option<u64>,
}

impl TargetLife {
    /// Its key in the policies. Lives under one name have different ones, so that no ledger mixes them up.
    pub fn id(&self) -> TargetId {
        match self.born_ms {
            // No name has a zero byte.
            Some(born_ms) => TargetId::from_name(&format!("{}\0{born_ms}", self.instance)),
            None => TargetId::from_name(&self.instance),
        }
    }
}

/// One life of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target's name. Lives under one name are told apart by `born_ms`.
    pub instance: Box<str>,
    /// When this life began, in Unix time; none where each life has a name of its own.
    pub born_ms: Option<u64>,
    /// The service that it works for.
    pub service: Box<str>,
    /// Where it listens. The address may belong to another target later.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// How much longer it is slow from its start.
    pub cold_left_ms: u32,
    /// The store's version at which its phase was read.
    pub version: Version,
}

impl TargetEntry {
    /// The life that it is of.
    pub fn life(&self) -> TargetLife {
        TargetLife {
            instance: self.instance.clone(),
            born_ms: self.born_ms,
        }
    }
}
