use super::*;

const ROLE: u64 = 7;

fn card(id: u32, life: u32, leaving: bool) -> FleetCard {
    FleetCard {
        id: BoxId(id),
        life,
        name: format!("box-{id}").into(),
        callers_address: None,
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "hall".into(),
        leaving,
        link_mbps: 1_000,
    }
}

fn three_boxes() -> Members {
    let mut members = Members::new(BoxId(1), 1_000);
    members.upsert(card(2, 1, false), true, 0);
    members.upsert(card(3, 1, false), true, 0);
    members
}

#[test]
fn suspicion_of_an_unresponsive_box_lasts_longer_after_each_failure() {
    let mut members = three_boxes();
    let first = members.ranked(ROLE, true, 0)[0];
    members.record_failure(first, 0);
    assert_ne!(members.ranked(ROLE, true, 500)[0], first);
    assert_eq!(members.ranked(ROLE, true, 1_500)[0], first);
    members.record_failure(first, 1_500);
    assert_ne!(members.ranked(ROLE, true, 3_000)[0], first);
    members.record_contact(first, 3_000);
    assert_eq!(members.ranked(ROLE, true, 3_001)[0], first);
}

/// Guards against a dispatcher that loses its role because it was not scheduled for a moment.
#[test]
fn a_box_that_answers_one_call_late_keeps_its_roles() {
    let mut members = three_boxes();
    let first = members.ranked(ROLE, true, 0)[0];
    assert!(!members.record_timeout(first, 120, 120));
    assert_eq!(members.ranked(ROLE, true, 121)[0], first);
    members.record_contact(first, 150);
    assert!(!members.record_timeout(first, 120, 300));
    assert_eq!(members.ranked(ROLE, true, 301)[0], first);
}

#[test]
fn a_box_that_leaves_calls_unanswered_for_long_enough_is_suspected() {
    let mut members = three_boxes();
    let first = members.ranked(ROLE, true, 0)[0];
    assert!(!members.record_timeout(first, 120, 120));
    assert!(members.record_timeout(first, 120, 240));
    assert_ne!(members.ranked(ROLE, true, 241)[0], first);
    members.record_contact(first, 300);
    assert!(members.record_timeout(first, 250, 900));
    assert_ne!(members.ranked(ROLE, true, 901)[0], first);
}

#[test]
fn a_stopping_box_holds_no_role() {
    let mut members = three_boxes();
    members.upsert(card(2, 1, true), false, 10);
    assert_eq!(*members.ranked(ROLE, true, 20), [BoxId(3)]);
}

#[test]
fn key_of_a_previous_incarnation_does_not_override_gossip() {
    let mut members = three_boxes();
    members.upsert(card(2, 5, true), false, 10);
    assert_eq!(
        members.upsert(card(2, INCARNATION_UNKNOWN, false), true, 20),
        MemberUpdate::Unchanged
    );
    let known = members.card(BoxId(2)).unwrap();
    assert_eq!((known.life, known.leaving), (5, true));
    assert_eq!(
        members.upsert(card(2, 6, false), false, 30),
        MemberUpdate::New
    );
    assert!(!members.card(BoxId(2)).unwrap().leaving);
}

#[test]
fn first_gossip_of_a_box_known_by_its_key_does_not_make_it_new() {
    let mut members = Members::new(BoxId(1), 1_000);
    assert_eq!(
        members.upsert(card(2, INCARNATION_UNKNOWN, false), true, 0),
        MemberUpdate::New
    );
    assert_eq!(
        members.upsert(card(2, 9, false), false, 5),
        MemberUpdate::Unchanged
    );
    assert_eq!(members.card(BoxId(2)).unwrap().life, 9);
}

#[test]
fn peak_box_count_includes_boxes_known_to_a_peer() {
    let mut members = three_boxes();
    members.record_reported_count(40, 10);
    assert_eq!(members.peak_box_count(), 41);
}

#[test]
fn broadcast_order_prefers_wide_links_and_puts_suspected_boxes_last() {
    let mut members = Members::new(BoxId(1), 1_000);
    for (id, link_mbps) in [(2, 20), (3, 200), (4, 100), (5, 400)] {
        let card = FleetCard {
            link_mbps,
            ..card(id, 1, false)
        };
        members.upsert(card, true, 0);
    }
    members.record_failure(BoxId(5), 0);
    let order: Vec<u32> = members.broadcast_order(10).iter().map(|b| b.0.0).collect();
    assert_eq!(order, [3, 4, 2, 5]);
}

