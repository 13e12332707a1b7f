//! Whose turn it is to follow the platform's store. Two boxes follow it for all: the first in rank, and the
//! first of another data centre. The others hear from them that their view is current, and look themselves
//! when nobody says so.

use crate::state::Relay;
use prelude::BoxId;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

/// How often a box that does not follow the store looks whether it must.
pub(crate) const TURN_CHECK: Duration = Duration::from_millis(100);
/// How often a box that follows the store renews its lease there, and says that its view is current when that was
/// answered. A box that asks engines instead says so as often.
pub(crate) const CONFIRM_EACH: Duration = Duration::from_millis(400);
/// A box whose view was not confirmed for this long looks itself: two words of those that follow were missed.
const QUIET_MS: u64 = 900;
/// Each further box in rank leaves it this much longer to those before it.
const TURN_MS: u64 = 200;
/// Beyond this rank boxes wait little longer: changes must be known within the users' bounds.
const TURNS_MAX: u64 = 4;
/// Each of them leaves this much to the one before it, up to so many: the first that reads the store tells all others within
/// some hundredths of a second, and all reading a long list at once is more than the store can do.
const LATE_TURN_MS: u64 = 2;
const LATE_TURNS_MAX: u64 = 1_000;
/// The same while one of those before them asks engines instead of the store, which is away or turns it away: each tries once,
/// and the first that the store answers tells the others. Calls to a store that is away are paid for too.
const AWAY_TURN_MS: u64 = 25;
/// Each leaves at least as much as reading the list takes of the store's link, for each target of it: where many read at one
/// time, none has its answer before it gives up.
const READ_MS_PER_TARGET: f64 = 0.003;
/// Beyond this place in rank, and while they stop, boxes leave it to others no longer than there.
const READ_TURNS_MAX: u64 = 10_000;
/// Pause of boxes beyond that rank between two tries to follow a store that does not answer, and where another box
/// says that it is away.
const LATE_RANK_PAUSE: Duration = Duration::from_millis(1_600);
const AWAY_PAUSE: Duration = Duration::from_millis(6_400);
/// A box that asks all engines says so every 0.4 s; one that was not heard for this long asks no more.
const ASKER_QUIET_MS: u64 = 1_000;
/// A box that no peer has answered or called for this long is alone, and leaves nothing to others.
pub(crate) const ALONE_MS: u64 = 1_200;
/// So long after its start a box does not know yet whose turn it is.
const SETTLE_MS: u64 = 800;

/// What is followed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum View {
    /// What the operators declare.
    Declarations,
    /// The targets that list themselves.
    Targets,
}

impl View {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Declarations => "declarations",
            Self::Targets => "targets",
        }
    }
}

/// The role of following the store, for rendezvous hashing.
pub(crate) fn watcher_role() -> u64 {
    xxh3_64(b"targets")
}

/// The boxes that may follow the store, the first in rank first.
fn ranks(relay: &Relay) -> Rc<[BoxId]> {
    let members = relay.members.borrow();
    members.ranked(watcher_role(), relay.is_stopping(), relay.now_ms())
}

/// This box's place among those that may follow the store; none where it stops.
pub(crate) fn rank(relay: &Relay) -> Option<usize> {
    ranks(relay).iter().position(|id| *id == relay.id)
}

/// Whether this box is among the first in rank, who look for a store that is away as often as they may.
pub(crate) fn is_early_in_rank(relay: &Relay) -> bool {
    rank(relay).is_some_and(|rank| rank as u64 <= TURNS_MAX)
}

/// Waits before the store is tried again. Boxes late in rank leave it to the first: in an outage the calls of all that try
/// grow with their number.
pub(crate) async fn pause_before_trying(relay: &Relay, pause: Duration) {
    let began = Instant::now();
    let late_pause = match another_asks(relay) {
        true => AWAY_PAUSE,
        false => LATE_RANK_PAUSE,
    };
    sleep(pause).await;
    while began.elapsed() < late_pause && !is_early_in_rank(relay) {
        sleep(TURN_CHECK).await;
    }
}

/// Whether it is this box's turn: it is the first in rank, or the first outside the first one's data centre.
pub(crate) fn is_elected(relay: &Relay) -> bool {
    let ranks = ranks(relay);
    let Some(first) = ranks.first().copied() else {
        return false;
    };
    let home = relay.data_centre_of(first);
    let elsewhere = |id: &BoxId| relay.data_centre_of(*id) != home;
    let second = ranks.iter().copied().find(elsewhere);
    let second = second.or(ranks.get(1).copied());
    first == relay.id || second == Some(relay.id)
}

