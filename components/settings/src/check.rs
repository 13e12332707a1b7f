//! Finds every mistake in a settings text, not only the first.

mod branch;

use crate::boxfile::BoxFile;
use crate::branch::Branch;
use crate::locate::{Located, Step, byte_offset};
use branch::branch_mistakes;
use jsonschema::error::ValidationErrorKind;
use jsonschema::paths::LocationSegment;
use miette::{Diagnostic, NamedSource, SourceSpan};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

/// One mistake, with the place where it stands.
#[derive(Debug, Error, Diagnostic)]
#[error("{message}")]
pub struct Mistake {
    /// What is wrong.
    pub message: String,
    /// What to do about it.
    #[help]
    pub advice: Option<String>,
    #[label("here")]
    span: SourceSpan,
}

/// All the mistakes of one text.
#[derive(Debug, Error, Diagnostic)]
#[error("{name}: {} mistake(s)", mistakes.len())]
pub struct Mistakes {
    name: String,
    #[source_code]
    source_code: NamedSource<String>,
    /// Each of them, in the order of the text.
    #[related]
    pub mistakes: Vec<Mistake>,
}

/// Parses and checks a partner's branch.
///
/// # Errors
/// Every mistake that was found.
pub fn parse_branch(name: &str, text: &str) -> Result<Branch, Box<Mistakes>> {
    parse(name, text, branch_mistakes)
}

/// Parses and checks the settings file of a box.
///
/// # Errors
/// Every mistake that was found.
pub fn parse_box_file(name: &str, text: &str) -> Result<BoxFile, Box<Mistakes>> {
    parse(name, text, box_mistakes)
}

/// The mistakes of what a box file says.
pub(crate) fn box_mistakes(file: &BoxFile) -> Vec<Found> {
    let mut found = Vec::new();
    for (index, branch) in file.branches.iter().enumerate() {
        let prefix = [Step::Key("branches".into()), Step::Item(index)];
        for mut item in branch_mistakes(branch) {
            item.path.splice(0..0, prefix.iter().cloned());
            found.push(item);
        }
    }
    for (name, keys) in [("peer", &file.keys.peer), ("resume", &file.keys.resume)] {
        if keys.is_empty() {
            found.push(no_keys(&["keys", name]));
        }
    }
    found
}

/// A list of keys that holds none.
pub(crate) fn no_keys(path: &[&str]) -> Found {
    Found::new(
        path,
        "no key: boxes could not know each other".into(),
        Some("name at least one key".into()),
    )
}

/// The mistakes of a branch; none where it is right.
pub fn check_branch(name: &str, text: &str) -> Option<Box<Mistakes>> {
    parse_branch(name, text).err()
}

/// The mistakes of a box file; none where it is right.
pub fn check_box_file(name: &str, text: &str) -> Option<Box<Mistakes>> {
    parse_box_file(name, text).err()
}

/// A mistake that is known by its path, before its place in the text is.
pub(crate) struct Found {
    path: Vec<Step>,
    pub(crate) message: String,
    advice: Option<String>,
}

impl Found {
    pub(crate) fn path(&self) -> &[Step] {
        &self.path
    }

    /// A mistake in a field of an item of a list.
    pub(crate) fn in_item(list: &[&str], at: usize, field: &str, message: String) -> Self {
        let mut found = Self::new(list, message, None);
        found.path.push(Step::Item(at));
        found.path.push(Step::Key(field.into()));
        found
    }

    pub(crate) fn new(path: &[&str], message: String, advice: Option<String>) -> Self {
        let path = path.iter().map(|key| Step::Key((*key).into())).collect();
        Self {
            path,
            message,
            advice,
        }
    }
}

pub(crate) fn parse<T, F>(name: &str, text: &str, semantic: F) -> Result<T, Box<Mistakes>>
where
    T: DeserializeOwned + JsonSchema,
    F: Fn(&T) -> Vec<Found>,
{
    let located = match Located::parse(text) {
        Ok(located) => located,
        Err(error) => {
            let marker = error.marker();
            let start = byte_offset(text, marker.line(), marker.col());
            return Err(one_mistake(name, text, format!("not YAML: {error}"), start));
        }
    };
    let mut value: Value = match serde_saphyr::from_str(text) {
        Ok(value) => value,
        Err(error) => return Err(one_mistake(name, text, error.to_string(), 0)),
    };
    let mut found = schema_mistakes::<T>(&mut value);
    let parsed: Result<T, _> = serde_json::from_value(value);
    match parsed {
        Ok(parsed) => {
            found.extend(semantic(&parsed));
            if found.is_empty() {
                return Ok(parsed);
            }
        }
        Err(error) if found.is_empty() => {
            found.push(Found::new(&[], error.to_string(), None));
        }
        Err(_) => {}
    }
    Err(place(name, text, &located, found))
}