#[test]
fn silent_box_is_removed_unless_it_has_a_key() {
    let mut members = three_boxes();
    members.set_keyed(&[BoxId(2)]);
    assert_eq!(members.expire_silent(60_000), [BoxId(3)]);
    assert_eq!(members.others(), [BoxId(2)]);
}

#[test]
fn peak_box_count_falls_only_after_a_delay() {
    let mut members = three_boxes();
    members.set_keyed(&[]);
    members.expire_silent(12_000);
    assert_eq!(members.peak_box_count(), 3);
    members.expire_silent(20_000);
    assert_eq!(members.peak_box_count(), 1);
}

#[test]
fn reconnect_chance_counts_boxes_that_have_just_begun_to_stop() {
    let mut members = three_boxes();
    assert_eq!(members.reconnect_chance(0), 1.0);
    members.upsert(card(2, 1, true), false, 1_000);
    assert_eq!(members.reconnect_chance(1_500), 0.5);
    assert_eq!(members.first_stop_ms(), Some(1_000));
    // Fewer than half of the boxes are not stopping, so the platform still routes to all of them.
    assert_eq!(members.reconnect_chance(4_000), 0.5);
    members.upsert(card(3, 1, true), false, 4_000);
    assert_eq!(members.reconnect_chance(4_000), 0.0);
    members.upsert(card(3, 2, false), false, 5_000);
    assert_eq!(members.reconnect_chance(5_000), 0.5);
}

#[test]
fn reconnect_chance_leaves_out_a_box_that_has_been_stopping_for_long() {
    let mut members = three_boxes();
    for id in [4, 5, 6] {
        members.upsert(card(id, 1, false), true, 0);
    }
    members.upsert(card(2, 1, true), false, 1_000);
    assert_eq!(members.reconnect_chance(1_500), 0.8);
    assert_eq!(members.reconnect_chance(3_500), 1.0);
}

#[test]
fn boxes_with_wide_links_rank_first() {
    let mut members = Members::new(BoxId(1), 10);
    for id in 2..20 {
        let wide = id % 6 == 0;
        let card = FleetCard {
            link_mbps: if wide { 200 } else { 10 },
            ..card(id, 1, false)
        };
        members.upsert(card, true, 0);
    }
    let order = members.ranked(ROLE, false, 0);
    let mut first: Vec<u32> = order[..3].iter().map(|id| id.0).collect();
    first.sort();
    assert_eq!(first, [6, 12, 18]);
    assert_eq!(order.len(), 19);
}

/// A fleet of `boxes` boxes, one in twenty with a wide link.
fn fleet(boxes: u32) -> Members {
    let mut members = Members::new(BoxId(0), 20);
    for id in 1..boxes {
        let link_mbps = if id % 20 == 0 { 200 } else { 20 };
        let card = FleetCard {
            link_mbps,
            ..card(id, 1, false)
        };
        members.upsert(card, true, 0);
    }
    members
}

#[rstest::rstest]
#[case::boxes_100(100)]
#[case::boxes_1_000(1_000)]
fn ranking_is_computed_once_while_the_box_list_is_unchanged(#[case] boxes: u32) {
    let members = fleet(boxes);
    for at_ms in 0..100 {
        for role in [ROLE, ROLE + 1] {
            assert_eq!(members.ranked(role, false, at_ms).len(), boxes as usize);
        }
    }
    let checks = members.ranking_checks();
    assert!(checks <= 2 * u64::from(boxes), "{checks}");
}

/// Asserts that the cached order equals a freshly computed one.
fn assert_cache_is_valid(members: &Members, now_ms: u64) {
    let fresh = Members {
        ranking_checks: Cell::default(),
        ..members.without_cache()
    };
    for leaving in [false, true] {
        let (cached, computed) = (
            members.ranked(ROLE, leaving, now_ms),
            fresh.ranked(ROLE, leaving, now_ms),
        );
        assert_eq!(cached, computed, "at {now_ms} ms");
    }
}

