use super::*;
use crate::health::causes::{CRASHES_MIN, SIMULTANEOUS_MS};
use prelude::{AccountId, RunId, TargetId};
use rstest::rstest;

pub(super) fn part(id: u64) -> PartKey {
    PartKey { engines: 1, id }
}

pub(super) fn request(digest: u64) -> RequestKey {
    RequestKey {
        account: AccountId(1),
        digest,
    }
}

/// Reports of a crash that interrupted a request with these parts before it began.
pub(super) fn crash(digest: u64, parts: &[u64], target: u64) -> Vec<TargetEnd> {
    let suspects = parts.iter().map(|id| Suspect::Part(part(*id)));
    suspects
        .chain([Suspect::Request(request(digest))])
        .map(|suspect| TargetEnd {
            suspect,
            target: TargetId(target),
            runs: vec![RunId::of(request(digest))],
            ran_ms: 60,
            age_ms: 0,
        })
        .collect()
}

/// Crashes 3 s apart, each under another request. Prompts are separated by spaces, and their parts by commas. Returns the time
/// of the decision, too.
fn after(prompts: &str) -> (Quarantine, u64) {
    let mut quarantine = Quarantine::default();
    let mut now_ms = 10_000;
    for (at, prompt) in (1..).zip(prompts.split(' ')) {
        let parts: Vec<u64> = prompt.split(',').map(|id| id.parse().unwrap()).collect();
        now_ms += 3_000;
        quarantine.record_crashes(&crash(at, &parts, at), now_ms);
    }
    (quarantine, now_ms + DECISION_MS as u64)
}

fn verdict_of(quarantine: &Quarantine, parts: &[u64], now_ms: u64) -> QuarantineVerdict {
    let parts: Vec<PartKey> = parts.iter().map(|id| part(*id)).collect();
    quarantine.verdict(request(999), &parts, now_ms)
}

fn is_withheld(quarantine: &Quarantine, parts: &[u64], now_ms: u64) -> bool {
    verdict_of(quarantine, parts, now_ms) == QuarantineVerdict::Withheld
}

fn answer(quarantine: &mut Quarantine, parts: &[u64], now_ms: u64) {
    for id in parts {
        quarantine.record_answer(Suspect::Part(part(*id)), now_ms);
    }
}

/// Part 7 is fatal in all tests.
#[rstest]
#[case::it_is_the_only_shared_part("7 7 7", &[7])]
#[case::it_is_the_first_part("7,1 7,2 7,3", &[7, 4])]
#[case::it_is_the_last_shared_part("1,7 2,7 3,7", &[4, 7])]
#[case::another_part_was_there_at_most_crashes("1,7 1,7 1,7 2,7 3,7", &[4, 7])]
fn a_part_under_which_targets_crash_is_withheld_whatever_else_is_in_the_prompt(
    #[case] prompts: &str,
    #[case] next: &[u64],
) {
    let (quarantine, now_ms) = after(prompts);
    assert!(is_withheld(&quarantine, next, now_ms));
    assert!(!is_withheld(&quarantine, &[8, 9], now_ms));
}

#[test]
fn requests_with_only_some_of_the_parts_that_were_always_there_are_sent() {
    let (quarantine, now_ms) = after("1,7 1,7 1,7");
    assert!(is_withheld(&quarantine, &[1, 7], now_ms));
    for parts in [&[1][..], &[7], &[1, 2], &[2, 7]] {
        let verdict = verdict_of(&quarantine, parts, now_ms);
        assert_eq!(verdict, QuarantineVerdict::Send, "{parts:?}");
    }
}

#[test]
fn an_answer_with_one_of_the_parts_leaves_the_others_as_the_cause() {
    let (mut quarantine, now_ms) = after("1,7 1,7 1,7");
    answer(&mut quarantine, &[1, 2], now_ms);
    assert!(is_withheld(
        &quarantine,
        &[2, 7],
        now_ms + DECISION_MS as u64
    ));
    assert_eq!(
        verdict_of(&quarantine, &[1], now_ms),
        QuarantineVerdict::Send
    );
}

#[test]
fn a_part_that_crashes_targets_with_any_other_part_is_withheld_with_all_of_them() {
    let (quarantine, now_ms) = after("7,1 7,1 7,1 7,2 7,2");
    assert!(is_withheld(&quarantine, &[7, 3], now_ms));
}

#[test]
fn answers_before_the_crashes_do_not_shield_a_part() {
    let mut quarantine = Quarantine::default();
    answer(&mut quarantine, &[7], 9_990);
    for target in 1..=3 {
        quarantine.record_crashes(&crash(target, &[7], target), 10_000 + target * 300);
    }
    assert!(is_withheld(&quarantine, &[7], 12_000));
}

