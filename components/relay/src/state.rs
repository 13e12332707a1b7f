//! What one box holds. All of it is used by one thread.

use crate::dispatch::completion::CompletionEstimator;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::open_generations::OpenGenerations;
use crate::forwarding::balance::CallBalancer;
use crate::forwarding::idle_channels::IdleChannels;
use crate::held::{Bounds, Holdings};
use crate::ingress::request::LocalReply;
use crate::membership::lacking::Lacking;
use crate::membership::list_budget::ListBudget;
use crate::membership::members::Members;
use crate::membership::snapshot::pack;
use crate::membership::stand_back::StandBacks;
use crate::quarantine::broken::BrokenRuns;
use crate::rate_limit::state::RateLimits;
use crate::watch::election::{Followed, View};
use crate::watch::evacuation::Evacuation;
use crate::watch::refused::RefusedEntries;
use crate::watch::targets::TargetBook;
use arc_swap::Guard;
use peers::{FleetCard, FleetClients, FleetDigest, KeyRing};
use platform::{FleetStore, Lease};
use policy::{Quarantine, RetryLimit, RetryWindow};
use prelude::{BoxId, Clock, DataCentreId, ModelId, PoolId};
use reload::{Live, Snapshot};
use routing::RoutingTable;
use settings::{FleetFile, FleetIdentity, FleetLimits, FleetPromises, Mechanism};
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

/// When a refused caller is told to come back where no time is worked out.
const RETRY_AFTER_MS: u64 = 1_000;

/// One version of the operators' declarations, with the text that peers are given.
#[derive(Debug)]
pub struct Declared {
    /// As it is used.
    pub table: RoutingTable,
    /// As it lies in the store, packed as peers are given it.
    pub packed: Vec<u8>,
}

/// What one box holds.
pub struct Relay {
    /// Who this box is, for its life.
    pub(crate) identity: FleetIdentity,
    pub(crate) settings: Arc<Live<FleetFile>>,
    /// The keys by which boxes know each other.
    pub(crate) keys: KeyRing,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) id: BoxId,
    /// Drawn at each start of the process.
    pub(crate) life: u32,
    pub(crate) data_centre: DataCentreId,
    pub(crate) store: FleetStore,
    pub(crate) peers: FleetClients,
    pub(crate) declared: RefCell<Option<Rc<Declared>>>,
    /// When it was last confirmed that these declarations are the newest.
    pub(crate) declared_confirmed_ms: Cell<Option<u64>>,
    pub(crate) evacuation: RefCell<Evacuation>,
    pub(crate) targets: RefCell<TargetBook>,
    /// Entries of targets that could not be used.
    pub(crate) refused_entries: RefCell<RefusedEntries>,
    /// Rises with each change of targets that matters.
    pub(crate) target_changes: watch::Sender<u64>,
    pub(crate) channels: RefCell<IdleChannels>,
    /// What is kept for callers and targets that read slowly.
    pub(crate) held: Rc<Holdings>,
    /// What calls showed of plain targets.
    pub(crate) balance: RefCell<CallBalancer>,
    /// A request at a target ended: a call that waits may find room.
    pub(crate) calls_ended: Notify,
    /// Rate limits of targets.
    pub(crate) rate_limits: RateLimits,
    /// Requests under which targets ended.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Runs that broke off lately.
    pub(crate) broken_runs: RefCell<BrokenRuns>,
    pub(crate) resends: RefCell<HashMap<Box<str>, RetryWindow>>,
    pub(crate) members: RefCell<Members>,
    pub(crate) dispatchers: RefCell<HashMap<PoolId, Dispatcher>>,
    pub(crate) open_generations: RefCell<OpenGenerations>,
    /// Accounts that have metrics of their own.
    pub(crate) account_labels: RefCell<HashSet<String>>,
    /// How generations came to their ends here.
    pub(crate) completion: RefCell<CompletionEstimator>,
    /// Notified when a peer did not answer: who dispatches a pool may have changed.
    pub(crate) peer_doubted: Notify,
    /// Something of [`Relay::open_generations`] is to be told to a dispatcher.
    pub(crate) generations_changed: Notify,
    /// This box's last call for its own key failed.
    pub(crate) store_fails: Cell<bool>,
    /// Following targets failed, and has not succeeded since.
    pub(crate) targets_doubted: Cell<bool>,
    /// Views of the store that this box follows now.
    pub(crate) following: Cell<Followed>,
    /// When the store last answered again after trouble.
    pub(crate) store_back_ms: Cell<Option<u64>>,
    /// This box begins to follow a view.
    pub(crate) begins_to_follow: Notify,
    /// This box asks all engines whether they leave, and when it last heard another one that does.
    pub(crate) asking: Cell<bool>,
    pub(crate) heard_asker_ms: Cell<u64>,
    /// The boxes that the settings name were asked what they know, or are silent.
    pub(crate) seeds_asked: watch::Sender<bool>,
    /// The highest era of the store that this box has acted upon; none before it heard of any.
    pub(crate) era_seen: Cell<Option<u32>>,
    /// The lease of the key that a former life of this box has left.
    pub(crate) former_lease: Cell<Option<Lease>>,
    /// The keys of all boxes were read since this box started.
    pub(crate) boxes_read: watch::Sender<bool>,
    /// Changes of targets that other boxes have and this one lacks.
    pub(crate) lacking: Cell<Lacking>,
    /// Whole lists of targets that this box has handed out.
    pub(crate) lists_told: Cell<ListBudget>,
    /// What another box knows more is being asked for.
    pub(crate) fetching: watch::Sender<bool>,
    /// The store failed: its open watches may hang.
    pub(crate) store_doubted: Notify,
    /// Requests that are being read or answered.
    pub(crate) in_progress: Cell<usize>,
    pub(crate) requests_ended: Notify,
    /// Which boxes this one allows to stand back.
    pub(crate) stand_backs: RefCell<StandBacks>,
    /// Until when this box stands back.
    pub(crate) stands_back_until_ms: Cell<u64>,
    /// A planned stop has begun.
    pub(crate) stopping: CancellationToken,
    /// When a planned stop must be over.
    pub(crate) stop_until_ms: Cell<Option<u64>>,
    /// The process ends.
    pub(crate) closed: CancellationToken,
}

