use super::*;
use serde_json::Value;

fn example() -> FleetFile {
    FleetFile::read(include_str!("../../../examples/fleet-box.yaml")).unwrap()
}

/// The paths of all values of a file, as they are written.
fn paths(value: &Value, before: &str, found: &mut Vec<String>) {
    let Value::Object(object) = value else {
        return found.push(before.to_owned());
    };
    for (key, value) in object {
        let path = match before {
            "" => key.clone(),
            before => format!("{before}.{key}"),
        };
        paths(value, &path, found);
    }
}

#[test]
fn each_value_of_the_file_is_declared_once() {
    let mut file = example();
    file.without = vec![crate::Mechanism::Turns];
    let mut written = Vec::new();
    paths(&serde_json::to_value(&file).unwrap(), "", &mut written);
    let mut declared: Vec<String> = file.fields().iter().map(|f| f.path.to_owned()).collect();
    written.sort();
    declared.sort();
    assert_eq!(written, declared);
}

#[test]
fn what_needs_a_restart_is_kept_and_all_else_is_taken() {
    let running = example();
    let mut told = example();
    told.identity.name = "another".into();
    told.identity.metrics_address = None;
    told.seeds.clear();
    told.log_level = crate::LogLevel::Debug;
    let kept = told.clone().keeping_fixed(&running);
    let of = |file: &FleetFile, takes| {
        let fields = file.fields().into_iter();
        let of_kind = fields.filter(move |field| (field.takes == Restart) == takes);
        of_kind.map(|field| field.value).collect::<Vec<_>>()
    };
    assert_eq!(of(&kept, true), of(&running, true));
    assert_eq!(of(&kept, false), of(&told, false));
}

#[test]
fn no_key_is_shown() {
    let shown = format!("{:?}", example().fields());
    assert!(!shown.contains("change-me"));
    assert!(shown.contains("sha256:"));
}

#[test]
fn a_mistake_is_named_with_its_line() {
    let text = include_str!("../../../examples/fleet-box.yaml");
    let mistakes =
        FleetFile::read(&text.replace("resend_share: 0.2", "resend_share: 2")).unwrap_err();
    let line = 1 + text[..text.find("resend_share").unwrap()]
        .matches('\n')
        .count();
    assert_eq!(mistakes.iter().map(|m| m.line).collect::<Vec<_>>(), [line]);
    let torn = FleetFile::read(&text[..text.len() / 2]).unwrap_err();
    assert_eq!(torn.len(), 1);
}

/// The row of the operators' page that each field has.
fn rows(fields: &[Field]) -> Vec<String> {
    let row = |field: &Field| {
        let takes = field.takes.as_str();
        format!("| `{}` | {takes} | {} |", field.path, field.about)
    };
    fields.iter().map(row).collect()
}

#[test]
fn the_operators_page_has_just_the_fields_that_are_declared() {
    let page = include_str!("../../../docs/operating/settings.md");
    let entry_box = include_str!("../../../examples/trial-box-1.yaml");
    let entry_box = crate::BoxFile::read(entry_box).unwrap();
    let mut declared = rows(&example().fields());
    declared.extend(rows(&entry_box.fields()));
    let written: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    assert_eq!(written, declared);
}
