//! A change of a branch as the difference from the one before it. Branches grow with accounts, changes
//! do not, and each change goes to every box.

use crate::messages::SettingsValue;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A branch, as a difference from an earlier revision of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsPatch {
    /// The partner whose branch it is.
    pub partner: String,
    /// The revision from which it is a difference.
    pub from_revision: u64,
    /// The revision that it leads to.
    pub revision: u64,
    /// The difference, as a unified diff.
    diff: String,
    /// XXH3 of the text that it leads to.
    text_hash: u64,
}

impl SettingsPatch {
    /// The difference between two revisions; none where it would not be much shorter than the text.
    pub fn between(old: &SettingsValue, new: &SettingsValue) -> Option<Self> {
        let diff = diffy::create_patch(&old.text, &new.text).to_string();
        if diff.len() * 2 > new.text.len() {
            return None;
        }
        Some(Self {
            partner: new.partner.clone(),
            from_revision: old.revision,
            revision: new.revision,
            diff,
            text_hash: xxh3_64(new.text.as_bytes()),
        })
    }

    /// The branch that the difference leads to from `base`; none where `base` is not the revision that
    /// it starts from, or where the outcome is not the text that was accepted.
    pub fn apply(&self, base: &SettingsValue) -> Option<SettingsValue> {
        if base.revision != self.from_revision || base.partner != self.partner {
            return None;
        }
        let patch = diffy::Patch::from_str(&self.diff).ok()?;
        let text = diffy::apply(&base.text, &patch).ok()?;
        if xxh3_64(text.as_bytes()) != self.text_hash {
            return None;
        }
        Some(SettingsValue {
            partner: self.partner.clone(),
            revision: self.revision,
            text,
        })
    }

    /// Bytes of the difference.
    pub fn diff_bytes(&self) -> usize {
        self.diff.len()
    }
}

#[cfg(test)]
#[path = "patch_tests.rs"]
mod tests;
