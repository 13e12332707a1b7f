//! The settings in force at this box. A branch is replaced only by one of a higher revision, so what
//! was accepted never reverts, whatever order the news come in.

use peers::SettingsValue;
use settings::{Branch, Resolved, parse_branch};
use std::collections::BTreeMap;
use std::sync::Arc;

struct Held {
    value: SettingsValue,
    branch: Branch,
}

/// What became of a value that was offered.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Offered {
    /// It is in force now.
    InForce,
    /// The same or a later revision is in force already.
    Old,
    /// It is wrong; the last good one stays in force.
    Wrong(String),
}

/// All branches that this box has.
#[derive(Default)]
pub(crate) struct InForce {
    held: BTreeMap<String, Held>,
}

impl InForce {
    /// Takes a value in, if it is of a higher revision.
    pub fn offer(&mut self, value: &SettingsValue) -> Offered {
        let known = self
            .held
            .get(&value.partner)
            .map(|held| held.value.revision);
        if known.is_some_and(|known| known >= value.revision) {
            return Offered::Old;
        }
        let branch = match parse_branch(&value.partner, &value.text) {
            Ok(branch) if branch.partner == value.partner => branch,
            Ok(branch) => {
                let said = branch.partner;
                let key = &value.partner;
                return Offered::Wrong(format!("the branch at `{key}` is that of `{said}`"));
            }
            Err(mistakes) => return Offered::Wrong(mistakes.to_string()),
        };
        let held = Held {
            value: value.clone(),
            branch,
        };
        self.held.insert(value.partner.clone(), held);
        Offered::InForce
    }

    /// The settings that follow.
    pub fn resolve(&self) -> Arc<Resolved> {
        let branches = self
            .held
            .values()
            .map(|held| (&held.branch, held.value.revision));
        Arc::new(Resolved::from_branches(branches))
    }

    /// A partner's branch, as it was accepted.
    pub fn value(&self, partner: &str) -> Option<&SettingsValue> {
        self.held.get(partner).map(|held| &held.value)
    }

    /// The revision of each branch.
    pub fn revisions(&self) -> Vec<(String, u64)> {
        let revision = |(partner, held): (&String, &Held)| (partner.clone(), held.value.revision);
        self.held.iter().map(revision).collect()
    }

    /// The branches that are newer here than `revisions` say.
    pub fn newer_than(&self, revisions: &[(String, u64)]) -> Vec<SettingsValue> {
        let theirs: BTreeMap<&str, u64> = revisions
            .iter()
            .map(|(partner, revision)| (partner.as_str(), *revision))
            .collect();
        let newer = self.held.values().filter(|held| {
            let known = theirs.get(held.value.partner.as_str());
            known.is_none_or(|known| *known < held.value.revision)
        });
        newer.map(|held| held.value.clone()).collect()
    }
}

#[cfg(test)]
#[path = "inforce_tests.rs"]
mod tests;
