//! One TCP channel with what was read from it and not yet used.

use crate::head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
use bytes::{Buf, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Read from a channel at a time.
const READ_BYTES: usize = 8 * 1024;
/// Bytes of later requests that are kept while one is answered.
const AHEAD_BYTES_MAX: usize = 64 * 1024;
/// Longest head of an answer.
const ANSWER_HEAD_BYTES_MAX: usize = 32 * 1024;
/// Heads that only announce an answer, before the answer.
const INTERIM_HEADS_MAX: usize = 16;
/// Written bytes that are not acknowledged for this long end a channel that this side opened. A peer behind
/// a cut says nothing, and the system's own time is many minutes.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2_500);
/// The same for a channel that was taken: whoever opened it may read slowly, and a window that stays closed
/// counts as not acknowledged.
const SLOW_READER_LIMIT: Duration = Duration::from_secs(20);
/// Bytes that the system holds unsent for a peer that does not read; by itself it takes some megabytes for each.
const UNSENT_BYTES_MAX: u32 = 128 * 1024;
/// A silent channel is probed after this time, and at this interval.
const PROBE_AFTER: Duration = Duration::from_secs(2);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// New channels that may wait to be taken.
const BACKLOG: u32 = 1024;

/// Why nothing more can be read.
#[derive(Debug, Error)]
pub enum ChannelError {
    /// The channel failed.
    #[error("the channel failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed it in good order.
    #[error("the channel was closed")]
    Closed,
    /// What came is no message.
    #[error(transparent)]
    Head(#[from] HeadError),
}

/// How far a write came.
#[derive(Debug)]
pub struct Written {
    /// Bytes that the system took. The peer may have received any part of them, and nothing else.
    pub bytes: usize,
    /// The system's error, or [`io::ErrorKind::UnexpectedEof`] where the peer closed the channel.
    pub error: Option<io::Error>,
}

/// A TCP channel and what was read ahead from it.
#[derive(Debug)]
pub struct Channel {
    io: TcpStream,
    /// Read and not yet used.
    pub buffer: BytesMut,
}

fn tune(io: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    io.set_nodelay(true)?;
    let socket = SockRef::from(io);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(unacknowledged))
}

async fn connect_stream(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Takes channels.
#[derive(Debug)]
pub struct Listener(TcpListener);

impl Listener {
    /// Listens on an address.
    ///
    /// # Errors
    /// The system's, where the address is taken or not ours.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(Self(socket.listen(BACKLOG)?))
    }

    /// The address that it listens on.
    ///
    /// # Errors
    /// The system's.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Takes the next channel.
    ///
    /// # Errors
    /// The system's, where descriptors are used up or a channel ended before it was taken.
    pub async fn accept(&self) -> io::Result<Channel> {
        let (io, _) = self.0.accept().await?;
        // Where the system can't, it holds more.
        let _ = SockRef::from(&io).set_tcp_notsent_lowat(UNSENT_BYTES_MAX);
        Channel::new(io, SLOW_READER_LIMIT)
    }
}

impl Channel {
    fn new(io: TcpStream, unacknowledged: Duration) -> io::Result<Self> {
        tune(&io, unacknowledged)?;
        Ok(Self {
            io,
            buffer: BytesMut::new(),
        })
    }

    /// Opens a channel.
    ///
    /// # Errors
    /// The system's, or [`io::ErrorKind::TimedOut`] after `limit`. Nothing was sent.
    pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        Self::connect_from(None, address, limit).await
    }

    /// Opens a channel from a local address; the system chooses one if there is none.
    ///
    /// # Errors
    /// As [`Channel::connect`].
    pub async fn connect_from(
        source: Option<IpAddr>,
        address: SocketAddr,
        limit: Duration,
    ) -> io::Result<Self> {
        let connecting = connect_stream(source, address);
        match tokio::time::timeout(limit, connecting).await {
            Ok(io) => Self::new(io?, UNACKNOWLEDGED_LIMIT),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// The address of the peer.
    ///
    /// # Errors
    /// The system's, where the channel is no longer connected.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.io.peer_addr()
    }

    /// Reads more into the buffer and says how much; 0 where the peer closed the channel.
    ///
    /// # Errors
    /// The system's.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ_BYTES);
        self.io.read_buf(&mut self.buffer).await
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// The system's. Some of the bytes may have been sent.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes).await
    }

    /// Writes what the peer takes of `bytes` now, and says how much; 0 where it takes nothing.
    ///
    /// # Errors
    /// The system's, where the channel failed.
    pub fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.io.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            written => written,
        }
    }

    /// Sets whether the channel is reset when it is closed, also by the end of the process, so that the peer does not take the
    /// close for the end of a message. What is not sent by then is lost.
    pub fn set_reset_on_close(&self, resets: bool) {
        // Where the system can't, the peer sees the close alone.
        let _ = SockRef::from(&self.io).set_linger(resets.then_some(Duration::ZERO));
    }

    /// Waits until something may be written. What comes meanwhile is kept.
    ///
    /// # Errors
    /// The system's, where the peer closed the channel or it failed.
    pub async fn writable(&mut self) -> io::Result<()> {
        loop {
            let reads = self.buffer.len() < AHEAD_BYTES_MAX;
            if reads {
                self.buffer.reserve(READ_BYTES);
            }
            let (mut reader, writer) = self.io.split();
            tokio::select! {
                biased;
                ready = writer.writable() => return ready,
                read = reader.read_buf(&mut self.buffer), if reads => {
                    if read? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
            }
        }
    }

    /// Writes `bytes` while reading: ends when all is written, or as soon as something was read, the peer closed the channel
    /// or it failed.
    pub async fn write_or_read(&mut self, bytes: &[u8]) -> Written {
        self.buffer.reserve(READ_BYTES);
        let (mut reader, mut writer) = self.io.split();
        let mut written = 0;
        while written < bytes.len() {
            let ended = tokio::select! {
                biased;
                read = reader.read_buf(&mut self.buffer) => match read {
                    Ok(0) => Some(io::ErrorKind::UnexpectedEof.into()),
                    Ok(_) => None,
                    Err(error) => Some(error),
                },
                more = writer.write(&bytes[written..]) => match more {
                    Ok(more) => {
                        written += more;
                        continue;
                    }
                    Err(error) => Some(error),
                },
            };
            return Written {
                bytes: written,
                error: ended,
            };
        }
        Written {
            bytes: written,
            error: None,
        }
    }

    /// Whether the channel is open with nothing read from it: one on which a request may be sent.
    pub fn is_quiet(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut byte = [0; 1];
        let read = self.io.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the peer closes the channel or it fails. What comes meanwhile is kept.
    pub async fn gone(&mut self) {
        loop {
            if self.buffer.len() >= AHEAD_BYTES_MAX {
                // A peer that sends so far ahead is not read on; its close shows when it is written to.
                std::future::pending::<()>().await;
            }
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return;
            }
        }
    }

    /// Reads the head of the next request; none where the peer closed the channel between requests.
    ///
    /// # Errors
    /// [`ChannelError`].
    pub async fn request(
        &mut self,
        most_bytes: usize,
    ) -> Result<Option<RequestHead>, ChannelError> {
        loop {
            if let Some((head, taken)) = parse_request(&self.buffer, most_bytes)? {
                self.buffer.advance(taken);
                return Ok(Some(head));
            }
            if self.fill().await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ChannelError::Closed),
                };
            }
        }
    }

    /// Reads the head of the next answer, passing over heads that only announce one.
    ///
    /// # Errors
    /// [`ChannelError`].
    pub async fn response(&mut self) -> Result<ResponseHead, ChannelError> {
        let mut interim_heads = 0;
        loop {
            if let Some((head, taken)) = parse_response(&self.buffer, ANSWER_HEAD_BYTES_MAX)? {
                self.buffer.advance(taken);
                if !head.is_interim() {
                    return Ok(head);
                }
                interim_heads += 1;
                if interim_heads > INTERIM_HEADS_MAX {
                    return Err(HeadError::Malformed("too many interim answers").into());
                }
                continue;
            }
            if self.fill().await? == 0 {
                return Err(ChannelError::Closed);
            }
        }
    }

    /// Ends our side after what was written, and reads for a while what the peer still sends: a close
    /// with unread bytes resets the channel and may destroy the answer on its way.
    pub async fn finish(mut self, limit: Duration) {
        if self.io.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.buffer.clear();
                if !matches!(self.fill().await, Ok(read) if read > 0) {
                    return;
                }
            }
        };
        // A peer that neither closes nor stops is left after the limit.
        let _ = tokio::time::timeout(limit, drain).await;
    }
}
