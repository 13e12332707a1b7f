//! Serves a box's peers.

use crate::client::{LinkFrames, tune};
use crate::counted::{Counted, Traffic};
use crate::fleet::{Fleet, FleetHandler, FleetServer};
use crate::handshake;
use crate::service::{Peer, PeerHandler, PeerServer};
use futures::StreamExt;
use std::future::Future;
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
/// keys are dropped.
pub async fn serve<H: PeerHandler>(
    listener: TcpListener,
    keys: Vec<String>,
    handler: H,
    traffic: Arc<Traffic>,
    closed: CancellationToken,
) {
    let server = PeerServer(handler);
    let keys: Arc<[String]> = keys.into();
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
/// the local set that it runs in. Links of boxes that do not hold one of the keys are dropped.
pub async fn serve_fleet<H: FleetHandler>(
    listener: TcpListener,
    keys: Vec<String>,
    handler: H,
    traffic: Arc<Traffic>,
    closed: CancellationToken,
) {
    let server = FleetServer(handler);
    let keys: Arc<[String]> = keys.into();
    while let Some(link) = next_link(&listener, &closed).await {
        let (server, keys, traffic) = (server.clone(), keys.clone(), traffic.clone());
        let closed = closed.clone();
        tokio::task::spawn_local(async move {
            let Some(framed) = accept_link(link, &keys, traffic).await else {
                return;
            };
            let transport = tarpc::serde_transport::new(framed, Bincode::default());
            let calls = BaseChannel::with_defaults(transport)
                .execute(server.serve())
                .for_each(|call| async {
                    tokio::task::spawn_local(call);
                });
            tokio::select! {
                () = closed.cancelled() => {}
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

/// Cuts a link into messages once its other side has proved who it is.
async fn accept_link(
    mut link: TcpStream,
    keys: &[String],
    traffic: Arc<Traffic>,
) -> Option<LinkFrames> {
    tune(&link).ok()?;
    handshake::accept(&mut link, keys).await.ok()?;
    Some(Framed::new(Counted::new(link, traffic), codec()))
}

async fn serve_link<H: PeerHandler>(
    link: TcpStream,
    keys: Arc<[String]>,
    server: PeerServer<H>,
    traffic: Arc<Traffic>,
) {
    let Some(framed) = accept_link(link, &keys, traffic).await else {
        return;
    };
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(spawn)
        .await;
}

async fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(task);
}
