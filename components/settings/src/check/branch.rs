//! What a branch of the settings tree says that can't be: parents, accounts, targets, services.

use super::{Found, edit_distance};
use crate::branch::{Branch, TargetKind};
use crate::fleetcheck::cap_mistake;
use std::collections::BTreeMap;

pub(super) fn branch_mistakes(branch: &Branch) -> Vec<Found> {
    let mut found = Vec::new();
    check_partner(branch, &mut found);
    check_nodes(branch, &mut found);
    check_accounts(branch, &mut found);
    check_targets(branch, &mut found);
    check_services(branch, &mut found);
    found
}

fn check_partner(branch: &Branch, found: &mut Vec<Found>) {
    let name = &branch.partner;
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || !name.chars().all(valid) {
        let message = format!("`{name}` is no partner name: use letters, digits, `-` and `_`");
        found.push(Found::new(&["partner"], message, None));
    }
}

/// Says what is wrong with a parent's name, if anything.
fn parent_mistake(branch: &Branch, parent: &str) -> Option<(String, Option<String>)> {
    if let Some((partner, _)) = parent.split_once('/') {
        let message = format!("`{parent}` lies in the branch of `{partner}`");
        let advice = format!("a branch inherits only from nodes of `{}`", branch.partner);
        return Some((message, Some(advice)));
    }
    if branch.nodes.contains_key(parent) {
        return None;
    }
    let near = branch
        .nodes
        .keys()
        .find(|name| edit_distance(name, parent) <= 2);
    let advice = near.map(|name| format!("did you mean `{name}`?"));
    Some((format!("unknown parent `{parent}`"), advice))
}

fn check_nodes(branch: &Branch, found: &mut Vec<Found>) {
    for (name, node) in &branch.nodes {
        let Some(parent) = &node.parent else { continue };
        let path = ["nodes", name, "parent"];
        if let Some((message, advice)) = parent_mistake(branch, parent) {
            found.push(Found::new(&path, message, advice));
        } else if inherits_from_itself(branch, name) {
            let message = format!("`{name}` inherits from itself");
            found.push(Found::new(&path, message, None));
        }
    }
}

fn inherits_from_itself(branch: &Branch, start: &str) -> bool {
    let mut name = start;
    for _ in 0..=branch.nodes.len() {
        let Some(parent) = branch
            .nodes
            .get(name)
            .and_then(|node| node.parent.as_deref())
        else {
            return false;
        };
        if parent == start {
            return true;
        }
        name = parent;
    }
    true
}

fn check_accounts(branch: &Branch, found: &mut Vec<Found>) {
    let mut holders: BTreeMap<String, &str> = BTreeMap::new();
    for (name, account) in &branch.accounts {
        if let Some((message, advice)) = parent_mistake(branch, &account.parent) {
            found.push(Found::new(&["accounts", name, "parent"], message, advice));
        }
        if let Some(message) = account.cap_share.and_then(cap_mistake) {
            found.push(Found::new(&["accounts", name, "cap_share"], message, None));
        }
        let path = ["accounts", name, "key_sha256"];
        for hash in &account.key_sha256 {
            let hash = hash.to_ascii_lowercase();
            if hash.len() != 64 || !hash.chars().all(|c| c.is_ascii_hexdigit()) {
                let message = "a key's SHA-256 has 64 hexadecimal digits".to_owned();
                found.push(Found::new(&path, message, None));
            } else if let Some(other) = holders.insert(hash, name) {
                let message = format!("this key already belongs to `{other}`");
                found.push(Found::new(&path, message, None));
            }
        }
    }
}

fn check_targets(branch: &Branch, found: &mut Vec<Found>) {
    for (name, target) in &branch.targets {
        if target.kind != TargetKind::Engine {
            continue;
        }
        if target.models.is_empty() {
            let message = "an engine serves at least one model".to_owned();
            found.push(Found::new(&["targets", name], message, None));
        }
        if target.kv_capacity_tokens == 0 {
            let message = "an engine needs `kv_capacity_tokens`".to_owned();
            found.push(Found::new(&["targets", name], message, None));
        }
    }
}

fn check_services(branch: &Branch, found: &mut Vec<Found>) {
    for (name, service) in &branch.services {
        let path = ["services", name, "targets"];
        for target in &service.targets {
            let kind = branch.targets.get(target).map(|settings| settings.kind);
            let message = match kind {
                Some(TargetKind::Worker) => continue,
                Some(TargetKind::Engine) => format!("`{target}` is an engine, not a worker"),
                None => format!("unknown target `{target}`"),
            };
            found.push(Found::new(&path, message, None));
        }
    }
}
