//! Serves a box's peers.

use crate::client::{LinkFrames, tune};
use crate::counted::{Counted, Traffic};
use crate::fleet::{Fleet, FleetHandler, FleetServer};
use crate::handshake;
use crate::keys::KeyRing;
use crate::service::{Peer, PeerHandler, PeerServer};
use futures::StreamExt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

/// Largest message: a settings value of the platform's largest size, and some room.
pub(crate) const FRAME_BYTES_MAX: usize = 2 * 1024 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES_MAX)
        .new_codec()
}

/// Serves peers on `listener` until `closed` is cancelled. Links of boxes that do not hold one of the
/// keys get nothing, and links end whose key is taken away.
pub async fn serve<H: PeerHandler>(
    listener: TcpListener,
    keys: KeyRing,
    handler: H,
    traffic: Arc<Traffic>,
    closed: CancellationToken,
) {
    let server = PeerServer(handler);
    while let Some(link) = next_link(&listener, &closed).await {
        let serving = serve_link(link, keys.clone(), server.clone(), traffic.clone());
        let closed = closed.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = closed.cancelled() => {}
                () = serving => {}
            }
        });
    }
}

/// Serves the boxes of a platform's fleet on `listener` until `closed` is cancelled, all in the thread of
/// the local set that it runs in. Links of boxes that do not hold one of the keys get nothing, and links end whose key
/// is taken away.
pub async fn serve_fleet<H: FleetHandler>(
    listener: TcpListener,
    keys: KeyRing,
    handler: H,
    traffic: Arc<Traffic>,
    closed: CancellationToken,
) {
    let server = FleetServer(handler);
    while let Some(link) = next_link(&listener, &closed).await {
        let (server, keys, traffic) = (server.clone(), keys.clone(), traffic.clone());
        let closed = closed.clone();
        tokio::task::spawn_local(async move {
            let accepted = accept_link(link, &keys, traffic).await;
            let Some((framed, key)) = known(accepted, |from| server.0.link_refused(from)) else {
                return;
            };
            let server = server.clone();
            let transport = tarpc::serde_transport::new(framed, Bincode::default());
            let calls = BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|call| async {
                    tokio::task::spawn_local(call);
                });
            tokio::select! {
                () = closed.cancelled() => {}
                () = keys.lost(&key) => {}
                () = calls => {}
            }
        });
    }
}

/// The next link; none once `closed` is cancelled.
async fn next_link(listener: &TcpListener, closed: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = closed.cancelled() => return None,
            accepted = listener.accept() => accepted,
        };
        if let Ok((link, _)) = accepted {
            return Some(link);
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }
}

/// Why a link was not taken, and whose it was.
struct NotTaken {
    from: Option<SocketAddr>,
    is_refused: bool,
}

/// A link that was taken; one whose other side does not hold a key is told to `refused`.
fn known<T>(accepted: Result<T, NotTaken>, refused: impl FnOnce(Option<SocketAddr>)) -> Option<T> {
    match accepted {
        Ok(taken) => Some(taken),
        Err(NotTaken { from, is_refused }) => {
            if is_refused {
                refused(from);
            }
            None
        }
    }
}

/// Cuts a link into messages once its other side has proved who it is; gives the key by which it did.
async fn accept_link(
    mut link: TcpStream,
    keys: &KeyRing,
    traffic: Arc<Traffic>,
) -> Result<(LinkFrames, String), NotTaken> {
    let from = link.peer_addr().ok();
    let not_taken = |error: std::io::Error| NotTaken {
        from,
        is_refused: error.kind() == std::io::ErrorKind::PermissionDenied,
    };
    tune(&link).map_err(not_taken)?;
    let held = keys.now();
    let key = handshake::accept(&mut link, &held)
        .await
        .map_err(not_taken)?;
    Ok((Framed::new(Counted::new(link, traffic), codec()), key))
}

async fn serve_link<H: PeerHandler>(
    link: TcpStream,
    keys: KeyRing,
    server: PeerServer<H>,
    traffic: Arc<Traffic>,
) {
    let accepted = accept_link(link, &keys, traffic).await;
    let Some((framed, key)) = known(accepted, |from| server.0.link_refused(from)) else {
        return;
    };
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let calls = BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(spawn);
    tokio::select! {
        () = keys.lost(&key) => {}
        () = calls => {}
    }
}

async fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(task);
}
