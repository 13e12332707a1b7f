use super::*;
use std::pin::pin;
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

fn rate(limit_per_s: Option<f32>) -> TargetRate {
    TargetRate {
        target: TargetId::from_name("i-271bc015c6"),
        limit_per_s,
        made_from_ms_ago: 20_000,
        made_until_ms_ago: 19_940,
    }
}

fn bytes<T: Serialize>(message: &T) -> usize {
    let mut format = pin!(Bincode::<TargetRate, T>::default());
    format.as_mut().serialize(message).unwrap().len()
}

#[test]
fn a_rate_limit_takes_twenty_bytes_and_a_token_forty() {
    let request = RateTokenRequest {
        rate: rate(Some(3.2)),
        account: AccountId::from_name("grocer"),
        rank: 1,
        wait_ms: 200,
        is_last_try: true,
    };
    let (limit, token) = (bytes(&rate(Some(3.2))), bytes(&request));
    println!("{limit} bytes a rate limit, {token} a request for a token");
    assert!(limit <= 20, "{limit}");
    assert!(token <= 40, "{token}");
}
