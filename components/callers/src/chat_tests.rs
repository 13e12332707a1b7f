use super::*;
use rstest::rstest;

#[test]
fn parses_a_request_and_estimates_its_prompt_tokens() {
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
fn names_the_invalid_part_in_the_error(#[case] body: &'static str, #[case] part: &str) {
    let error = parse_chat(&Bytes::from_static(body.as_bytes())).unwrap_err();
    assert!(error.contains(part), "{error}");
}
