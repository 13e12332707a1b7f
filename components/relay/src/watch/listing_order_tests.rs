//! Updates of the incarnations of one name in any order, checked against a simple model.

use super::tests::at as at_revision;
use super::tests::{NAME, entry, incarnation};
use super::*;
use proptest::prelude::*;

/// The revision before all writes.
const BEFORE: u64 = 10;

/// A write under the name. Writes are ordered by revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    Put { born: u64, leaves: bool },
    Removed,
    Unreadable,
}

/// Random actions of targets.
#[derive(Clone, Copy, Debug)]
enum TargetAction {
    Heartbeat,
    Leave,
    Restart,
    Remove,
    Corrupt,
    /// A previous process writes late, this many incarnations back.
    LateWrite(u64),
}

fn writes(actions: &[TargetAction]) -> Vec<Write> {
    let (mut born, mut left) = (1, HashSet::new());
    let mut written = vec![Write::Put {
        born,
        leaves: false,
    }];
    for action in actions {
        let by = match action {
            TargetAction::Remove => {
                written.push(Write::Removed);
                continue;
            }
            TargetAction::Corrupt => {
                written.push(Write::Unreadable);
                continue;
            }
            TargetAction::Restart if born < 3 => {
                born += 1;
                born
            }
            TargetAction::Leave => {
                left.insert(born);
                born
            }
            TargetAction::LateWrite(back) => born.saturating_sub(*back).max(1),
            TargetAction::Restart | TargetAction::Heartbeat => born,
        };
        let leaves = left.contains(&by);
        written.push(Write::Put { born: by, leaves });
    }
    written
}

/// An input of the registry. Indexes are taken modulo the number of items.
#[derive(Clone, Copy, Debug)]
enum Input {
    /// The watch reports a write.
    Event(usize),
    /// A peer reports a write.
    PeerUpdate(usize),
    /// The complete list as it was after a write.
    List(usize),
    /// A peer reports that an incarnation leaves.
    Leaving(u64),
    /// A request to the newest incarnation starts, or one ends.
    Opened,
    Closed(usize),
    /// The target of a request replies that it leaves, or is dead.
    LeavingReply(usize),
    /// The target of a request fails.
    Failed(usize),
}

/// A registry with the facts that it received so far.
struct ModelledBox {
    written: Vec<Write>,
    registry: TargetRegistry,
    /// Targets of open requests.
    open: Vec<TargetSlot>,
    newest: u64,
    left: HashSet<u64>,
}

impl ModelledBox {
    fn new(written: &[Write]) -> Self {
        Self {
            written: written.to_vec(),
            registry: TargetRegistry::default(),
            open: Vec::new(),
            newest: 0,
            left: HashSet::new(),
        }
    }

    fn revision(at: usize) -> u64 {
        BEFORE + at as u64
    }

    fn last(&self) -> usize {
        self.written.len() - 1
    }

    fn newest_slot(&self) -> Option<TargetSlot> {
        self.registry.newest(NAME).map(|(slot, _)| slot)
    }

    /// The entry under the name after a write, if there is one.
    fn current_entry(&self, at: usize) -> Option<TargetEntry> {
        match self.written[at] {
            Write::Put { born, leaves } => Some(entry(NAME, born, leaves, Self::revision(at))),
            Write::Removed | Write::Unreadable => None,
        }
    }

    fn record_expected(&mut self, update: Option<&TargetEntry>) {
        let Some(update) = update else {
            return;
        };
        let born = update.born_ms.unwrap();
        self.newest = self.newest.max(born);
        if update.phase == TargetPhase::Leaving {
            self.left.insert(born);
        }
    }

    /// The newest incarnation written before a write, as a peer names it.
    fn previous_incarnation(&self, at: usize) -> TargetLife {
        let before = self.written[..at].iter().filter_map(|write| match write {
            Write::Put { born, .. } => Some(*born),
            _ => None,
        });
        incarnation(before.max().unwrap_or(1))
    }

    fn list(&mut self, at: usize) {
        let current_entry = self.current_entry(at);
        self.record_expected(current_entry.as_ref());
        let revision = Self::revision(at);
        let other = entry("b", 1, false, BEFORE - 1);
        let entries = current_entry.into_iter().chain([other]).collect();
        let changes = self
            .registry
            .replace(entries, at_revision(revision), None, 0);
        self.handle_changes(changes);
    }

