//! Lives of one name, whatever the order in which words of them come, against a plain model of what was said.

use super::tests::at as at_revision;
use super::tests::{NAME, entry, life};
use super::*;
use proptest::prelude::*;

/// The revision before all changes.
const BEFORE: u64 = 10;

/// What is written under the name, in the order of revisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    Put { born: u64, leaves: bool },
    Removed,
    Unreadable,
}

/// What targets do, drawn freely.
#[derive(Clone, Copy, Debug)]
enum Deed {
    Beat,
    Leave,
    Restart,
    Remove,
    Garble,
    /// A previous process writes, late.
    LateWrite(u64),
}

fn writes(deeds: &[Deed]) -> Vec<Write> {
    let (mut born, mut left) = (1, HashSet::new());
    let mut written = vec![Write::Put {
        born,
        leaves: false,
    }];
    for deed in deeds {
        let by = match deed {
            Deed::Remove => {
                written.push(Write::Removed);
                continue;
            }
            Deed::Garble => {
                written.push(Write::Unreadable);
                continue;
            }
            Deed::Restart if born < 3 => {
                born += 1;
                born
            }
            Deed::Leave => {
                left.insert(born);
                born
            }
            Deed::LateWrite(back) => born.saturating_sub(*back).max(1),
            Deed::Restart | Deed::Beat => born,
        };
        let leaves = left.contains(&by);
        written.push(Write::Put { born: by, leaves });
    }
    written
}

/// What a box hears. Positions are taken modulo what there is.
#[derive(Clone, Copy, Debug)]
enum Word {
    /// The watch tells a change.
    Event(usize),
    /// A peer tells it.
    Told(usize),
    /// The whole list, as it was after a change.
    List(usize),
    /// A peer says that a life leaves.
    Leaving(u64),
    /// A request is sent to the newest life, or one ends.
    Opened,
    Closed(usize),
    /// The target of a request says that it leaves, or is dead.
    Answered(usize),
    /// It failed.
    Failed(usize),
}

/// A book, and what it was told so far.
struct Heard {
    written: Vec<Write>,
    book: TargetRegistry,
    /// Targets of open requests.
    open: Vec<TargetSlot>,
    newest: u64,
    left: HashSet<u64>,
}

impl Heard {
    fn new(written: &[Write]) -> Self {
        Self {
            written: written.to_vec(),
            book: TargetRegistry::default(),
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
        self.book.newest(NAME).map(|(slot, _)| slot)
    }

    /// Who holds the name as of a change, where anyone does.
    fn holder(&self, at: usize) -> Option<TargetEntry> {
        match self.written[at] {
            Write::Put { born, leaves } => Some(entry(NAME, born, leaves, Self::revision(at))),
            Write::Removed | Write::Unreadable => None,
        }
    }

    fn heard_of(&mut self, told: Option<&TargetEntry>) {
        let Some(told) = told else {
            return;
        };
        let born = told.born_ms.unwrap();
        self.newest = self.newest.max(born);
        if told.phase == TargetPhase::Leaving {
            self.left.insert(born);
        }
    }

    /// The life that held the name last before a change, as a peer names it.
    fn previous(&self, at: usize) -> TargetLife {
        let before = self.written[..at].iter().filter_map(|write| match write {
            Write::Put { born, .. } => Some(*born),
            _ => None,
        });
        life(before.max().unwrap_or(1))
    }

    fn list(&mut self, at: usize) {
        let holder = self.holder(at);
        self.heard_of(holder.as_ref());
        let revision = Self::revision(at);
        let other = entry("b", 1, false, BEFORE - 1);
        let entries = holder.into_iter().chain([other]).collect();
        let changes = self.book.replace(entries, at_revision(revision), None, 0);
        self.act(changes);
    }

    /// Does what a box does with changes.
    fn act(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            match change {
                Change::Leaving(slot) | Change::Removed(slot) => self.book.remove_if_idle(slot),
                Change::Restarted { previous, .. } => self.book.remove_if_idle(previous),
                Change::Added(_) | Change::TurnedCold(_) => {}
            }
        }
    }

