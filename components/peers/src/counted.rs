//! Counts the bytes that a box exchanges with its peers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes and messages so far.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Calls made to peers.
    pub calls: AtomicU64,
}

impl Traffic {
    /// Bytes in both directions.
    pub fn total_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed) + self.sent_bytes.load(Ordering::Relaxed)
    }
}

/// A link whose bytes are counted.
#[derive(Debug)]
pub struct Counted<L> {
    link: L,
    traffic: Arc<Traffic>,
}

impl<L> Counted<L> {
    pub fn new(link: L, traffic: Arc<Traffic>) -> Self {
        Self { link, traffic }
    }
}

impl<L: AsyncRead + Unpin> AsyncRead for Counted<L> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.link).poll_read(context, buffer))?;
        let read = (buffer.filled().len() - before) as u64;
        self.traffic
            .received_bytes
            .fetch_add(read, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl<L: AsyncWrite + Unpin> AsyncWrite for Counted<L> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.link).poll_write(context, bytes))?;
        self.traffic
            .sent_bytes
            .fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.link).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.link).poll_shutdown(context)
    }
}
