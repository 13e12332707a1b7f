//! Resume tokens: the location of a stream, authenticated by an HMAC, so that no account can read a
//! stream of another account.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use prelude::{AccountId, BoxId, ModelId, TargetId, TargetIncarnation, TargetKey};
use sha2::Sha256;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const ADDRESS_BYTES: usize = 58;
const MAC_BYTES: usize = 16;
const MAX_EVENT_ID_CHARS: usize = 140;

/// Location of a stream, which a resume token encodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamAddress {
    /// Account that owns the stream.
    pub account: AccountId,
    /// Model that generates the answer.
    pub model: ModelId,
    /// Id and incarnation of the engine.
    pub target: TargetKey,
    /// UUID of the generation.
    pub generation: u128,
    /// Box that serves the caller; it is notified when another box takes the stream over.
    pub entry: BoxId,
    /// Address of the engine when the stream began; IPv4 only.
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
        let read_u64 = |offset: usize| -> Option<u64> {
            let part = bytes.get(offset..offset + 8)?;
            Some(u64::from_be_bytes(part.try_into().ok()?))
        };
        let generation = u128::from_be_bytes(bytes.get(32..48)?.try_into().ok()?);
        let octets: [u8; 4] = bytes.get(48..52)?.try_into().ok()?;
        let port = u16::from_be_bytes(bytes.get(52..54)?.try_into().ok()?);
        Some(Self {
            account: AccountId(read_u64(0)?),
            model: ModelId(read_u64(8)?),
            target: TargetKey {
                id: TargetId(read_u64(16)?),
                incarnation: TargetIncarnation(read_u64(24)?),
            },
            generation,
            entry: BoxId(u32::from_be_bytes(bytes.get(54..58)?.try_into().ok()?)),
            address: SocketAddr::from((Ipv4Addr::from(octets), port)),
        })
    }
}

/// Signs and verifies resume tokens. The first key signs; every key verifies, which allows key
/// rotation.
#[derive(Clone)]
pub struct ResumeSeal {
    keys: Vec<Hmac<Sha256>>,
}

impl ResumeSeal {
    /// Creates a signer from the keys of the settings.
    pub fn new(keys: &[String]) -> Self {
        let keys = keys
            .iter()
            .filter_map(|key| Hmac::new_from_slice(key.as_bytes()).ok())
            .collect();
        Self { keys }
    }

    /// Returns the resume token of a stream, which is the prefix of its event ids: an event id is
    /// `PREFIX.INDEX`. The token is empty, and the stream cannot be resumed, if there is no key or
    /// the engine has no IPv4 address.
    pub fn seal(&self, address: StreamAddress) -> String {
        let (Some(key), Some(bytes)) = (self.keys.first(), address.to_bytes()) else {
            return String::new();
        };
        let mut token = bytes.to_vec();
        token.extend_from_slice(&mac(key, &bytes)[..MAC_BYTES]);
        URL_SAFE_NO_PAD.encode(token)
    }

    /// Verifies an event id and returns the location of the stream and the index of the next chunk.
    pub fn open(&self, event_id: &str) -> Option<(StreamAddress, u64)> {
        if event_id.len() > MAX_EVENT_ID_CHARS {
            return None;
        }
        let (token, index) = event_id.rsplit_once('.')?;
        let next_index = index.parse::<u64>().ok()?.checked_add(1)?;
        let bytes = URL_SAFE_NO_PAD.decode(token).ok()?;
        if bytes.len() != ADDRESS_BYTES + MAC_BYTES {
            return None;
        }
        let (address, tag) = bytes.split_at(ADDRESS_BYTES);
        // `verify_truncated_left` compares in constant time.
        let is_valid = self.keys.iter().any(|key| {
            let mut hmac = key.clone();
            hmac.update(address);
            hmac.verify_truncated_left(tag).is_ok()
        });
        if !is_valid {
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
