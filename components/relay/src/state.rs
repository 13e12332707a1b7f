//! The state of one box. A single thread uses all of it.

use crate::buffered::{BufferBudget, BufferLimits};
use crate::dispatch::completion::CompletionEstimator;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::open_generations::OpenGenerations;
use crate::forwarding::balance::CallBalancer;
use crate::forwarding::idle_channels::IdleChannels;
use crate::forwarding::reachability::Paths;
use crate::forwarding::relay_peers::RelayPeers;
use crate::forwarding::retries::RetryBudgets;
use crate::ingress::request::LocalReply;
use crate::membership::clocks::{NotBefore, PeerClocks};
use crate::membership::compression::compress;
use crate::membership::list_budget::ListBudget;
use crate::membership::load_shedding::LoadShedding;
use crate::membership::members::Members;
use crate::membership::missing::MissingChanges;
use crate::membership::slack::SlackClaim;
use crate::quarantine::broken_runs::BrokenRuns;
use crate::rate_limit::state::RateLimits;
use crate::watch::election::{FollowedViews, View};
use crate::watch::evacuation::Evacuation;
use crate::watch::refused::RefusedEntries;
use crate::watch::targets::TargetRegistry;
use arc_swap::Guard;
use peers::{ClockReading, FleetCard, FleetClients, FleetDigest, KeyRing};
use platform::{FleetStore, Lease};
use policy::Quarantine;
use prelude::{BoxId, Clock, DataCentreId, ModelId, PoolId, Suspect};
use reload::{Live, Snapshot};
use routing::RoutingTable;
use settings::{FleetFile, FleetIdentity, FleetLimits, Mechanism};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// Retry delay given to a refused caller if none is computed.
const RETRY_AFTER_MS: u64 = 1_000;

/// One version of the operators' declarations, with the text that is sent to peers.
#[derive(Debug)]
pub struct Declared {
    /// The decoded declarations.
    pub table: RoutingTable,
    /// The text as stored, packed for peers.
    pub packed: Vec<u8>,
}

