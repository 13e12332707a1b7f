use super::*;
use tokio::net::TcpListener;

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