/// Counts a request as in progress while it lives.
pub(crate) struct InProgress(Rc<Relay>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
        self.0.requests_ended.notify_waiters();
    }
}

/// What the users were promised of second sends.
pub(crate) fn resend_bound(promises: &FleetPromises) -> RetryLimit {
    RetryLimit {
        share: promises.resend_share,
        extra: promises.resend_spare,
        window_ms: (promises.resend_window_s * 1000.0) as u64,
    }
}

/// What the box may hold for others.
pub(crate) fn held_bounds(limits: &FleetLimits) -> Bounds {
    Bounds {
        box_bytes: limits.held_bytes(),
        account_bytes: limits.account_held_bytes(),
    }
}

/// The pool of a service's engines.
pub(crate) fn pool_of(service: &str) -> PoolId {
    PoolId {
        model: ModelId::from_name(service),
        ..PoolId::default()
    }
}

impl Relay {
    pub(crate) fn begin(self: &Rc<Self>) -> InProgress {
        self.in_progress.set(self.in_progress.get() + 1);
        InProgress(self.clone())
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.is_cancelled()
    }

    /// How long a stopping box has until it must be over; none where it does not stop.
    pub(crate) fn stop_left_ms(&self) -> Option<u64> {
        let until_ms = self.stop_until_ms.get()?;
        Some(until_ms.saturating_sub(self.now_ms()))
    }

    /// The declarations in force; none before any were read.
    pub(crate) fn declared(&self) -> Option<Rc<Declared>> {
        self.declared.borrow().clone()
    }