/// The state of one box.
pub struct Relay {
    /// Identity of this box, fixed until the process ends.
    pub(crate) identity: FleetIdentity,
    pub(crate) settings: Arc<Live<FleetFile>>,
    /// Keys by which boxes authenticate each other.
    pub(crate) keys: KeyRing,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) id: BoxId,
    /// Random number of this process, drawn at each start.
    pub(crate) incarnation: u32,
    pub(crate) data_centre: DataCentreId,
    pub(crate) store: FleetStore,
    pub(crate) peers: FleetClients,
    pub(crate) declared: RefCell<Option<Rc<Declared>>>,
    /// When the store last confirmed the declarations to be current.
    pub(crate) declared_confirmed: Cell<Option<NotBefore>>,
    pub(crate) evacuation: RefCell<Evacuation>,
    pub(crate) targets: RefCell<TargetRegistry>,
    /// Target entries in the store that are invalid.
    pub(crate) refused_entries: RefCell<RefusedEntries>,
    /// Incremented with each change of targets or declarations that can affect waiting requests.
    pub(crate) target_changes: watch::Sender<u64>,
    pub(crate) channels: RefCell<IdleChannels>,
    /// Which services this box can reach.
    pub(crate) paths: Paths,
    /// Boxes that requests are relayed to.
    pub(crate) relay_peers: RefCell<RelayPeers>,
    /// Budget of memory for buffered requests and answers of slow readers.
    pub(crate) memory: Rc<BufferBudget>,
    /// Statistics of calls to plain targets.
    pub(crate) balance: RefCell<CallBalancer>,
    /// Notified when a request at a target ends, as a waiting call may then be sent.
    pub(crate) calls_ended: Notify,
    /// Rate limits of targets.
    pub(crate) rate_limits: RateLimits,
    /// Requests and prompt parts under which targets crashed.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Counts changes of the quarantine, for requests that wait for its verdict.
    pub(crate) quarantine_changes: watch::Sender<u64>,
    /// The last trial that this box has begun of each cause, by its role.
    pub(crate) last_trials: RefCell<HashMap<u64, u64>>,
    /// Requests and prompt parts whose records in the store this box has written.
    pub(crate) recorded_suspects: RefCell<HashSet<Suspect>>,
    /// Runs that broke off recently.
    pub(crate) broken_runs: RefCell<BrokenRuns>,
    pub(crate) retry_budgets: RefCell<RetryBudgets>,
    /// Whether this box may use a share of the extra retries.
    pub(crate) slack_claim: Cell<SlackClaim>,
    pub(crate) members: RefCell<Members>,
    pub(crate) peer_clocks: RefCell<PeerClocks>,
    pub(crate) dispatchers: RefCell<HashMap<PoolId, Dispatcher>>,
    pub(crate) open_generations: RefCell<OpenGenerations>,
    /// Accounts with metrics of their own.
    pub(crate) account_labels: RefCell<HashSet<String>>,
    /// Estimates how likely a generation finishes in time.
    pub(crate) completion: RefCell<CompletionEstimator>,
    /// Notified when a peer did not answer, as the dispatcher of a pool may have changed.
    pub(crate) peer_suspected: Notify,
    /// Notified when [`Relay::open_generations`] has something to report to a dispatcher.
    pub(crate) generations_changed: Notify,
    /// Set while this box's last store call for its own key failed.
    pub(crate) store_failing: Cell<bool>,
    /// Set when following targets failed, until their view is confirmed again.
    pub(crate) targets_suspected: Cell<bool>,
    /// Views of the store that this box follows.
    pub(crate) following: Cell<FollowedViews>,
    /// When following the store last failed at this box.
    pub(crate) store_failed_ms: Cell<Option<u64>>,
    /// When the store last recovered from a failure.
    pub(crate) store_recovered_ms: Cell<Option<u64>>,
    /// Notified when this box begins to follow a view.
    pub(crate) follow_started: Notify,
    /// Set while this box polls all engines for whether they leave.
    pub(crate) polls_all_engines: Cell<bool>,
    /// When another box was last observed to poll all engines.
    pub(crate) other_poller_seen_ms: Cell<u64>,
    /// Set once the seed boxes of the settings were queried at the start, whether they answered or not.
    pub(crate) seeds_queried: watch::Sender<bool>,
    /// The highest era of the store that this box has acted upon; none before the first is known.
    pub(crate) observed_era: Cell<Option<u32>>,
    /// The lease of the key that the previous incarnation of this box has left.
    pub(crate) previous_lease: Cell<Option<Lease>>,
    /// Set once the keys of all boxes were read after the start.
    pub(crate) boxes_read: watch::Sender<bool>,
    /// Target changes that other boxes have and this one is missing.
    pub(crate) missing_changes: Cell<MissingChanges>,
    /// Budget for sending whole lists of targets to peers.
    pub(crate) list_budget: Cell<ListBudget>,
    /// Set while newer state is being fetched from another box.
    pub(crate) fetching: watch::Sender<bool>,
    /// Notified when the store failed, as its open watches may hang.
    pub(crate) store_suspected: Notify,
    /// Requests that are being read or answered.
    pub(crate) in_progress: Cell<usize>,
    pub(crate) requests_ended: Notify,
    /// Which boxes this one allows to shed load.
    pub(crate) load_shedding: RefCell<LoadShedding>,
    /// Until when this box sheds load.
    pub(crate) sheds_load_until_ms: Cell<u64>,
    /// Cancelled when a planned stop begins.
    pub(crate) stopping: CancellationToken,
    /// Deadline of a planned stop.
    pub(crate) stop_until_ms: Cell<Option<u64>>,
    /// Cancelled when a stopping box refuses all that it has not begun.
    pub(crate) refusing: CancellationToken,
    /// When the stop began.
    pub(crate) stop_started_ms: Cell<Option<u64>>,
    /// Cancelled when the process ends.
    pub(crate) closed: CancellationToken,
}

/// Counts a request as in progress until it is dropped.
pub(crate) struct InProgress(Rc<Relay>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.requests_ended.notify_waiters();
    }
}

/// Returns the bounds on buffered bytes, in total and per account.
pub(crate) fn memory_bounds(limits: &FleetLimits) -> BufferLimits {
    BufferLimits {
        box_bytes: limits.held_bytes(),
        account_bytes: limits.account_held_bytes(),
    }
}

/// Returns the pool of a service's engines.
pub(crate) fn pool_of(service: &str) -> PoolId {
    PoolId {
        model: ModelId::from_name(service),
        ..PoolId::default()
    }
}

impl Relay {
    pub(crate) fn track_request(self: &Rc<Self>) -> InProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        InProgress(self.clone())
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// Returns the time until a stopping box must end, or none if it is not stopping.
    pub(crate) fn stop_remaining_ms(&self) -> Option<u64> {
        let until_ms = self.stop_until_ms.get()?;
        Some(until_ms.saturating_sub(self.now_ms()))
    }

    /// Returns the declarations in force, or none before the first were read.
    pub(crate) fn declared(&self) -> Option<Rc<Declared>> {
        self.declared.borrow().clone()
    }

