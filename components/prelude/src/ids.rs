//! Small `Copy` keys. A key made from a name is the same on every box, so peers can exchange it
//! without agreeing on a numbering first.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

macro_rules! named_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// The key of `name`: its 64-bit XXH3 hash.
            pub fn from_name(name: &str) -> Self {
                Self(xxh3_64(name.as_bytes()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }
    };
}

named_key!(
    /// A back end: a model engine or a worker of a plain service.
    TargetId
);
named_key!(
    /// A client account.
    AccountId
);
named_key!(
    /// The owner an account belongs to.
    OwnerId
);
named_key!(
    /// One of the partners who share the pool.
    PartnerId
);
named_key!(
    /// A model that engines serve.
    ModelId
);
named_key!(
    /// A plain service.
    ServiceId
);
named_key!(
    /// A data centre.
    DataCentreId
);
named_key!(
    /// A region, which holds data centres that are near each other.
    RegionId
);

/// The engines that serve one model in one region.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PoolId {
    /// The model.
    pub model: ModelId,
    /// The region.
    pub region: RegionId,
    /// Which part of the engines, where they are too many for one dispatcher.
    pub shard: u16,
}

/// An entry box, numbered by its settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BoxId(pub u32);

impl fmt::Display for BoxId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// One life of an entry box: the Unix time at which its process started, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BoxIncarnation(pub u64);

/// One life of a target. A target that comes back has a higher incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TargetIncarnation(pub u64);

/// A target in one of its lives.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TargetKey {
    /// The target.
    pub id: TargetId,
    /// Its life.
    pub incarnation: TargetIncarnation,
}

/// The permission to run one generation on one engine, unique among all boxes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PermitId {
    /// The box that asked.
    pub entry: BoxId,
    /// The life of that box, shortened to its low 32 bits.
    pub life: u32,
    /// Counts the permits of that life.
    pub serial: u64,
}

/// What a caller asks for: the same for all tries of one account with the same method, host, path and body, whatever
/// each try is called. The account is told apart, so that no account's request can pass for another's.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RequestKey {
    /// Who asks; the default where nobody has to say so.
    pub account: AccountId,
    /// The first 64 bits of a BLAKE3 hash of what is asked: nobody can make a request that passes for another's.
    pub digest: u64,
}

impl RequestKey {
    /// The key of what an account asks for.
    pub fn of(account: AccountId, method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for text in [method, host, path] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(body);
        let mut digest = [0; 8];
        hasher.finalize_xof().fill(&mut digest);
        Self {
            account,
            digest: u64::from_le_bytes(digest),
        }
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.account, self.digest)
    }
}

impl FromStr for RequestKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (account, digest) = text.split_once('-').ok_or(KeyError)?;
        let number = |text: &str| u64::from_str_radix(text, 16).map_err(|_| KeyError);
        Ok(Self {
            account: AccountId(number(account)?),
            digest: number(digest)?,
        })
    }
}

/// A text that is no key of a request, as log lines show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(
            "not a request's key: two numbers of 16 hexadecimal digits with a dash between them",
        )
    }
}

impl std::error::Error for KeyError {}
