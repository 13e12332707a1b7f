use super::*;
use rstest::rstest;

const ENGINES: usize = 10;
const ENGINE_TOKENS: u64 = 1_000;

fn share(owner: u64, weight: f64) -> Share {
    Share {
        partner: PartnerId(1),
        owner: OwnerId(owner),
        account: AccountId(owner),
        partner_weight: 1.0,
        owner_weight: weight,
        account_weight: 1.0,
    }
}

fn tree() -> FairTree {
    let mut tree = FairTree::default();
    tree.set_capacity(ENGINES, ENGINES as u64 * ENGINE_TOKENS);
    tree
}

#[test]
fn serves_by_weight() {
    let mut tree = tree();
    let shares = [share(1, 1.0), share(2, 3.0)];
    shares.iter().for_each(|share| tree.add_waiting(share));
    let mut served = [0u32; 2];
    for at in 1..=400 {
        tree.advance(at * 10);
        let first = usize::from(
            tree.service_ms_by_level(&shares[1]) < tree.service_ms_by_level(&shares[0]),
        );
        tree.charge(&shares[first], 10.0);
        served[first] += 1;
    }
    assert_eq!(served, [100, 300]);
}

#[test]
fn charges_memory_while_it_is_in_use() {
    let mut tree = tree();
    let (long, short) = (share(1, 1.0), share(2, 1.0));
    for one in [&long, &short] {
        tree.add_waiting(one);
        tree.add_running(one);
        tree.adjust_tokens_in_use(one, 500.0);
    }
    tree.advance(100);
    tree.remove_running(&short);
    tree.adjust_tokens_in_use(&short, -500.0);
    tree.advance(400);
    let more_ms = tree.service_ms_by_level(&long)[1] - tree.service_ms_by_level(&short)[1];
    assert!((more_ms - 150.0).abs() < 1e-6, "{more_ms}");
}

#[test]
fn saves_up_unused_share_for_at_most_one_window() {
    let mut tree = tree();
    let (busy, idle) = (share(1, 1.0), share(2, 1.0));
    tree.add_waiting(&idle);
    tree.add_waiting(&busy);
    tree.remove_waiting(&idle);
    tree.charge(&busy, 1e9);
    tree.advance(10);
    tree.add_waiting(&idle);
    let owed_ms = -tree.excess_ms(&idle);
    assert!(owed_ms > 0.0 && owed_ms <= 2_000.0, "{owed_ms}");
    assert!(tree.service_ms_by_level(&idle) < tree.service_ms_by_level(&busy));
}

#[test]
fn a_new_account_starts_level_with_the_least_served() {
    let mut tree = tree();
    let (most_served, least_served, new) = (share(1, 1.0), share(2, 1.0), share(3, 1.0));
    tree.add_waiting(&most_served);
    tree.add_waiting(&least_served);
    tree.charge(&most_served, 900.0);
    tree.charge(&least_served, 300.0);
    tree.advance(10);
    tree.add_waiting(&new);
    assert_eq!(
        tree.service_ms_by_level(&new)[1],
        tree.service_ms_by_level(&least_served)[1]
    );
}

#[test]
fn past_sole_use_costs_at_most_one_window() {
    let mut tree = tree();
    let (sole, other) = (share(1, 1.0), share(2, 1.0));
    tree.add_running(&sole);
    tree.charge(&sole, 1e9);
    tree.add_waiting(&other);
    tree.add_waiting(&sole);
    tree.advance(10);
    assert!(tree.excess_ms(&sole) <= 2_000.0 + 1e-6);
    // The other receives its fair share, half of ten engines, for two seconds.
    tree.charge(&other, 4_000.0 + 2_000.0 * 5.0);
    tree.advance(20);
    assert!(tree.service_ms_by_level(&sole) <= tree.service_ms_by_level(&other));
}

#[test]
fn accounts_of_other_owners_do_not_count() {
    let mut tree = tree();
    let (one, other) = (share(1, 1.0), share(2, 1.0));
    tree.add_waiting(&one);
    tree.charge(&one, 500.0);
    tree.advance(10);
    tree.add_waiting(&other);
    assert!((tree.entitled_part(&one) - 0.5).abs() < 1e-9);
    assert!(tree.service_ms_by_level(&other)[2] <= 0.0);
}

#[test]
fn an_account_beyond_its_entitled_part_is_over_its_share() {
    let mut tree = tree();
    let (one, other) = (share(1, 1.0), share(2, 1.0));
    for (share, tokens) in [(&one, 900.0), (&other, 100.0)] {
        tree.add_running(share);
        tree.adjust_tokens_in_use(share, tokens);
    }
    assert!(tree.is_over_share(&one));
    assert!(!tree.is_over_share(&other));
    tree.remove_running(&other);
    tree.adjust_tokens_in_use(&other, -100.0);
    assert!(
        !tree.is_over_share(&one),
        "a single account may use all memory"
    );
}