/// How long this box leaves it to others to say that its view is current.
pub(crate) fn quiet_limit_ms(relay: &Relay, view: View) -> u64 {
    if is_elected(relay) {
        return 0;
    }
    let heard_ms = relay.members.borrow().last_contact_ms();
    if heard_ms + ALONE_MS < relay.now_ms() {
        return QUIET_MS;
    }
    let most = relay.members.borrow().peak_box_count();
    let known = ranks(relay).len();
    let turn = rank(relay).map_or(u64::MAX, |rank| turn_among_all(rank as u64, known, most));
    let is_away = another_asks(relay);
    let listed = match view {
        View::Declarations => 0,
        View::Targets => relay.targets.borrow().len(),
    };
    QUIET_MS + turn_ms(turn, is_away, listed)
}

/// How much longer than the first in rank a box leaves it to others, where so many targets are listed.
fn turn_ms(turn: u64, is_away: bool, listed: usize) -> u64 {
    let late = turn.saturating_sub(TURNS_MAX);
    let late_turn_ms = match is_away {
        true => AWAY_TURN_MS,
        false => LATE_TURN_MS,
    };
    let late_ms = late_turn_ms * late.min(LATE_TURNS_MAX);
    let read_ms = listed as f64 * READ_MS_PER_TARGET;
    let read_ms = (read_ms * late.min(READ_TURNS_MAX) as f64) as u64;
    TURN_MS * turn.min(TURNS_MAX) + late_ms.max(read_ms)
}

/// A box's place in rank among all boxes that there are, where it is `rank`-th of those that it knows. One that has just started
/// knows few: all would else think that it is their turn soon.
fn turn_among_all(rank: u64, known: usize, most: usize) -> u64 {
    if rank <= TURNS_MAX {
        return rank;
    }
    let times = most.max(known) as f64 / known.max(1) as f64;
    (rank as f64 * times) as u64
}

/// Whether another box asks all engines whether they leave.
pub(crate) fn another_asks(relay: &Relay) -> bool {
    let heard_ms = relay.heard_asker_ms.get();
    heard_ms > 0 && heard_ms + ASKER_QUIET_MS > relay.now_ms()
}

/// Whether this box must follow a view itself: it is its turn, or nobody says that the view is current.
pub(crate) fn must_watch(relay: &Relay, view: View) -> bool {
    let now_ms = relay.now_ms();
    // What was read as it was some seconds ago counts as confirmed when it is known whose turn it is.
    let learnt_ms = relay.knows(view).then_some(SETTLE_MS);
    let Some(confirmed_ms) = relay.confirmed_ms(view).or(learnt_ms) else {
        return true;
    };
    if now_ms < SETTLE_MS {
        return false;
    }
    let limit_ms = quiet_limit_ms(relay, view);
    limit_ms == 0 || confirmed_ms + limit_ms < now_ms
}

/// Whether others follow the store again, so that a box whose turn it is not can leave it to them.
pub(crate) fn is_relieved(relay: &Relay, began_ms: u64) -> bool {
    let heard_ms = relay.members.borrow().store_follower_seen_ms();
    !is_elected(relay) && heard_ms > began_ms + QUIET_MS
}

/// The views that a box follows at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Followed {
    declarations: bool,
    targets: bool,
}

impl Followed {
    fn set(&mut self, view: View, follows: bool) {
        match view {
            View::Declarations => self.declarations = follows,
            View::Targets => self.targets = follows,
        }
    }

    /// Whether there is any.
    pub(crate) fn any(self) -> bool {
        self.declarations || self.targets
    }

    /// All of them.
    pub(crate) fn views(self) -> impl Iterator<Item = View> {
        let declarations = self.declarations.then_some(View::Declarations);
        let targets = self.targets.then_some(View::Targets);
        declarations.into_iter().chain(targets)
    }
}

/// Notes that a box follows a view, for as long as this lives.
pub(crate) struct Following {
    relay: Rc<Relay>,
    view: View,
}

impl Following {
    pub(crate) fn begin(relay: &Rc<Relay>, view: View) -> Self {
        relay.note_following(view, true);
        relay.begins_to_follow.notify_one();
        Self {
            relay: relay.clone(),
            view,
        }
    }
}

impl Drop for Following {
    fn drop(&mut self) {
        self.relay.note_following(self.view, false);
    }
}

impl Relay {
    fn note_following(&self, view: View, follows: bool) {
        let mut followed = self.following.get();
        followed.set(view, follows);
        self.following.set(followed);
    }
}

#[cfg(test)]
#[path = "election_tests.rs"]
mod tests;