    /// Does what a box does on changes.
    fn handle_changes(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            match change {
                Change::Leaving(slot) | Change::Removed(slot) => self.registry.remove_if_idle(slot),
                Change::Restarted { previous, .. } => self.registry.remove_if_idle(previous),
                Change::Added(_) | Change::TurnedCold(_) => {}
            }
        }
    }

    fn apply_input(&mut self, input: Input) {
        let pick = |at: usize, of: usize| at % of.max(1);
        match input {
            Input::Event(at) => {
                let at = pick(at, self.written.len());
                let update = self.current_entry(at);
                self.record_expected(update.as_ref());
                let change = match update {
                    Some(update) => self.registry.apply_entry(update, 0),
                    None => self.registry.unlist(NAME, at_revision(Self::revision(at))),
                };
                self.handle_changes(change);
            }
            Input::PeerUpdate(at) => {
                let at = pick(at, self.written.len());
                let update = self.current_entry(at);
                self.record_expected(update.as_ref());
                let change = match update {
                    Some(update) => self.registry.apply_entry(update, 0),
                    None => {
                        let previous = self.previous_incarnation(at);
                        self.newest = self.newest.max(previous.born_ms.unwrap());
                        self.registry
                            .unlist_incarnation(&previous, at_revision(Self::revision(at)))
                    }
                };
                self.handle_changes(change);
            }
            Input::List(at) => self.list(pick(at, self.written.len())),
            Input::Leaving(born) => {
                self.newest = self.newest.max(born);
                self.left.insert(born);
                let changes = self.registry.apply_leaving(&[incarnation(born)]);
                self.handle_changes(changes);
            }
            Input::Opened => {
                if let Some(slot) = self.newest_slot() {
                    self.registry.record_open(slot);
                    self.open.push(slot);
                }
            }
            Input::Closed(_) | Input::LeavingReply(_) | Input::Failed(_)
                if self.open.is_empty() => {}
            Input::Closed(at) => {
                let slot = self.open.swap_remove(pick(at, self.open.len()));
                self.registry.record_close(slot);
            }
            Input::LeavingReply(at) => {
                let slot = self.open[pick(at, self.open.len())];
                if let Some(target) = self.registry.get(slot) {
                    self.left.insert(target.entry.born_ms.unwrap());
                }
                let change = self.registry.mark_leaving(slot);
                self.handle_changes(change);
            }
            Input::Failed(at) => {
                let slot = self.open[pick(at, self.open.len())];
                self.registry
                    .get_mut(slot)
                    .unwrap()
                    .outlier
                    .record_failure(0);
            }
        }
    }

    /// The incarnation that an input refers to, if any.
    fn incarnation_of(&self, input: Input) -> Option<u64> {
        match input {
            Input::Event(at) => self.current_entry(at % self.written.len())?.born_ms,
            Input::PeerUpdate(at) => {
                let at = at % self.written.len();
                let previous = || self.previous_incarnation(at).born_ms;
                self.current_entry(at)
                    .map_or_else(previous, |update| update.born_ms)
            }
            Input::Leaving(born) => Some(born),
            Input::Closed(at) | Input::LeavingReply(at) | Input::Failed(at) => {
                let slot = self.open.get(at % self.open.len().max(1))?;
                self.registry.get(*slot)?.entry.born_ms
            }
            Input::List(_) | Input::Opened => None,
        }
    }

    /// Debug output of all state of the newest incarnation.
    fn newest_debug(&self) -> String {
        let newest = self.registry.newest(NAME);
        let newest_debug = newest.filter(|(_, target)| target.entry.born_ms == Some(self.newest));
        format!("{newest_debug:?}")
    }

    /// Births of the incarnations that take work under the name.
    fn accepting_births(&self) -> Vec<u64> {
        let has_name = |target: &&Target| &*target.entry.instance == NAME;
        let targets = self
            .registry
            .all()
            .map(|(_, target)| target)
            .filter(has_name);
        let accepting_births = targets.filter(|target| self.registry.takes_work(target));
        accepting_births.map(|t| t.entry.born_ms.unwrap()).collect()
    }

    fn check_invariants(&self) -> Result<(), TestCaseError> {
        let accepting_births = self.accepting_births();
        prop_assert!(
            accepting_births.len() <= 1,
            "{accepting_births:?} take work at one time"
        );
        for born in accepting_births {
            prop_assert_eq!(born, self.newest, "a previous incarnation takes work");
            prop_assert!(!self.left.contains(&born), "{} left and takes work", born);
        }
        Ok(())
    }

    /// Applies the differences to another box's registry in one message.
    fn sync_from(&mut self, other: &Self, revision: u64) {
        if let Some(patch) = other.registry.patch_for(&self.registry.summary(), 0) {
            let changes = self.registry.apply_patch(patch, at_revision(revision), 0);
            self.handle_changes(changes);
        }
        let changes = self.registry.apply_leaving(&other.registry.leaving());
        self.handle_changes(changes);
    }

    /// The listed names with their births and states.
    fn listed(&self) -> Vec<(Box<str>, Option<u64>, TargetState)> {
        let targets = self.registry.all().map(|(_, target)| target);
        let listed = targets.filter(|target| target.state != TargetState::Gone);
        let row = |t: &Target| (t.entry.instance.clone(), t.entry.born_ms, t.state);
        let mut rows: Vec<_> = listed.map(row).collect();
        rows.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        rows
    }
}

