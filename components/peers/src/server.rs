//! Serves a box's peers.

use crate::counted::{Counted, Traffic};
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
    loop {
        let accepted = tokio::select! {
            () = closed.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((link, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
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

async fn serve_link<H: PeerHandler>(
    mut link: TcpStream,
    keys: Arc<[String]>,
    server: PeerServer<H>,
    traffic: Arc<Traffic>,
) {
    let _ = link.set_nodelay(true);
    if handshake::accept(&mut link, &keys).await.is_err() {
        return;
    }
    let framed = Framed::new(Counted::new(link, traffic), codec());
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(spawn)
        .await;
}

async fn spawn(task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(task);
}