    fn hear(&mut self, word: Word) {
        let pick = |at: usize, of: usize| at % of.max(1);
        match word {
            Word::Event(at) => {
                let at = pick(at, self.written.len());
                let told = self.holder(at);
                self.heard_of(told.as_ref());
                let change = match told {
                    Some(told) => self.book.apply_entry(told, 0),
                    None => self.book.unlist(NAME, at_revision(Self::revision(at))),
                };
                self.act(change);
            }
            Word::Told(at) => {
                let at = pick(at, self.written.len());
                let told = self.holder(at);
                self.heard_of(told.as_ref());
                let change = match told {
                    Some(told) => self.book.apply_entry(told, 0),
                    None => {
                        let previous = self.previous(at);
                        self.newest = self.newest.max(previous.born_ms.unwrap());
                        self.book
                            .unlist_incarnation(&previous, at_revision(Self::revision(at)))
                    }
                };
                self.act(change);
            }
            Word::List(at) => self.list(pick(at, self.written.len())),
            Word::Leaving(born) => {
                self.newest = self.newest.max(born);
                self.left.insert(born);
                let changes = self.book.apply_leaving(&[life(born)]);
                self.act(changes);
            }
            Word::Opened => {
                if let Some(slot) = self.newest_slot() {
                    self.book.record_open(slot);
                    self.open.push(slot);
                }
            }
            Word::Closed(_) | Word::Answered(_) | Word::Failed(_) if self.open.is_empty() => {}
            Word::Closed(at) => {
                let slot = self.open.swap_remove(pick(at, self.open.len()));
                self.book.record_close(slot);
            }
            Word::Answered(at) => {
                let slot = self.open[pick(at, self.open.len())];
                if let Some(target) = self.book.get(slot) {
                    self.left.insert(target.entry.born_ms.unwrap());
                }
                let change = self.book.mark_leaving(slot);
                self.act(change);
            }
            Word::Failed(at) => {
                let slot = self.open[pick(at, self.open.len())];
                self.book.get_mut(slot).unwrap().outlier.record_failure(0);
            }
        }
    }

    /// The life of which a word is, where it names one.
    fn is_of(&self, word: Word) -> Option<u64> {
        match word {
            Word::Event(at) => self.holder(at % self.written.len())?.born_ms,
            Word::Told(at) => {
                let at = at % self.written.len();
                let previous = || self.previous(at).born_ms;
                self.holder(at).map_or_else(previous, |told| told.born_ms)
            }
            Word::Leaving(born) => Some(born),
            Word::Closed(at) | Word::Answered(at) | Word::Failed(at) => {
                let slot = self.open.get(at % self.open.len().max(1))?;
                self.book.get(*slot)?.entry.born_ms
            }
            Word::List(_) | Word::Opened => None,
        }
    }

    /// All that is kept of the newest life.
    fn kept(&self) -> String {
        let newest = self.book.newest(NAME);
        let kept = newest.filter(|(_, target)| target.entry.born_ms == Some(self.newest));
        format!("{kept:?}")
    }

    /// Who takes work under the name.
    fn takers(&self) -> Vec<u64> {
        let own = |target: &&Target| &*target.entry.instance == NAME;
        let targets = self.book.all().map(|(_, target)| target).filter(own);
        let takers = targets.filter(|target| self.book.takes_work(target));
        takers.map(|t| t.entry.born_ms.unwrap()).collect()
    }

    fn is_right(&self) -> Result<(), TestCaseError> {
        let takers = self.takers();
        prop_assert!(takers.len() <= 1, "{takers:?} take work at one time");
        for born in takers {
            prop_assert_eq!(born, self.newest, "a previous life takes work");
            prop_assert!(!self.left.contains(&born), "{} left, and takes work", born);
        }
        Ok(())
    }