fn action() -> impl Strategy<Value = TargetAction> {
    prop_oneof![
        1 => Just(TargetAction::Heartbeat),
        1 => Just(TargetAction::Leave),
        3 => Just(TargetAction::Restart),
        1 => Just(TargetAction::Remove),
        1 => Just(TargetAction::Corrupt),
        1 => (1..3_u64).prop_map(TargetAction::LateWrite),
    ]
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        4 => any::<usize>().prop_map(Input::Event),
        3 => any::<usize>().prop_map(Input::PeerUpdate),
        2 => any::<usize>().prop_map(Input::List),
        1 => (1..=3_u64).prop_map(Input::Leaving),
        3 => Just(Input::Opened),
        2 => any::<usize>().prop_map(Input::Closed),
        1 => any::<usize>().prop_map(Input::LeavingReply),
        1 => any::<usize>().prop_map(Input::Failed),
    ]
}

fn actions() -> impl Strategy<Value = Vec<TargetAction>> {
    prop::collection::vec(action(), 1..10)
}

fn inputs() -> impl Strategy<Value = Vec<Input>> {
    prop::collection::vec(input(), 0..30)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Whatever the order of inputs, only the newest incarnation takes work, and not if it left. Inputs of previous
    /// incarnations do not change the newest one, and after the last list its state matches the model.
    #[test]
    fn newest_incarnation_has_the_right_state_whatever_the_order(actions in actions(), inputs in inputs()) {
        let mut modelled = ModelledBox::new(&writes(&actions));
        for input in inputs {
            let is_late = modelled.incarnation_of(input).is_some_and(|born| born < modelled.newest);
            let before = modelled.newest_debug();
            modelled.apply_input(input);
            modelled.check_invariants()?;
            if is_late {
                prop_assert_eq!(modelled.newest_debug(), before, "changed by {:?}", input);
            }
        }
        let last = modelled.last();
        modelled.list(last);
        modelled.check_invariants()?;
        match modelled.current_entry(last) {
            None => prop_assert!(modelled.accepting_births().is_empty()),
            Some(current_entry) if current_entry.born_ms == Some(modelled.newest) => {
                let takes_new_work = !modelled.left.contains(&modelled.newest);
                prop_assert_eq!(!modelled.accepting_births().is_empty(), takes_new_work);
            }
            // A previous incarnation overwrote the entry of the newest one, whose state stays as it was.
            Some(_) => {}
        }
    }

    /// Two boxes with different inputs have the same list after they have exchanged their differences twice.
    #[test]
    fn two_boxes_that_exchange_patches_converge(
        actions in actions(),
        inputs_of_one in inputs(),
        inputs_of_other in inputs(),
    ) {
        let written = writes(&actions);
        let (mut one, mut other) = (ModelledBox::new(&written), ModelledBox::new(&written));
        inputs_of_one.into_iter().for_each(|input| one.apply_input(input));
        inputs_of_other.into_iter().for_each(|input| other.apply_input(input));
        let (last, revision) = (one.last(), ModelledBox::revision(one.last()));
        one.list(last);
        // The first exchange may only reveal an incarnation that the other box removed long ago.
        for _ in 0..2 {
            other.sync_from(&one, revision);
            one.sync_from(&other, revision);
        }
        prop_assert_eq!(one.listed(), other.listed());
        prop_assert_eq!(one.registry.summary(), other.registry.summary());
    }
}