#[test]
fn cached_ranking_follows_changes_of_the_box_list() {
    let mut members = fleet(40);
    let unkeyed = FleetCard {
        link_mbps: 200,
        ..card(50, 1, false)
    };
    members.upsert(unkeyed, false, 0);
    assert_cache_is_valid(&members, 0);
    for at_ms in (0..40_000).step_by(250) {
        match at_ms {
            1_000 => members.record_failure(BoxId(20), at_ms),
            1_500 => members.record_failure(BoxId(7), at_ms),
            3_000 => members.record_failure(BoxId(20), at_ms),
            4_000 => drop(members.record_contact(BoxId(20), at_ms)),
            6_000 => drop(members.upsert(card(7, 1, true), false, at_ms)),
            8_000 => members.set_link(200),
            9_000 => members.set_keyed(&[BoxId(1), BoxId(2), BoxId(20)]),
            30_000 => drop(members.expire_silent(at_ms)),
            31_000 => drop(members.upsert(card(60, 1, false), true, at_ms)),
            _ => {}
        }
        assert_cache_is_valid(&members, at_ms);
    }
}

/// Bytes per second that one box reads of all box keys, over an hour without changes, with 330 bytes per key.
fn list_bytes_per_second(boxes: u32) -> f64 {
    let members = fleet(boxes);
    let (mut reads, mut read_ms) = (0, 0);
    for now_ms in (0..3_600_000).step_by(10_000) {
        if members.is_list_due(now_ms - read_ms) {
            reads += 1;
            read_ms = now_ms;
        }
    }
    f64::from(reads) * f64::from(boxes) * 330.0 / 3_600.0
}

#[rstest::rstest]
#[case::boxes_8(8)]
#[case::boxes_100(100)]
#[case::boxes_1_000(1_000)]
fn reading_all_box_keys_takes_a_box_about_a_kilobyte_per_second(#[case] boxes: u32) {
    let bytes = list_bytes_per_second(boxes);
    assert!(bytes < 1_200.0, "{bytes} bytes per second");
}

#[test]
fn a_report_of_unknown_boxes_shortens_the_read_interval() {
    let mut members = fleet(1_000);
    assert!(!members.is_list_due(LIST_INTERVAL_MS - 1));
    members.record_reported_count(1_000, 5_000);
    assert!(members.is_list_due(LIST_INTERVAL_MS));
}

/// Boxes 1 to 6, the even ones in data centre "barn", the odd ones in "hall". This box is 1.
fn two_data_centres() -> Members {
    let mut members = Members::new(BoxId(1), 1_000);
    for id in 2..=6 {
        let data_centre = if id % 2 == 0 { "barn" } else { "hall" };
        let card = FleetCard {
            data_centre: data_centre.into(),
            ..card(id, 1, false)
        };
        members.upsert(card, true, 0);
    }
    members
}

#[test]
fn role_near_a_data_centre_is_held_there_while_a_box_there_is_eligible() {
    let (hall, barn) = (
        DataCentreId::from_name("hall"),
        DataCentreId::from_name("barn"),
    );
    let mut members = two_data_centres();
    for role in 0..20 {
        let holder = members.role_holder_near(role, barn, Some(hall), 0).unwrap();
        assert_eq!(holder.0 % 2, 0);
        let holder = members.role_holder_near(role, hall, Some(hall), 0).unwrap();
        assert_eq!(holder.0 % 2, 1);
    }
    for id in [2, 4, 6] {
        members.record_failure(BoxId(id), 0);
    }
    let holder = members.role_holder_near(ROLE, barn, Some(hall), 0).unwrap();
    assert_eq!(holder.0 % 2, 1, "no box in the barn answers");
    assert_eq!(members.eligible_count(0), 3);
}

#[test]
fn all_boxes_agree_on_the_holder_of_a_role_near_a_data_centre() {
    let hall = DataCentreId::from_name("hall");
    let mine = two_data_centres();
    let mut others = Members::new(BoxId(3), 1_000);
    for id in [1, 2, 4, 5, 6] {
        let data_centre = if id % 2 == 0 { "barn" } else { "hall" };
        let card = FleetCard {
            data_centre: data_centre.into(),
            ..card(id, 1, false)
        };
        others.upsert(card, true, 0);
    }
    for role in 0..50 {
        let by_me = mine.role_holder_near(role, hall, Some(hall), 0);
        assert_eq!(by_me, others.role_holder_near(role, hall, Some(hall), 0));
    }
}
