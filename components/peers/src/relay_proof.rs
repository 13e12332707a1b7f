//! The proof that a box relays a request: an HMAC over the request's id and the time since it arrived, with the key that boxes
//! share. Without it a caller could claim to have waited for long.

use crate::keys::KeyRing;
use hmac::{Hmac, Mac};
use sha2::Sha256;

const ROLE: &[u8] = b"shuntpier relayed request";

fn keyed(key: &str, request_id: &str, elapsed_ms: u64) -> Option<Hmac<Sha256>> {
    let mut hmac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).ok()?;
    hmac.update(ROLE);
    hmac.update(&elapsed_ms.to_be_bytes());
    hmac.update(request_id.as_bytes());
    Some(hmac)
}

impl KeyRing {
    /// Returns the proof for a request, in hexadecimal; none without a key.
    pub fn prove_relayed(&self, request_id: &str, elapsed_ms: u64) -> Option<String> {
        let keys = self.now();
        let proof = keyed(keys.first()?, request_id, elapsed_ms)?.finalize();
        let bytes = proof.into_bytes();
        Some(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Whether any of the keys made the proof.
    pub fn verify_relayed(&self, request_id: &str, elapsed_ms: u64, proof: &str) -> bool {
        let Some(bytes) = decode_hex(proof) else {
            return false;
        };
        let keys = self.now();
        let mut expected = keys
            .iter()
            .filter_map(|key| keyed(key, request_id, elapsed_ms));
        expected.any(|expected| expected.verify_slice(&bytes).is_ok())
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let digits = (0..text.len()).step_by(2);
    digits
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}

#[cfg(test)]
#[path = "relay_proof_tests.rs"]
mod tests;
