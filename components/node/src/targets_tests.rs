use super::*;

const ID: TargetId = TargetId(1);

fn word(life: u64, state: StateOfTarget) -> TargetWord {
    TargetWord {
        target: key(life),
        state,
    }
}

fn key(life: u64) -> TargetKey {
    TargetKey {
        id: ID,
        incarnation: TargetIncarnation(life),
    }
}

#[test]
fn never_takes_a_life_back() {
    let mut table = TargetTable::default();
    table.answered(key(5));
    assert!(table.word(word(5, StateOfTarget::Gone)));
    assert!(!table.word(word(5, StateOfTarget::Gone)));
    table.answered(key(5));
    table.word(word(5, StateOfTarget::Leaving));
    assert_eq!(table.state(ID), EngineState::Gone);
}

#[test]
fn takes_a_higher_life_for_live() {
    let mut table = TargetTable::default();
    table.answered(key(5));
    table.word(word(5, StateOfTarget::Gone));
    table.answered(key(6));
    assert_eq!(table.state(ID), EngineState::Live);
    assert!(table.is_gone(key(5)) && !table.is_gone(key(6)));
    assert!(table.words().is_empty());
}

#[test]
fn ignores_a_late_word_on_an_earlier_life() {
    let mut table = TargetTable::default();
    table.answered(key(6));
    table.word(word(5, StateOfTarget::Gone));
    assert_eq!(table.state(ID), EngineState::Live);
}
