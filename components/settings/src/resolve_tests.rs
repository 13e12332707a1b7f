use super::*;
use crate::check::parse_branch;

fn example() -> Branch {
    let text = include_str!("../../../examples/points-platform.yaml");
    parse_branch("example", text).unwrap()
}

#[test]
fn child_inherits_unless_it_says_otherwise() {
    let text = "partner: p\nnodes:\n  top: {limits: {first_token_deadline_ms: 7, urgent: true}}\n  \
                low: {parent: top, limits: {urgent: false}}\naccounts:\n  a: {parent: low}\n";
    let branch = parse_branch("test", text).unwrap();
    let resolved = Resolved::from_branches([(&branch, 1)]);
    let account = &resolved.accounts[&AccountId::from_name("p/a")];
    assert_eq!(account.first_token_deadline_ms, 7);
    assert!(!account.urgent);
}

#[test]
fn divides_engines_into_shards() {
    let mut branch = example();
    let engine = branch.targets["oslo-engine-1"].clone();
    for number in 0..40 {
        branch.targets.insert(format!("e{number}"), engine.clone());
    }
    branch.models.get_mut("assistant").unwrap().shards = 4;
    let resolved = Resolved::from_branches([(&branch, 1)]);
    let model = ModelId::from_name("assistant");
    let region = RegionId::from_name("region-1");
    let sizes: Vec<usize> = (0..4)
        .map(|shard| {
            let pool = PoolId {
                model,
                region,
                shard,
            };
            resolved.engines_of(pool).len()
        })
        .collect();
    assert_eq!(sizes.iter().sum::<usize>(), 43);
    assert!(sizes.iter().all(|size| *size > 0), "{sizes:?}");
    let drawn = resolved.pool_of(model, region, 17);
    assert!(!resolved.engines_of(drawn).is_empty());
}

#[test]
fn finds_account_by_key() {
    let mut branch = example();
    let account = branch.accounts.values_mut().next().unwrap();
    let hash = key_sha256("secret");
    account.key_sha256 = vec![hash.iter().map(|byte| format!("{byte:02x}")).collect()];
    let resolved = Resolved::from_branches([(&branch, 1)]);
    assert!(resolved.account_of_key("secret").is_some());
    assert!(resolved.account_of_key("Secret").is_none());
}