#[test]
fn a_part_that_is_answered_between_crashes_is_not_withheld() {
    let mut quarantine = Quarantine::default();
    for target in 1..=10 {
        let now_ms = 10_000 + target * 1_000;
        quarantine.record_crashes(&crash(target, &[5], target), now_ms);
        answer(&mut quarantine, &[5], now_ms + 500);
        assert_eq!(
            verdict_of(&quarantine, &[5], now_ms + 600),
            QuarantineVerdict::Send
        );
    }
}

/// Crashes in quick succession. Returns the time of the last one, too.
fn after_quick_crashes() -> (Quarantine, u64) {
    let mut quarantine = Quarantine::default();
    let mut now_ms = 10_000;
    for target in 1..=CRASHES_MIN as u64 {
        now_ms += SIMULTANEOUS_MS as u64;
        quarantine.record_crashes(&crash(target, &[5], target), now_ms);
    }
    (quarantine, now_ms)
}

#[test]
fn requests_are_held_while_answers_elsewhere_may_still_acquit_a_part() {
    let (mut quarantine, now_ms) = after_quick_crashes();
    let held = QuarantineVerdict::Held {
        remaining_ms: DECISION_MS as u64,
    };
    assert_eq!(verdict_of(&quarantine, &[5], now_ms), held);
    answer(&mut quarantine, &[5], now_ms + 200);
    let verdict = verdict_of(&quarantine, &[5], now_ms + 200);
    assert_eq!(verdict, QuarantineVerdict::Send);
}

/// Targets that fail one after the other for another reason look like a fatal part. One trial shows the difference.
#[test]
fn a_part_withheld_after_quick_crashes_is_acquitted_by_a_trial() {
    let (mut quarantine, now_ms) = after_quick_crashes();
    let trial_ms = now_ms + PART_WITHHELD_MIN_MS as u64;
    assert!(is_withheld(&quarantine, &[5], trial_ms - 1));
    let verdict = verdict_of(&quarantine, &[5], trial_ms);
    assert!(matches!(verdict, QuarantineVerdict::Trial(trial) if trial.number == 0));
    assert!(is_withheld(
        &quarantine,
        &[5],
        trial_ms + TRIAL_WINDOW_MS as u64
    ));
    answer(&mut quarantine, &[5], trial_ms + 100);
    let verdict = verdict_of(&quarantine, &[5], trial_ms + 101);
    assert_eq!(verdict, QuarantineVerdict::Send);
}

#[test]
fn a_box_that_has_just_started_knows_how_long_crashes_were_apart() {
    let mut quarantine = Quarantine::default();
    let reports = |target: u64| crash(target, &[5], target).into_iter();
    let old = (1..=3).flat_map(|target| {
        reports(target).map(move |report| TargetEnd {
            age_ms: 1_000 * target as u32,
            ..report
        })
    });
    let old: Vec<TargetEnd> = old.collect();
    quarantine.record_crashes(&old, 20);
    assert!(is_withheld(&quarantine, &[5], 20 + DECISION_MS as u64));
}

#[test]
fn simultaneous_crashes_accuse_no_part() {
    let mut quarantine = Quarantine::default();
    for target in 1..=9 {
        let reports = crash(target, &[5], target);
        quarantine.record_crashes(&reports, 10_000 + target * 5);
    }
    let verdict = verdict_of(&quarantine, &[5], 10_045);
    assert_eq!(verdict, QuarantineVerdict::Send);
}

#[test]
fn each_trial_that_crashes_its_target_withholds_the_part_for_much_longer() {
    let (mut quarantine, mut now_ms) = after("7 7 7");
    let mut trials = 0;
    while now_ms < 310_000 {
        now_ms += 50;
        if let QuarantineVerdict::Trial(_) = verdict_of(&quarantine, &[7], now_ms) {
            trials += 1;
            quarantine.record_crashes(&crash(100 + trials, &[7], 100 + trials), now_ms + 50);
        }
    }
    assert_eq!(trials, 1);
}

#[test]
fn a_request_that_crashes_targets_is_withheld_without_its_parts() {
    let mut quarantine = Quarantine::default();
    for target in 1..=3 {
        quarantine.record_crashes(&crash(42, &[1, 2], target), 10_000 + target * 1_000);
    }
    let parts = [part(1), part(2)];
    let later_ms = 14_000;
    assert!(quarantine.is_withheld(request(42), later_ms));
    assert_eq!(
        quarantine.verdict(request(43), &parts, later_ms),
        QuarantineVerdict::Send
    );
}

