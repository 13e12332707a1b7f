use super::*;
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// What the peer of a channel did before the request is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Peer {
    Reads,
    Closed,
    Reset,
    SentFirst,
}

async fn prepare(peer: Peer) -> (Channel, Option<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let connecting = Channel::connect(address, Duration::from_secs(10));
    let (channel, accepted) = tokio::join!(connecting, listener.accept());
    let (mut channel, mut accepted) = (channel.unwrap(), accepted.unwrap().0);
    match peer {
        Peer::Reads => return (channel, Some(accepted)),
        Peer::Closed => drop(accepted),
        Peer::Reset => {
            accepted.set_zero_linger().unwrap();
            drop(accepted);
        }
        Peer::SentFirst => {
            accepted.write_all(b"HTTP/1.1 503 X\r\n").await.unwrap();
            while channel.is_quiet() {
                tokio::task::yield_now().await;
            }
            return (channel, Some(accepted));
        }
    }
    channel.gone().await;
    (channel, None)
}

// A request of which nothing was written counted as possibly run.
#[rstest]
#[case(Peer::Reads, Written::Complete)]
#[case(Peer::Closed, Written::Nothing)]
#[case(Peer::Reset, Written::Nothing)]
#[case(Peer::SentFirst, Written::Nothing)]
#[tokio::test]
async fn a_request_of_which_no_byte_was_taken_is_not_sent(
    #[case] peer: Peer,
    #[case] expected: Written,
    #[values(2_000, 60_000)] body_bytes: usize,
) {
    let (mut channel, _peer) = prepare(peer).await;
    let body = Bytes::from(vec![b'x'; body_bytes]);
    let sends = SendLog::default();
    let request = OutgoingRequest {
        request_id: "1",
        head: b"POST / HTTP/1.1\r\n\r\n",
        body: &body,
        has_no_body: false,
        channel: ChannelChoice::New,
        retry: None,
        sends: &sends,
    };
    assert_eq!(write(&mut channel, request).await, expected);
}