fn one_mistake(name: &str, text: &str, message: String, start: usize) -> Box<Mistakes> {
    let mistake = Mistake {
        message,
        advice: None,
        span: (start, 0).into(),
    };
    Box::new(Mistakes {
        name: name.into(),
        source_code: NamedSource::new(name, text.to_owned()),
        mistakes: vec![mistake],
    })
}

fn place(name: &str, text: &str, located: &Located<'_>, found: Vec<Found>) -> Box<Mistakes> {
    let mut mistakes: Vec<Mistake> = found
        .into_iter()
        .map(|item| Mistake {
            span: located.span(&item.path).into(),
            message: item.message,
            advice: item.advice,
        })
        .collect();
    mistakes.sort_by_key(|mistake| mistake.span.offset());
    Box::new(Mistakes {
        name: name.into(),
        source_code: NamedSource::new(name, text.to_owned()),
        mistakes,
    })
}

/// Finds what the schema forbids, and takes unknown keys out of `value` so that the rest of it can
/// still be checked.
fn schema_mistakes<T: JsonSchema>(value: &mut Value) -> Vec<Found> {
    let schema = schemars::schema_for!(T);
    let Ok(validator) = jsonschema::validator_for(schema.as_value()) else {
        return Vec::new();
    };
    let mut found = Vec::new();
    let mut unknown: Vec<(Vec<Step>, String)> = Vec::new();
    for error in validator.iter_errors(value) {
        let path = steps(&error);
        if let ValidationErrorKind::AdditionalProperties { unexpected } = &error.kind {
            for key in unexpected {
                let mut key_path = path.clone();
                key_path.push(Step::Key(key.clone()));
                unknown.push((path.clone(), key.clone()));
                found.push(Found {
                    path: key_path,
                    message: format!("unknown key `{key}`"),
                    advice: key_advice(schema.as_value(), key),
                });
            }
        } else {
            found.push(Found {
                path,
                message: error.to_string(),
                advice: None,
            });
        }
    }
    for (path, key) in unknown {
        remove_key(value, &path, &key);
    }
    found
}

fn steps(error: &jsonschema::ValidationError<'_>) -> Vec<Step> {
    (&error.instance_path)
        .into_iter()
        .map(|segment| match segment {
            LocationSegment::Property(name) => Step::Key(name.into_owned()),
            LocationSegment::Index(index) => Step::Item(index),
        })
        .collect()
}

fn remove_key(value: &mut Value, path: &[Step], key: &str) {
    let mut node = value;
    for step in path {
        let next = match step {
            Step::Key(name) => node.get_mut(name),
            Step::Item(index) => node.get_mut(index),
        };
        let Some(next) = next else { return };
        node = next;
    }
    if let Some(object) = node.as_object_mut() {
        object.remove(key);
    }
}

const UNIT_SUFFIXES: [&str; 11] = [
    "ms", "s", "us", "ns", "min", "h", "tokens", "bytes", "kb", "mb", "mib",
];

/// Says which known key was probably meant: the same with another unit, or one spelt alike.
fn key_advice(schema: &Value, key: &str) -> Option<String> {
    let mut known = Vec::new();
    collect_keys(schema, &mut known);
    let stem = unit_stem(key);
    let same_stem = known
        .iter()
        .find(|name| name.as_str() != key && unit_stem(name) == stem);
    if let Some(name) = same_stem {
        return Some(format!(
            "the unit differs: this setting is written `{name}`"
        ));
    }
    known
        .iter()
        .find(|name| edit_distance(name, key) <= 2)
        .map(|name| format!("did you mean `{name}`?"))
}

fn unit_stem(key: &str) -> &str {
    match key.rsplit_once('_') {
        Some((stem, unit)) if UNIT_SUFFIXES.contains(&unit) => stem,
        _ => key,
    }
}

fn collect_keys(schema: &Value, known: &mut Vec<String>) {
    match schema {
        Value::Object(object) => {
            if let Some(Value::Object(properties)) = object.get("properties") {
                known.extend(properties.keys().cloned());
            }
            object.values().for_each(|value| collect_keys(value, known));
        }
        Value::Array(items) => items.iter().for_each(|value| collect_keys(value, known)),
        _ => {}
    }
}

/// Levenshtein's distance.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

#[cfg(test)]
#[path = "check_tests.rs"]
mod tests;