#[test]
fn an_operator_clears_all_parts_of_a_cause_at_once() {
    let (mut quarantine, now_ms) = after("1,7 1,7 1,7");
    assert_eq!(quarantine.clear(Suspect::Part(part(7)), now_ms).len(), 2);
    assert!(quarantine.withheld_causes(now_ms).is_empty());
}

#[test]
fn the_same_part_at_other_engines_is_sent() {
    let (quarantine, now_ms) = after("7 7 7");
    let elsewhere = PartKey { engines: 2, id: 7 };
    let verdict = quarantine.verdict(request(999), &[elsewhere], now_ms);
    assert_eq!(verdict, QuarantineVerdict::Send);
}

// Guards against a part that is sent although it was withheld: each report of a crash made it look a little earlier, until an
// answer from before it cleared it.
#[test]
fn an_answer_from_before_a_crash_does_not_clear_it_however_often_boxes_report_it() {
    for phase_us in (0..1_000).step_by(50) {
        let (mut judging, mut answered) = (Quarantine::default(), Quarantine::default());
        let judging_ms = |now_us: u64| now_us / 1_000;
        let answered_ms = |now_us: u64| (now_us + phase_us) / 1_000;
        let suspect = Suspect::Part(part(7));
        let mut now_us = 10_000_000;
        answered.record_answer(suspect, answered_ms(now_us));
        now_us += 1_100;
        judging.record_crashes(&crash(1, &[7], 1), judging_ms(now_us));
        for _ in 0..20 {
            now_us += 130;
            let sent_ms = judging_ms(now_us);
            let report = judging.crashes_of(suspect, sent_ms);
            answered.record_crashes(&report, answered_ms(now_us));
            let acquittal = answered
                .recent_acquittal(suspect, answered_ms(now_us))
                .unwrap();
            let report = answered.crashes_of(suspect, answered_ms(now_us));
            now_us += 130;
            let received_ms = judging_ms(now_us);
            let acquittal = Acquittal {
                age_ms: acquittal.age_ms + (received_ms - sent_ms) as u32,
                ..acquittal
            };
            judging.record_crashes(&report, received_ms);
            judging.apply_acquittal(&acquittal, received_ms);
            let counted = judging.crashes_of(suspect, received_ms);
            assert_eq!(counted.len(), 1, "phase {phase_us} us");
        }
        assert_eq!(answered.crashes_of(suspect, answered_ms(now_us)).len(), 1);
    }
}

// Guards against sound requests that are withheld, and boxes that report without end: a crash that had been dropped for a later one
// counted as new when another box reported it.
#[test]
fn boxes_that_know_more_crashes_than_they_keep_agree_on_their_cause() {
    let mut boxes = [(); 3].map(|()| Quarantine::default());
    let suspects = [1, 7].map(|id| Suspect::Part(part(id)));
    // Crashes in quick succession, which boxes learn of in different order.
    for (at, quarantine) in boxes.iter_mut().enumerate() {
        for step in 0..12_u64 {
            let target = (step * 5 + at as u64 * 4) % 12;
            let mut reports = crash(target, &[1, 7], target);
            reports
                .iter_mut()
                .for_each(|report| report.age_ms = (1_100 - 90 * target) as u32);
            quarantine.record_crashes(&reports, 20_000 + step);
        }
    }
    for round in 0..6 {
        let now_ms = 20_100 + round;
        for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (0, 2), (2, 1)] {
            let reports = suspects.map(|suspect| boxes[from].crashes_of(suspect, now_ms));
            let recorded = boxes[to].record_crashes(&reports.concat(), now_ms);
            assert_eq!(
                (recorded.new_crashes, recorded.new_causes),
                (vec![], vec![])
            );
        }
    }
    for quarantine in &boxes {
        assert!(is_withheld(quarantine, &[1, 7], 21_000));
        assert!(!is_withheld(quarantine, &[1, 8], 21_000));
    }
}

// Guards against a withheld part that is sent again: with more crashes than are kept, the first ones were dropped, until those left
// were too few that came apart.
#[test]
fn a_part_under_which_several_engines_crash_at_once_each_time_stays_withheld() {
    let mut quarantine = Quarantine::default();
    for target in 0..20_u64 {
        let crashed_ms = 10_000 + 1_000 * (target / 4) + 5 * (target % 4);
        quarantine.record_crashes(&crash(target, &[7], target), crashed_ms);
        let decided_ms = crashed_ms + DECISION_MS as u64;
        let is_third_time = target >= 8;
        assert_eq!(
            is_withheld(&quarantine, &[7], decided_ms),
            is_third_time,
            "{target}"
        );
    }
}
