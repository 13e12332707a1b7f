//! Elects the boxes that watch the platform's store. Two boxes watch it for the fleet: the first in rank, and the
//! first of another data centre. They confirm to the others that their view is current; a box that gets no
//! confirmation reads the store itself.

use crate::state::Relay;
use prelude::BoxId;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use xxhash_rust::xxh3::xxh3_64;

/// How often a box that does not watch the store checks whether it must.
pub(crate) const ELECTION_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How often a watching box renews its lease in the store and, when that call is answered, confirms that its view is
/// current. A box that polls the engines instead announces that as often.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);
/// A box whose view was not confirmed for this long reads the store itself: two confirmations of the watching boxes
/// were missed.
const CONFIRM_TIMEOUT_MS: u64 = 900;
/// Added wait per rank, so that boxes of lower rank number read the store first.
const RANK_DELAY_MS: u64 = 200;
/// Ranks beyond this one add little wait, as changes must be known within the users' bounds.
const EARLY_RANK_MAX: u64 = 4;
/// Added wait per late rank, up to a maximum rank. The first box that reads the store informs all others within some
/// hundredths of a second, and the store can't serve a long list to all boxes at once.
const LATE_RANK_DELAY_MS: u64 = 2;
const LATE_RANKS_MAX: u64 = 1_000;
/// Added wait per late rank while a box of lower rank number polls engines because the store is unreachable or
/// rejects calls. Each box tries once, and the first that gets an answer informs the others. Calls to an unreachable
/// store are billed too.
const OUTAGE_RANK_DELAY_MS: u64 = 25;
/// Minimum added wait per late rank and listed target: the time that the list takes on the store's link. With many
/// concurrent reads, none would finish before its timeout.
const READ_MS_PER_TARGET: f64 = 0.003;
/// The wait grows no further beyond this rank; boxes that stop have no rank and wait as long.
const READ_RANKS_MAX: u64 = 10_000;
/// Retry pause of late-ranked boxes while the store does not answer, and the pause while another box polls engines.
const LATE_RANK_RETRY_PAUSE: Duration = Duration::from_millis(1_600);
const OUTAGE_RETRY_PAUSE: Duration = Duration::from_millis(6_400);
/// A box that polls all engines announces it every 0.4 s; after this long without an announcement it counts as having
/// stopped.
const POLLER_TIMEOUT_MS: u64 = 1_000;
/// A box that no peer has answered or called for this long counts as isolated and does not wait for others.
pub(crate) const ISOLATION_TIMEOUT_MS: u64 = 1_200;
/// Time after the start in which a box does not know its rank yet.
const STARTUP_GRACE_MS: u64 = 800;

/// A part of the store that boxes watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum View {
    /// Settings and orders that the operators declare.
    Declarations,
    /// Targets that register themselves.
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

/// Key of the watcher role in rendezvous hashing.
pub(crate) fn watcher_role() -> u64 {
    xxh3_64(b"targets")
}

/// The boxes that may watch the store, in order of rank.
fn ranked_boxes(relay: &Relay) -> Rc<[BoxId]> {
    let members = relay.members.borrow();
    members.ranked(watcher_role(), relay.is_stopping(), relay.now_ms())
}

/// This box's rank among those that may watch the store; `None` while it stops.
pub(crate) fn rank(relay: &Relay) -> Option<usize> {
    ranked_boxes(relay).iter().position(|id| *id == relay.id)
}

/// Whether this box is among the first in rank, which retry an unreachable store at the shortest pause.
pub(crate) fn has_early_rank(relay: &Relay) -> bool {
    rank(relay).is_some_and(|rank| rank as u64 <= EARLY_RANK_MAX)
}

/// Waits before the store is retried. Late-ranked boxes wait longer, as the calls in an outage grow with the number
/// of boxes that retry.
pub(crate) async fn pause_before_retry(relay: &Relay, pause: Duration) {
    let started = Instant::now();
    let late_pause = match another_box_polls(relay) {
        true => OUTAGE_RETRY_PAUSE,
        false => LATE_RANK_RETRY_PAUSE,
    };
    sleep(pause).await;
    while started.elapsed() < late_pause && !has_early_rank(relay) {
        sleep(ELECTION_CHECK_INTERVAL).await;
    }
}

/// Whether this box is elected: it is the first in rank, or the first outside that box's data centre.
pub(crate) fn is_elected(relay: &Relay) -> bool {
    let ranked_boxes = ranked_boxes(relay);
    let Some(first) = ranked_boxes.first().copied() else {
        return false;
    };
    let home = relay.data_centre_of(first);
    let elsewhere = |id: &BoxId| relay.data_centre_of(*id) != home;
    let second = ranked_boxes.iter().copied().find(elsewhere);
    let second = second.or(ranked_boxes.get(1).copied());
    first == relay.id || second == Some(relay.id)
}

