//! Boxes prove to each other that they hold a shared key, by challenge and response (RFC 2104 HMAC
//! with SHA-256), before the first message. The link itself is not encrypted.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const NONCE_BYTES: usize = 16;
const MAC_BYTES: usize = 32;
const LIMIT: Duration = Duration::from_secs(1);
const CLIENT_ROLE: &[u8] = b"shuntpier peer client";
const SERVER_ROLE: &[u8] = b"shuntpier peer server";

type Nonce = [u8; NONCE_BYTES];

fn nonce() -> Nonce {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

fn keyed(key: &str, role: &[u8], first: &Nonce, second: &Nonce) -> io::Result<Hmac<Sha256>> {
    let mut hmac = Hmac::<Sha256>::new_from_slice(key.as_bytes()).map_err(io::Error::other)?;
    hmac.update(role);
    hmac.update(first);
    hmac.update(second);
    Ok(hmac)
}

fn refused() -> io::Error {
    io::Error::new(
        io::ErrorKind::PermissionDenied,
        "the peer does not hold the key",
    )
}

/// Whether the other side may not hold the key: it says so by closing the link.
pub(crate) fn is_refusal(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionReset, PermissionDenied, UnexpectedEof};
    matches!(
        error.kind(),
        PermissionDenied | UnexpectedEof | ConnectionReset
    )
}

/// Proves and checks, as the side that connected.
pub(crate) async fn connect(link: &mut TcpStream, key: &str) -> io::Result<()> {
    timeout(LIMIT, connect_now(link, key)).await?
}

async fn connect_now(link: &mut TcpStream, key: &str) -> io::Result<()> {
    let mut theirs = [0; NONCE_BYTES];
    link.read_exact(&mut theirs).await?;
    let ours = nonce();
    let proof = keyed(key, CLIENT_ROLE, &theirs, &ours)?
        .finalize()
        .into_bytes();
    link.write_all(&ours).await?;
    link.write_all(&proof).await?;
    let mut answer = [0; MAC_BYTES];
    link.read_exact(&mut answer).await?;
    let expected = keyed(key, SERVER_ROLE, &ours, &theirs)?;
    expected.verify_slice(&answer).map_err(|_| refused())
}

/// Proves and checks, as the side that was connected to. Any of the keys is accepted; gives the one that was used.
pub(crate) async fn accept(link: &mut TcpStream, keys: &[String]) -> io::Result<String> {
    timeout(LIMIT, accept_now(link, keys)).await?
}

async fn accept_now(link: &mut TcpStream, keys: &[String]) -> io::Result<String> {
    let ours = nonce();
    link.write_all(&ours).await?;
    let mut theirs = [0; NONCE_BYTES];
    link.read_exact(&mut theirs).await?;
    let mut proof = [0; MAC_BYTES];
    link.read_exact(&mut proof).await?;
    for key in keys {
        let expected = keyed(key, CLIENT_ROLE, &ours, &theirs)?;
        if expected.verify_slice(&proof).is_ok() {
            let answer = keyed(key, SERVER_ROLE, &theirs, &ours)?
                .finalize()
                .into_bytes();
            link.write_all(&answer).await?;
            return Ok(key.clone());
        }
    }
    Err(refused())
}

#[cfg(test)]
#[path = "handshake_tests.rs"]
mod tests;
