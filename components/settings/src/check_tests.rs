use super::*;

const MANY_MISTAKES: &str = include_str!("../fixtures/many-mistakes.yaml");

fn messages(text: &str) -> Vec<String> {
    let mistakes = parse_branch("test.yaml", text).unwrap_err().mistakes;
    mistakes.into_iter().map(|m| m.message).collect()
}

#[test]
fn names_every_mistake() {
    let mistakes = parse_branch("many", MANY_MISTAKES).unwrap_err().mistakes;
    let all: Vec<String> = mistakes
        .iter()
        .map(|m| format!("{} | {}", m.message, m.advice.as_deref().unwrap_or("")))
        .collect();
    let expected = [
        "unknown key `first_token_deadline_s`",
        "written `first_token_deadline_ms`",
        "unknown parent `grocer`",
        "did you mean `grocers`?",
        "lies in the branch of `activation-desk`",
        "unknown target `ledger-9`",
        "64 hexadecimal digits",
        "needs `kv_capacity_tokens`",
    ];
    for part in expected {
        assert!(
            all.iter().any(|m| m.contains(part)),
            "{part} not in {all:#?}"
        );
    }
}

#[test]
fn points_at_the_line() {
    let mistakes = parse_branch("many", MANY_MISTAKES).unwrap_err().mistakes;
    let unit = mistakes
        .iter()
        .find(|m| m.message.contains("first_token_deadline_s"))
        .unwrap();
    let rest = &MANY_MISTAKES[unit.span.offset()..];
    assert!(rest.starts_with("first_token_deadline_s"));
}

#[test]
fn errors_on_inheritance_in_a_circle() {
    let text = "partner: p\nnodes:\n  a: {parent: b}\n  b: {parent: a}\n";
    assert!(
        messages(text)
            .iter()
            .any(|m| m.contains("inherits from itself"))
    );
}

#[test]
fn errors_on_text_that_is_no_yaml() {
    assert_eq!(messages("partner: [").len(), 1);
}

#[test]
fn accepts_the_examples() {
    for text in [
        include_str!("../../../examples/activation-desk.yaml"),
        include_str!("../../../examples/points-platform.yaml"),
    ] {
        if let Err(mistakes) = parse_branch("example", text) {
            panic!("{:?}", miette::Report::new(*mistakes));
        }
    }
}

#[test]
fn accepts_the_trial_boxes() {
    for text in [
        include_str!("../../../examples/trial-box-1.yaml"),
        include_str!("../../../examples/trial-box-2.yaml"),
    ] {
        assert!(check_box_file("trial", text).is_none());
    }
}

#[test]
fn a_cap_lies_above_zero_and_at_most_at_one() {
    let branch = |cap: &str| {
        let accounts = format!("accounts:\n  a: {{parent: o, cap_share: {cap}}}\n");
        format!("partner: p\nnodes:\n  o: {{}}\n{accounts}")
    };
    assert!(parse_branch("test.yaml", &branch("0.25")).is_ok());
    for wrong in ["0", "1.5"] {
        assert!(messages(&branch(wrong))[0].contains("a cap of"));
    }
}