/// How long, in ms, this box waits for a confirmation of its view before it reads the store itself; 0 if it is
/// elected.
pub(crate) fn confirm_timeout_ms(relay: &Relay, view: View) -> u64 {
    if is_elected(relay) {
        return 0;
    }
    let last_seen_ms = relay.members.borrow().last_contact_ms();
    if last_seen_ms + ISOLATION_TIMEOUT_MS < relay.now_ms() {
        return CONFIRM_TIMEOUT_MS;
    }
    let expected = relay.members.borrow().peak_box_count();
    let known = ranked_boxes(relay).len();
    let rank_in_fleet =
        rank(relay).map_or(u64::MAX, |rank| fleet_rank(rank as u64, known, expected));
    let is_outage = another_box_polls(relay);
    let listed = match view {
        View::Declarations => 0,
        View::Targets => relay.targets.borrow().len(),
    };
    CONFIRM_TIMEOUT_MS + rank_delay_ms(rank_in_fleet, is_outage, listed)
}

/// Wait in ms that a rank adds to the confirmation timeout, for a list of `listed` targets.
fn rank_delay_ms(rank_in_fleet: u64, is_outage: bool, listed: usize) -> u64 {
    let late = rank_in_fleet.saturating_sub(EARLY_RANK_MAX);
    let late_rank_delay_ms = match is_outage {
        true => OUTAGE_RANK_DELAY_MS,
        false => LATE_RANK_DELAY_MS,
    };
    let late_wait_ms = late_rank_delay_ms * late.min(LATE_RANKS_MAX);
    let read_wait_ms = listed as f64 * READ_MS_PER_TARGET;
    let read_wait_ms = (read_wait_ms * late.min(READ_RANKS_MAX) as f64) as u64;
    RANK_DELAY_MS * rank_in_fleet.min(EARLY_RANK_MAX) + late_wait_ms.max(read_wait_ms)
}

/// Scales a rank among the known boxes to the expected size of the fleet. A box that has just started knows few
/// peers, and all new boxes would otherwise consider themselves early in rank.
fn fleet_rank(rank: u64, known: usize, expected: usize) -> u64 {
    if rank <= EARLY_RANK_MAX {
        return rank;
    }
    let scale = expected.max(known) as f64 / known.max(1) as f64;
    (rank as f64 * scale) as u64
}

/// Whether another box polls all engines for their leaving.
pub(crate) fn another_box_polls(relay: &Relay) -> bool {
    let last_seen_ms = relay.other_poller_seen_ms.get();
    last_seen_ms > 0 && last_seen_ms + POLLER_TIMEOUT_MS > relay.now_ms()
}

/// Whether this box must watch a view itself: it is elected, or nobody has confirmed the view in time.
pub(crate) fn must_watch(relay: &Relay, view: View) -> bool {
    let now_ms = relay.now_ms();
    let confirmed = relay.confirmed(view);
    if confirmed.is_none() && !relay.knows(view) {
        return true;
    }
    if now_ms < STARTUP_GRACE_MS {
        return false;
    }
    let limit_ms = confirm_timeout_ms(relay, view);
    // Boxes that start with an old view read the store in the order of their ranks, too.
    let turn_ms = STARTUP_GRACE_MS + limit_ms.saturating_sub(CONFIRM_TIMEOUT_MS);
    match confirmed {
        _ if limit_ms == 0 => true,
        Some(confirmed) => confirmed.is_older_than(limit_ms, now_ms) && turn_ms < now_ms,
        // The initial read may be some seconds stale. The watching boxes confirm it soon after the start.
        None => STARTUP_GRACE_MS + limit_ms < now_ms,
    }
}

/// Whether other boxes watch the store again, so that a box that is not elected can stop watching.
pub(crate) fn can_step_down(relay: &Relay, started_ms: u64) -> bool {
    let last_seen_ms = relay.members.borrow().store_follower_seen_ms();
    !is_elected(relay) && last_seen_ms > started_ms + CONFIRM_TIMEOUT_MS
}

/// The views that a box currently watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FollowedViews {
    declarations: bool,
    targets: bool,
}

impl FollowedViews {
    fn set(&mut self, view: View, follows: bool) {
        match view {
            View::Declarations => self.declarations = follows,
            View::Targets => self.targets = follows,
        }
    }

    /// Whether any view is watched.
    pub(crate) fn any(self) -> bool {
        self.declarations || self.targets
    }

    /// The watched views.
    pub(crate) fn views(self) -> impl Iterator<Item = View> {
        let declarations = self.declarations.then_some(View::Declarations);
        let targets = self.targets.then_some(View::Targets);
        declarations.into_iter().chain(targets)
    }
}

/// Marks a view as watched by this box until it is dropped.
pub(crate) struct FollowGuard {
    relay: Rc<Relay>,
    view: View,
}

impl FollowGuard {
    pub(crate) fn begin(relay: &Rc<Relay>, view: View) -> Self {
        relay.set_following(view, true);
        relay.follow_started.notify_one();
        Self {
            relay: relay.clone(),
            view,
        }
    }
}

impl Drop for FollowGuard {
    fn drop(&mut self) {
        self.relay.set_following(self.view, false);
    }
}

impl Relay {
    fn set_following(&self, view: View, follows: bool) {
        let mut followed_views = self.following.get();
        followed_views.set(view, follows);
        self.following.set(followed_views);
    }
}

#[cfg(test)]
#[path = "election_tests.rs"]
mod tests;