    /// Returns true if this box accepts new channels: it knows declarations and targets, and is neither stopping nor shedding
    /// load.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_synced() && !self.is_shedding_load()
    }

    pub(crate) fn card(&self) -> FleetCard {
        FleetCard {
            id: self.id,
            life: self.incarnation,
            name: self.identity.name.as_str().into(),
            address: self.identity.peers_address,
            callers_address: Some(self.identity.callers_address),
            data_centre: self.identity.data_centre.as_str().into(),
            leaving: self.is_stopping(),
            link_mbps: self.settings().limits.link_mbps as u32,
        }
    }

    /// Reads the clock of this process, for a peer.
    pub(crate) fn clock_reading(&self) -> ClockReading {
        ClockReading {
            incarnation: self.incarnation,
            at_ms: self.now_ms().cast_signed(),
        }
    }

    pub(crate) fn digest(&self) -> FleetDigest {
        let targets = self.targets.borrow();
        let now_ms = self.now_ms();
        let age_ms = |confirmed: Option<NotBefore>| confirmed?.age_ms(now_ms);
        FleetDigest {
            from: self.card(),
            clock_ms: now_ms,
            made_at: None,
            table_version: self.declared().map_or(0, |declared| declared.table.version),
            table_age_ms: age_ms(self.declared_confirmed.get()),
            targets_changed_at: targets.changed_at,
            targets_current_to: targets.current_to,
            targets_age_ms: age_ms(targets.confirmed),
            evacuations: self.evacuation.borrow().known().clone(),
            settles_in_ms: targets.settles_in_ms(now_ms),
            boxes: self.members.borrow().others().len() as u32,
        }
    }

    /// Returns when the store last confirmed a view to be current.
    pub(crate) fn confirmed(&self, view: View) -> Option<NotBefore> {
        match view {
            View::Declarations => self.declared_confirmed.get(),
            View::Targets => self.targets.borrow().confirmed,
        }
    }

    /// Records that the store has confirmed a view in answer to a call that was sent at `sent_ms`.
    pub(crate) fn confirm_from_store(&self, view: View, sent_ms: u64) {
        self.confirm(view, NotBefore::at(sent_ms), None);
    }

    /// Records that the store confirmed a view to be current, as this box knows from itself or from a peer.
    pub(crate) fn confirm(&self, view: View, confirmed: NotBefore, peer: Option<BoxId>) {
        let previous = self.confirmed(view);
        if previous.is_some_and(|previous| previous >= confirmed) {
            return;
        }
        match view {
            View::Declarations => self.declared_confirmed.set(Some(confirmed)),
            View::Targets => {
                self.targets.borrow_mut().confirmed = Some(confirmed);
                self.targets_suspected.set(false);
            }
        }
        if previous.is_none() {
            let now_ms = self.now_ms();
            slog::info!(self.log, "view confirmed for the first time"; "view" => view.name(),
                "peer" => peer.map(|id| id.0), "age_ms" => confirmed.age_ms(now_ms), "uptime_ms" => now_ms);
            // Requests that arrived since the start may wait for the first confirmation.
            self.target_changes.send_modify(|count| *count += 1);
        }
    }

    /// Applies declarations if they are newer than those in force. Returns true if they are.
    pub(crate) fn apply_declarations(&self, text: &[u8], source: &'static str) -> bool {
        let table = match platform::decode_routing_table(text) {
            Ok(table) => table,
            Err(error) => {
                slog::error!(self.log, "declarations rejected"; "source" => source,
                    "error" => %error);
                return false;
            }
        };
        let current = self.declared().map_or(0, |declared| declared.table.version);
        if table.version <= current {
            return false;
        }
        slog::info!(self.log, "declarations in force"; "version" => table.version,
            "before" => current, "source" => source, "routes" => table.routes.len(),
            "accounts" => table.accounts.len());
        metrics::gauge!("shuntpier_table_version").set(table.version as f64);
        *self.declared.borrow_mut() = Some(Rc::new(Declared {
            table,
            packed: compress(text),
        }));
        self.targets_changed();
        true
    }

    pub(crate) fn targets_changed(&self) {
        self.sync_dispatchers();
        self.target_changes.send_modify(|count| *count += 1);
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Guard<Arc<Snapshot<FleetFile>>> {
        self.settings.load()
    }

    /// Returns a local reply as it is sent to the caller, with a fixed retry delay if computed delays are off.
    pub(crate) fn caller_reply(&self, reply: LocalReply) -> LocalReply {
        match reply {
            LocalReply::NotRun { why, .. } if !self.settings().has(Mechanism::TimesToComeBack) => {
                LocalReply::NotRun {
                    why,
                    retry_after_ms: RETRY_AFTER_MS,
                }
            }
            reply => reply,
        }
    }
}
