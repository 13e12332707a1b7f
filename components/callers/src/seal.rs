//! Resume tokens: where a stream is, sealed so that no account can read another's.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use prelude::{AccountId, BoxId, ModelId, TargetId, TargetIncarnation, TargetKey};
use sha2::Sha256;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const ADDRESS_BYTES: usize = 58;
const MAC_BYTES: usize = 16;
const TOKEN_CHARS_MAX: usize = 140;

/// Where a stream is. The generation is named by a UUID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamAddress {
    /// The account to which the answer belongs.
    pub account: AccountId,
    /// The model.
    pub model: ModelId,
    /// The engine and its life.
    pub target: TargetKey,
    /// The generation.
    pub generation: u128,
    /// The box that serves the caller, to be told when another takes over.
    pub entry: BoxId,
    /// Where the engine listened when the stream began; IPv4 only.
    pub address: SocketAddr,
}

impl StreamAddress {
    fn to_bytes(self) -> Option<[u8; ADDRESS_BYTES]> {
        let IpAddr::V4(ip) = self.address.ip() else {
            return None;
        };
        let mut bytes = [0; ADDRESS_BYTES];
        bytes[0..8].copy_from_slice(&self.account.0.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.model.0.to_be_bytes());
        bytes[16..24].copy_from_slice(&self.target.id.0.to_be_bytes());
        bytes[24..32].copy_from_slice(&self.target.incarnation.0.to_be_bytes());
        bytes[32..48].copy_from_slice(&self.generation.to_be_bytes());
        bytes[48..52].copy_from_slice(&ip.octets());
        bytes[52..54].copy_from_slice(&self.address.port().to_be_bytes());
        bytes[54..58].copy_from_slice(&self.entry.0.to_be_bytes());
        Some(bytes)
    }

    fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let number = |at: usize| -> Option<u64> {
            let part = bytes.get(at..at + 8)?;
            Some(u64::from_be_bytes(part.try_into().ok()?))
        };
        let generation = u128::from_be_bytes(bytes.get(32..48)?.try_into().ok()?);
        let octets: [u8; 4] = bytes.get(48..52)?.try_into().ok()?;
        let port = u16::from_be_bytes(bytes.get(52..54)?.try_into().ok()?);
        Some(Self {
            account: AccountId(number(0)?),
            model: ModelId(number(8)?),
            target: TargetKey {
                id: TargetId(number(16)?),
                incarnation: TargetIncarnation(number(24)?),
            },
            generation,
            entry: BoxId(u32::from_be_bytes(bytes.get(54..58)?.try_into().ok()?)),
            address: SocketAddr::from((Ipv4Addr::from(octets), port)),
        })
    }
}

/// Seals and opens resume tokens. The first key seals; every key opens.
#[derive(Clone)]
pub struct ResumeSeal {
    keys: Vec<Hmac<Sha256>>,
}

impl ResumeSeal {
    /// A seal with the keys of the settings.
    pub fn new(keys: &[String]) -> Self {
        let keys = keys
            .iter()
            .filter_map(|key| Hmac::new_from_slice(key.as_bytes()).ok())
            .collect();
        Self { keys }
    }

    /// The prefix of the ids of a stream's events; `PREFIX.INDEX` is an event's id. Empty where there
    /// is no key or the engine has no IPv4 address, and the stream then cannot be resumed.
    pub fn seal(&self, address: StreamAddress) -> String {
        let (Some(key), Some(bytes)) = (self.keys.first(), address.to_bytes()) else {
            return String::new();
        };
        let mut token = bytes.to_vec();
        token.extend_from_slice(&mac(key, &bytes)[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(token)
    }

    /// Opens an event's id: where the stream is, and the index that comes next.
    pub fn open(&self, event_id: &str) -> Option<(StreamAddress, u64)> {
        if event_id.len() > TOKEN_CHARS_MAX {
            return None;
        }
        let (token, index) = event_id.rsplit_once('.')?;
        let next_index = index.parse::<u64>().ok()?.checked_add(1)?;
        let bytes = URL_SAFE_NO_PAD.decode(token).ok()?;
        if bytes.len() != ADDRESS_BYTES + MAC_BYTES {
            return None;
        }
        let (address, seal) = bytes.split_at(ADDRESS_BYTES);
        // `verify_truncated_left` compares in constant time.
        let sealed = self.keys.iter().any(|key| {
            let mut hmac = key.clone();
            hmac.update(address);
            hmac.verify_truncated_left(seal).is_ok()
        });
        if !sealed {
            return None;
        }
        Some((StreamAddress::from_bytes(address)?, next_index))
    }
}

fn mac(key: &Hmac<Sha256>, bytes: &[u8]) -> [u8; 32] {
    let mut hmac = key.clone();
    hmac.update(bytes);
    hmac.finalize().into_bytes().into()
}

#[cfg(test)]
#[path = "seal_tests.rs"]
mod tests;
