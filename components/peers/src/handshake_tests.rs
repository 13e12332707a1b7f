use super::*;
use tokio::net::TcpListener;

async fn shake(client: &str, server: &[&str]) -> (bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server: Vec<String> = server.iter().map(|key| (*key).to_owned()).collect();
    let accepting = tokio::spawn(async move {
        let (mut link, _) = listener.accept().await.unwrap();
        accept(&mut link, &server).await.is_ok()
    });
    let mut link = TcpStream::connect(address).await.unwrap();
    let connected = connect(&mut link, client).await.is_ok();
    (connected, accepting.await.unwrap())
}

#[tokio::test]
async fn accepts_a_box_with_the_key() {
    assert_eq!(shake("k", &["k"]).await, (true, true));
}

#[tokio::test]
async fn accepts_the_old_key_during_rotation() {
    assert_eq!(shake("old", &["new", "old"]).await, (true, true));
}

#[tokio::test]
async fn refuses_a_box_without_the_key() {
    assert_eq!(shake("other", &["k"]).await, (false, false));
}