    /// Whether this box takes new channels: it knows what operators declared and where targets are, and is not overrun.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.is_synced() && !self.is_shedding_load()
    }

    pub(crate) fn card(&self) -> FleetCard {
        FleetCard {
            id: self.id,
            life: self.life,
            name: self.identity.name.as_str().into(),
            address: self.identity.peers_address,
            data_centre: self.identity.data_centre.as_str().into(),
            leaving: self.is_stopping(),
            link_mbps: self.file().limits.link_mbps as u32,
        }
    }

    pub(crate) fn digest(&self) -> FleetDigest {
        let targets = self.targets.borrow();
        let now_ms = self.now_ms();
        let age_ms = |confirmed_ms: Option<u64>| {
            let age_ms = now_ms.saturating_sub(confirmed_ms?);
            Some(u32::try_from(age_ms).unwrap_or(u32::MAX))
        };
        FleetDigest {
            from: self.card(),
            table_version: self.declared().map_or(0, |held| held.table.version),
            table_age_ms: age_ms(self.declared_confirmed_ms.get()),
            targets_changed_at: targets.changed_at,
            targets_current_to: targets.current_to,
            targets_age_ms: age_ms(targets.confirmed_ms),
            evacuations: self.evacuation.borrow().known().clone(),
            boxes: self.members.borrow().others().len() as u32,
        }
    }

    /// When it was last confirmed that this box knows the newest of a view.
    pub(crate) fn confirmed_ms(&self, view: View) -> Option<u64> {
        match view {
            View::Declarations => self.declared_confirmed_ms.get(),
            View::Targets => self.targets.borrow().confirmed_ms,
        }
    }

    /// Notes that this box knows the newest of a view now.
    pub(crate) fn confirm(&self, view: View) {
        self.confirm_at(view, self.now_ms());
    }

    /// Notes that this box knows what was the newest of a view at a time, by its own clock.
    pub(crate) fn confirm_at(&self, view: View, at_ms: u64) {
        let before_ms = self.confirmed_ms(view);
        if before_ms.is_some_and(|before_ms| before_ms >= at_ms) {
            return;
        }
        match view {
            View::Declarations => self.declared_confirmed_ms.set(Some(at_ms)),
            View::Targets => {
                self.targets.borrow_mut().confirmed_ms = Some(at_ms);
                self.targets_doubted.set(false);
            }
        }
        if before_ms.is_none() {
            // Requests may wait for this since the box started.
            self.target_changes.send_modify(|count| *count += 1);
        }
    }

    /// Puts declarations into force, where they are newer than those in force. Says whether they are.
    pub(crate) fn declare(&self, text: &[u8], source: &'static str) -> bool {
        let table = match platform::decode_routing_table(text) {
            Ok(table) => table,
            Err(error) => {
                slog::error!(self.log, "declarations not used"; "source" => source,
                    "error" => %error);
                return false;
            }
        };
        let held = self.declared().map_or(0, |held| held.table.version);
        if table.version <= held {
            return false;
        }
        slog::info!(self.log, "declarations in force"; "version" => table.version,
            "before" => held, "source" => source, "routes" => table.routes.len(),
            "accounts" => table.accounts.len());
        metrics::gauge!("shuntpier_table_version").set(table.version as f64);
        *self.declared.borrow_mut() = Some(Rc::new(Declared {
            table,
            packed: pack(text),
        }));
        self.targets_changed();
        true
    }

    pub(crate) fn targets_changed(&self) {
        self.sync_dispatchers();
        self.target_changes.send_modify(|count| *count += 1);
    }

    /// The settings in force.
    pub(crate) fn file(&self) -> Guard<Arc<Snapshot<FleetFile>>> {
        self.settings.load()
    }

    /// An answer of this box's own, as its caller is told it.
    pub(crate) fn as_told(&self, own: LocalReply) -> LocalReply {
        match own {
            LocalReply::NotRun { why, .. } if !self.file().has(Mechanism::TimesToComeBack) => {
                LocalReply::NotRun {
                    why,
                    retry_after_ms: RETRY_AFTER_MS,
                }
            }
            own => own,
        }
    }

    /// Second sends to a service, counted over the window.
    pub(crate) fn resend_window<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut RetryWindow, u64) -> T,
    ) -> T {
        let mut windows = self.resends.borrow_mut();
        if !windows.contains_key(service) {
            let bound = resend_bound(&self.file().promises);
            windows.insert(service.into(), RetryWindow::new(bound));
        }
        let now_ms = self.now_ms();
        match windows.get_mut(service) {
            Some(window) => act(window, now_ms),
            None => unreachable!("the window was just made"),
        }
    }

    /// Takes one second send to a service from the budget.
    pub(crate) fn take_resend(&self, service: &str) -> bool {
        let boxes = match self.file().has(Mechanism::BudgetShares) {
            true => self.members.borrow().budget_share(),
            false => 1,
        };
        let taken = self.resend_window(service, |window, now_ms| window.try_take(boxes, now_ms));
        let name = match taken {
            true => "shuntpier_resends",
            false => "shuntpier_resends_denied",
        };
        metrics::counter!(name).increment(1);
        taken
    }
}