#[test]
fn a_cap_bounds_memory_in_use_but_allows_the_first_request() {
    let mut tree = tree();
    let one = share(1, 1.0);
    tree.set_caps([(one.account, 0.1)].into());
    assert!(!tree.would_exceed_cap(&one, 5_000));
    tree.add_running(&one);
    tree.adjust_tokens_in_use(&one, 800.0);
    assert!(!tree.would_exceed_cap(&one, 200));
    assert!(tree.would_exceed_cap(&one, 201));
    tree.set_caps(HashMap::new());
    assert!(!tree.would_exceed_cap(&one, 201));
}

#[test]
fn drops_counters_of_idle_accounts() {
    let mut tree = tree();
    for owner in 2..100 {
        tree.add_running(&share(owner, 1.0));
        tree.remove_running(&share(owner, 1.0));
    }
    let busy = share(1, 1.0);
    tree.add_waiting(&busy);
    for at in 1..1_000 {
        tree.charge(&busy, 100.0);
        tree.advance(at * 10);
    }
    assert_eq!(tree.accounts.len(), 1);
}

#[rstest]
#[case::one_of_two(2, 900, 70, false)]
#[case::nearly_all_of_two(2, 900, 50, true)]
#[case::one_of_24(24, 450, 24, true)]
#[case::large_one_of_24(24, 340, 29, false)]
fn detects_a_flood_by_the_odds_of_requested_tokens(
    #[case] accounts: u64,
    #[case] own_tokens: u32,
    #[case] others_tokens: u32,
    #[case] expected: bool,
) {
    let mut tree = tree();
    for owner in 1..=accounts {
        let tokens = if owner == 1 {
            own_tokens
        } else {
            others_tokens
        };
        tree.record_arrival(&share(owner, 1.0), tokens);
    }
    assert_eq!(tree.is_flooding(&share(1, 1.0)), expected);
    assert!(!tree.is_flooding(&share(2, 1.0)));
    tree.set_enabled(false);
    assert!(!tree.is_flooding(&share(1, 1.0)));
}

/// Beside a large account, 23 small accounts send one request each in seven seconds.
#[test]
fn rare_requests_of_small_accounts_count_in_flood_detection() {
    let mut tree = tree();
    for at in 0..100 {
        let arrivals = [(1, 80), (2, 100), (3 + at % 23, 5)];
        for (account, tokens) in arrivals {
            tree.record_arrival(&share(account, 1.0), tokens);
            tree.add_running(&share(account, 1.0));
        }
        tree.advance(at * 300 + 10);
        for (account, _) in arrivals {
            tree.remove_running(&share(account, 1.0));
        }
        tree.advance(at * 300 + 299);
    }
    assert!(tree.is_flooding(&share(1, 1.0)));
}

#[test]
fn a_single_account_never_floods() {
    let mut tree = tree();
    tree.record_arrival(&share(1, 1.0), 1_000_000);
    assert!(!tree.is_flooding(&share(1, 1.0)));
}

#[test]
fn a_flood_ends_when_its_requests_stop() {
    let mut tree = tree();
    for owner in 1..=24 {
        tree.record_arrival(&share(owner, 1.0), if owner == 1 { 500 } else { 20 });
    }
    assert!(tree.is_flooding(&share(1, 1.0)));
    for at in 1..=600 {
        tree.advance(at * 10);
        for owner in 1..=24 {
            tree.record_arrival(&share(owner, 1.0), 1);
        }
    }
    assert!(!tree.is_flooding(&share(1, 1.0)));
}

#[test]
fn reserves_headroom_only_after_recent_waits_of_others() {
    let mut tree = tree();
    tree.add_running(&share(1, 1.0));
    tree.adjust_tokens_in_use(&share(1, 1.0), 9_000.0);
    tree.advance(1_000);
    assert!(!tree.is_headroom_reserved());
    tree.record_non_flooding_wait(1_000);
    tree.advance(6_000);
    assert!(tree.is_headroom_reserved());
    tree.advance(6_010);
    assert!(!tree.is_headroom_reserved());
}

/// One of 24 accounts requests `tokens`, each other one 10.
#[rstest]
#[case::largest_of_many(160, false)]
#[case::as_much_as_all_others(230, true)]
fn an_account_that_requests_as_much_as_all_others_is_dominant(
    #[case] tokens: u32,
    #[case] expected: bool,
) {
    let mut tree = tree();
    tree.record_arrival(&share(1, 1.0), tokens);
    for account in 2..25 {
        tree.record_arrival(&share(account, 1.0), 10);
    }
    assert_eq!(tree.has_dominant_demand(&share(1, 1.0)), expected);
}
