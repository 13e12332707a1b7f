//! What a change of the settings costs a box, over the accounts in it.

use super::slope::{Slope, Subject};
use super::target;
use peers::{SettingsPatch, SettingsValue};
use settings::{Account, Branch, Resolved, key_sha256, parse_branch};
use std::time::Instant;

const ACCOUNT_COUNTS: [u64; 3] = [500, 1_500, 4_500];

/// The slopes of settings.
pub fn slopes() -> Vec<Slope> {
    let mut times = Vec::new();
    let mut sizes = Vec::new();
    for accounts in ACCOUNT_COUNTS {
        let text = serde_json::to_string(&branch(accounts)).unwrap_or_default();
        let began = Instant::now();
        let parsed = parse_branch("capacity", &text);
        let resolved = parsed.map(|branch| Resolved::from_branches([(&branch, 1)]));
        let time_us = began.elapsed().as_micros() as f64;
        assert!(resolved.is_ok_and(|resolved| resolved.accounts.len() as u64 == accounts));
        times.push((accounts as f64, time_us));
        sizes.push((accounts as f64, change_bytes(accounts)));
    }
    // A partner's branch holds half of the accounts, and a change replaces one branch.
    let accounts = target::ACCOUNTS / 2.0;
    let changes_per_s = target::CHANGES_PER_DAY / target::DAY_S;
    let time = Subject {
        role: "settings",
        quantity: "change_us",
        per: "accounts_in_branch",
    };
    let budget = Some(target::BUDGET_CORE_PERCENT);
    let time = Slope::fit(time, times, budget, |slope, base| {
        (base + slope * accounts) * changes_per_s / 1e6 * 100.0
    });
    let size = Subject {
        role: "settings",
        quantity: "change_bytes",
        per: "accounts_in_branch",
    };
    // Each byte comes in once.
    let size = Slope::fit(
        size,
        sizes,
        Some(target::BUDGET_BYTES_PER_S),
        |slope, base| (base + slope * accounts) * changes_per_s,
    );
    vec![time, size]
}

/// Bytes that a box gets for the change of one account.
fn change_bytes(accounts: u64) -> f64 {
    let before = branch(accounts);
    let mut after = before.clone();
    if let Some(account) = after.accounts.values_mut().next() {
        account.weight = 2.0;
    }
    let value = |branch: &Branch, revision| SettingsValue {
        partner: branch.partner.clone(),
        revision,
        text: serde_json::to_string_pretty(branch).unwrap_or_default(),
    };
    let (old, new) = (value(&before, 1), value(&after, 2));
    let patch = SettingsPatch::between(&old, &new);
    patch.map_or(new.text.len(), |patch| patch.diff_bytes()) as f64
}

fn branch(accounts: u64) -> Branch {
    let mut branch = Branch {
        partner: "capacity".into(),
        weight: 1.0,
        ..Branch::default()
    };
    branch.nodes.insert(
        "owner".into(),
        settings::Node {
            weight: 1.0,
            ..settings::Node::default()
        },
    );
    for number in 0..accounts {
        let name = format!("account-{number:06}");
        let hash = key_sha256(&name)
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        let account = Account {
            parent: "owner".into(),
            weight: 1.0,
            key_sha256: vec![hash],
            ..Account::default()
        };
        branch.accounts.insert(name, account);
    }
    branch
}
