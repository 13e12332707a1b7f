//! Declares each field of a settings file once: what it is for, and how a change of it is taken over.

use crate::check::Found;
use crate::locate::Located;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// How a running process takes a change of a field over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Takes {
    /// At once, for all that it does.
    Live,
    /// For requests that come from then on.
    NewWork,
    /// Not before its next start.
    Restart,
}

impl Takes {
    /// In words, for pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::NewWork => "live for new work",
            Self::Restart => "needs a restart",
        }
    }
}

/// A field of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Where it stands, with dots.
    pub path: &'static str,
    /// How a change of it is taken over.
    pub takes: Takes,
    /// What it is for, with its unit.
    pub about: &'static str,
    /// Its value; of a key only a hash.
    pub value: Value,
}

impl Field {
    /// Declares a field.
    pub fn new(
        path: &'static str,
        takes: Takes,
        about: &'static str,
        value: &impl Serialize,
    ) -> Self {
        Self {
            path,
            takes,
            about,
            // What serialises in no way is shown as nothing; settings are plain data.
            value: serde_json::to_value(value).unwrap_or_default(),
        }
    }

    /// Declares a field whose values are shown to nobody: a list of keys, as their hashes.
    pub fn secret(path: &'static str, takes: Takes, about: &'static str, keys: &[String]) -> Self {
        let hashes: Vec<String> = keys.iter().map(|key| hash(key)).collect();
        Self::new(path, takes, about, &hashes)
    }
}

/// Enough of a key's hash to tell it from another.
fn hash(key: &str) -> String {
    let [a, b, c, d, ..] = crate::resolve::key_sha256(key);
    format!("sha256:{a:02x}{b:02x}{c:02x}{d:02x}")
}

/// A mistake in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineMistake {
    /// The line that it stands in, from 1; 0 where no line is known.
    pub line: usize,
    /// What is wrong.
    pub message: String,
}

/// A settings file whose changes a running process takes over.
pub trait LiveSettings: Clone + Send + Sync + 'static {
    /// Reads and checks a text.
    ///
    /// # Errors
    /// The first mistake of its form, or all mistakes of what it says.
    fn read(text: &str) -> Result<Self, Vec<LineMistake>>;

    /// All fields, always in the same order.
    fn fields(&self) -> Vec<Field>;

    /// These settings, with the fields that need a restart as `running` has them.
    fn keeping_fixed(self, running: &Self) -> Self;
}

/// The paths of the fields that a text names, among all that there are.
pub fn given_paths(text: &str, fields: &[Field]) -> BTreeSet<&'static str> {
    // A text that is no YAML names nothing.
    let value: Value = serde_saphyr::from_str(text).unwrap_or_default();
    let is_given = |field: &&Field| {
        let mut keys = field.path.split('.');
        keys.try_fold(&value, |at, key| at.get(key)).is_some()
    };
    fields
        .iter()
        .filter(is_given)
        .map(|field| field.path)
        .collect()
}

/// The mistake that the parser found.
pub(crate) fn form_mistake(error: &serde_saphyr::Error) -> LineMistake {
    LineMistake {
        line: error.location().map_or(0, |at| at.line() as usize),
        message: error.to_string(),
    }
}

/// Mistakes with the lines that they stand in.
pub(crate) fn with_lines(text: &str, found: Vec<Found>) -> Vec<LineMistake> {
    let located = Located::parse(text).ok();
    let line_of = |item: &Found| {
        let located = located.as_ref()?;
        let (start, _) = located.span(item.path());
        Some(text[..start].matches('\n').count() + 1)
    };
    found
        .into_iter()
        .map(|item| LineMistake {
            line: line_of(&item).unwrap_or_default(),
            message: item.message,
        })
        .collect()
}
