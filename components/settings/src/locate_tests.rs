use super::*;

#[test]
fn finds_nested_key() {
    let text = "a:\n  b:\n    - x\n    - y\n";
    let located = Located::parse(text).unwrap();
    let path = [Step::Key("a".into()), Step::Key("b".into()), Step::Item(1)];
    let (start, length) = located.span(&path);
    assert_eq!(&text[start..start + length], "y");
}