    /// Takes in what a box with another book tells that differs from this one: one message has all of it.
    fn take_from(&mut self, other: &Self, revision: u64) {
        if let Some(patch) = other.book.patch_for(&self.book.summary(), 0) {
            let changes = self.book.apply_patch(patch, at_revision(revision), 0);
            self.act(changes);
        }
        let changes = self.book.apply_leaving(&other.book.leaving());
        self.act(changes);
    }

    /// What is listed, with the lives and whether they leave.
    fn listed(&self) -> Vec<(Box<str>, Option<u64>, TargetState)> {
        let targets = self.book.all().map(|(_, target)| target);
        let listed = targets.filter(|target| target.state != TargetState::Gone);
        let row = |t: &Target| (t.entry.instance.clone(), t.entry.born_ms, t.state);
        let mut rows: Vec<_> = listed.map(row).collect();
        rows.sort_by(|a, b| (&a.0, a.1).cmp(&(&b.0, b.1)));
        rows
    }
}

fn deed() -> impl Strategy<Value = Deed> {
    prop_oneof![
        1 => Just(Deed::Beat),
        1 => Just(Deed::Leave),
        3 => Just(Deed::Restart),
        1 => Just(Deed::Remove),
        1 => Just(Deed::Garble),
        1 => (1..3_u64).prop_map(Deed::LateWrite),
    ]
}

fn word() -> impl Strategy<Value = Word> {
    prop_oneof![
        4 => any::<usize>().prop_map(Word::Event),
        3 => any::<usize>().prop_map(Word::Told),
        2 => any::<usize>().prop_map(Word::List),
        1 => (1..=3_u64).prop_map(Word::Leaving),
        3 => Just(Word::Opened),
        2 => any::<usize>().prop_map(Word::Closed),
        1 => any::<usize>().prop_map(Word::Answered),
        1 => any::<usize>().prop_map(Word::Failed),
    ]
}

fn deeds() -> impl Strategy<Value = Vec<Deed>> {
    prop::collection::vec(deed(), 1..10)
}

fn words() -> impl Strategy<Value = Vec<Word>> {
    prop::collection::vec(word(), 0..30)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    /// Whatever the order of words, no life that left and no previous life takes work, words of previous lives change
    /// nothing of the newest, and after the last list its state is what was said of it.
    #[test]
    fn the_newest_life_is_believed_right_whatever_the_order(deeds in deeds(), words in words()) {
        let mut heard = Heard::new(&writes(&deeds));
        for word in words {
            let is_late = heard.is_of(word).is_some_and(|born| born < heard.newest);
            let before = heard.kept();
            heard.hear(word);
            heard.is_right()?;
            if is_late {
                prop_assert_eq!(heard.kept(), before, "changed by {:?}", word);
            }
        }
        let last = heard.last();
        heard.list(last);
        heard.is_right()?;
        match heard.holder(last) {
            None => prop_assert!(heard.takers().is_empty()),
            Some(holder) if holder.born_ms == Some(heard.newest) => {
                let takes = !heard.left.contains(&heard.newest);
                prop_assert_eq!(!heard.takers().is_empty(), takes);
            }
            // The newest life was overwritten by a previous one: it is as it was.
            Some(_) => {}
        }
    }

    /// Two boxes that were told different things have the same list after they have sent each other what differs,
    /// twice.
    #[test]
    fn two_boxes_that_exchange_patches_converge(
        deeds in deeds(),
        words_of_one in words(),
        words_of_other in words(),
    ) {
        let written = writes(&deeds);
        let (mut one, mut other) = (Heard::new(&written), Heard::new(&written));
        words_of_one.into_iter().for_each(|word| one.hear(word));
        words_of_other.into_iter().for_each(|word| other.hear(word));
        let (last, revision) = (one.last(), Heard::revision(one.last()));
        one.list(last);
        // A first exchange may only tell of a life that the other had removed long ago.
        for _ in 0..2 {
            other.take_from(&one, revision);
            one.take_from(&other, revision);
        }
        prop_assert_eq!(one.listed(), other.listed());
        prop_assert_eq!(one.book.summary(), other.book.summary());
    }
}
