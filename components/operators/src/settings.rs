//! A process's settings in force, as operators see them.

use reload::Snapshot;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use settings::{Field, LiveSettings, Takes};

/// One field as it is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldView {
    /// Where it stands in the file, with dots.
    pub path: String,
    /// Its value; of a key only a hash.
    pub value: Value,
    /// How a change of it is taken over.
    pub takes: Takes,
    /// Whether the file names it; otherwise this is its default.
    pub from_file: bool,
}

/// The settings in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettingsView {
    /// Rises by one with each change.
    pub generation: u64,
    /// When they came into force, in Unix milliseconds.
    pub since_unix_ms: u64,
    /// All fields.
    pub fields: Vec<FieldView>,
    /// Paths of the fields whose new values wait for a restart.
    pub waiting: Vec<String>,
}

impl SettingsView {
    /// The view of a snapshot.
    pub fn of<T: LiveSettings>(snapshot: &Snapshot<T>) -> Self {
        let view = |field: Field| FieldView {
            from_file: snapshot.given.contains(field.path),
            path: field.path.to_owned(),
            value: field.value,
            takes: field.takes,
        };
        Self {
            generation: snapshot.generation,
            since_unix_ms: snapshot.since_unix_ms,
            fields: snapshot.value.fields().into_iter().map(view).collect(),
            waiting: snapshot
                .waiting
                .iter()
                .map(|path| (*path).to_owned())
                .collect(),
        }
    }

    /// The fields that a file would change, with their values there.
    pub fn changed_by<T: LiveSettings>(&self, file: &T) -> Vec<(FieldView, Value)> {
        let told = file.fields();
        let pair = |field: &FieldView| {
            let told = told.iter().find(|told| told.path == field.path)?;
            (told.value != field.value).then(|| (field.clone(), told.value.clone()))
        };
        self.fields.iter().filter_map(pair).collect()
    }
}
