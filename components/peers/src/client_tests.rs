use super::*;
use std::io::Write;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

#[tokio::test]
async fn a_link_ends_where_nothing_is_acknowledged() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    tune(&link).unwrap();
    let limit = SockRef::from(&link).tcp_user_timeout().unwrap();
    assert_eq!(limit, Some(UNACKNOWLEDGED_LIMIT));
}

/// Receives one byte on a link that a task reads, as answers are received.
async fn byte_from(mut link: TcpStream) -> Result<u8, RpcError> {
    let (answer_sender, answer) = oneshot::channel();
    tokio::spawn(async move {
        if let Ok(byte) = link.read_u8().await {
            let _ = answer_sender.send(byte);
        }
    });
    answer.await.map_err(|_| RpcError::Shutdown)
}

/// Guards against a peer that is suspected because this process was not scheduled while the answer arrived.
#[tokio::test]
async fn an_answer_that_arrives_while_the_caller_is_not_scheduled_counts() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (stalled_sender, stalled) = std::sync::mpsc::channel();
    let peer = std::thread::spawn(move || {
        let (mut link, _) = listener.accept().unwrap();
        stalled.recv().unwrap();
        link.write_all(&[7]).unwrap();
        link
    });
    let link = TcpStream::connect(address).await.unwrap();
    tokio::spawn(async move {
        stalled_sender.send(()).unwrap();
        std::thread::sleep(Duration::from_millis(300));
    });
    let answer = answer_within(Duration::from_millis(100), byte_from(link)).await;
    assert_eq!(answer.unwrap(), 7);
    drop(peer.join().unwrap());
}
