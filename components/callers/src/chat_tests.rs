use super::*;
use rstest::rstest;

#[test]
fn reads_a_request() {
    let body = br#"{"model":"m","stream":true,"messages":[{"role":"user","content":"12345678"}]}"#;
    let request = parse_chat(&Bytes::from_static(body)).unwrap();
    assert_eq!(request.prompt_tokens, 2);
    assert!(request.stream);
}

#[rstest]
#[case("[]", "object")]
#[case("{", "not JSON")]
#[case(r#"{"messages":[{}]}"#, "model")]
#[case(r#"{"model":"m","messages":[]}"#, "messages")]
#[case(r#"{"model":"m","messages":[{}],"stream":"yes"}"#, "stream")]
#[case(r#"{"model":"m","messages":[{}],"max_tokens":-1}"#, "max_tokens")]
fn says_what_is_wrong(#[case] body: &'static str, #[case] part: &str) {
    let error = parse_chat(&Bytes::from_static(body.as_bytes())).unwrap_err();
    assert!(error.contains(part), "{error}");
}
