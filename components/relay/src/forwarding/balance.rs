//! Plain calls balanced among targets: what this box saw and was told of each, and which one a call goes to. A call looks
//! at a few targets, drawn anew each time, so that its cost does not grow with the targets.

use crate::state::Relay;
use crate::watch::targets::{COLD_SHARE, ColdRate, FAR_SHARE, Target, TargetBook, TargetSlot};
use policy::{Candidate, HintBudget, RouteStats, SelectionPolicy, TargetStats, choose_target};
use rand::seq::IndexedRandom;
use routing::Route;
use settings::Mechanism;
use slotmap::SecondaryMap;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Targets of this data centre that one call looks at: some that fail still leave enough to choose from.
const NEAR_SAMPLE_SIZE: usize = 12;
/// Targets of other data centres that it looks at: they are for when those here are full.
const FAR_SAMPLE_SIZE: usize = 6;
/// Routes whose records are kept. Beyond that all are forgotten: they are learnt again within a few answers.
const MAX_ROUTES: usize = 512;

/// What a plain request asks for, as far as the choice of its target goes.
pub(crate) struct TargetQuery<'a> {
    pub service: &'a str,
    pub route: u64,
    pub cold: ColdRate,
}

/// A service's targets.
#[derive(Debug, Default)]
struct ServiceTargets {
    /// The count of changes at which this was read.
    version: u64,
    near: Vec<TargetSlot>,
    far: Vec<TargetSlot>,
}

/// What a box knows of plain targets. All of it is soft.
#[derive(Debug, Default)]
pub(crate) struct CallBalancer {
    targets: SecondaryMap<TargetSlot, TargetStats>,
    routes: HashMap<u64, RouteStats>,
    services: HashMap<Box<str>, ServiceTargets>,
    pub(crate) hints: HintBudget,
}

/// A route's key among those of all declarations.
pub(crate) fn route_key(route: &Route) -> u64 {
    xxh3_64(route.name.as_bytes())
}

impl CallBalancer {
    /// What is known of a target.
    pub(crate) fn stats_mut(&mut self, slot: TargetSlot) -> Option<&mut TargetStats> {
        Some(self.targets.entry(slot)?.or_default())
    }

    /// What is known of a target, where anything is.
    pub(crate) fn stats(&self, slot: TargetSlot) -> Option<&TargetStats> {
        self.targets.get(slot)
    }

    /// What is known of a route.
    pub(crate) fn route_stats_mut(&mut self, key: u64) -> &mut RouteStats {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&key) {
            self.routes.clear();
        }
        self.routes.entry(key).or_default()
    }

    /// Whether this box may have one more call at a target.
    fn has_capacity(&self, slot: TargetSlot, open: u32) -> bool {
        self.stats(slot)
            .is_none_or(|record| record.limit.has_room(open))
    }

    /// Some targets of a service, drawn at random for each call, and whether they are all that it has.
    fn sample(
        &mut self,
        relay: &Relay,
        book: &TargetBook,
        service: &str,
    ) -> (Vec<TargetSlot>, bool) {
        let version = *relay.target_changes.borrow();
        let known = self.services.get(service);
        if known.is_none_or(|known| known.version != version) {
            let (near, far) = book
                .of_service(service)
                .partition::<Vec<_>, _>(|(_, target)| target.data_centre == relay.data_centre);
            let slots = |targets: Vec<(TargetSlot, &Target)>| {
                targets.into_iter().map(|(slot, _)| slot).collect()
            };
            let read = ServiceTargets {
                version,
                near: slots(near),
                far: slots(far),
            };
            self.services.insert(service.into(), read);
        }
        let Some(service_targets) = self.services.get(service) else {
            return (Vec::new(), true);
        };
        let mut random = rand::rng();
        let near = service_targets
            .near
            .choose_multiple(&mut random, NEAR_SAMPLE_SIZE);
        let far = service_targets
            .far
            .choose_multiple(&mut random, FAR_SAMPLE_SIZE);
        let sample: Vec<TargetSlot> = near.chain(far).copied().collect();
        let is_complete = sample.len() == service_targets.near.len() + service_targets.far.len();
        (sample, is_complete)
    }

    fn candidate(
        &self,
        relay: &Relay,
        slot: TargetSlot,
        target: &Target,
        query: &TargetQuery,
    ) -> Candidate {
        let now_ms = relay.now_ms();
        let excess_failures = |record: &TargetStats| {
            let baseline = self.routes.get(&query.route).copied().unwrap_or_default();
            record.route_failures.excess(query.route, baseline.failures)
        };
        let known = self.stats(slot);
        let far = f64::from(u8::from(target.data_centre != relay.data_centre)) * FAR_SHARE;
        let cold = f64::from(u8::from(now_ms < target.cold_until_ms)) * COLD_SHARE;
        Candidate {
            latency_ratio: known.map_or(1.0, |record| record.latency_ratio(now_ms)),
            fullness: target.fullness(now_ms),
            excess_failure_rate: target.suspicion.failed_share()
                + known.map_or(0.0, excess_failures),
            penalty: far + cold,
            deprioritized: known.is_some_and(|record| record.suspicion.is_deprioritized(now_ms)),
            suspected: known.is_some_and(|record| record.suspicion.is_suspected(now_ms)),
        }
    }
}

/// What speaks against a target before its cost, compared in this order: it was tried, it failed this box, it is full.
type PreferenceTier = (bool, bool, bool);

impl Relay {
    /// The target that a plain call goes to. Those that were tried, that failed this box, or that are full are only
    /// taken where there is no other.
    pub(crate) fn choose_call_target(
        &self,
        query: &TargetQuery,
        attempted: &[TargetSlot],
    ) -> Option<TargetSlot> {
        let book = self.targets.borrow();
        if self.file().has(Mechanism::CallBalance) {
            let mut balance = self.balance.borrow_mut();
            let (sample, is_complete) = balance.sample(self, &book, query.service);
            let candidates = self.tiered_candidates(&balance, &book, sample, query, attempted);
            let best_tier = candidates.iter().map(|(tier, ..)| *tier).min();
            // Where all that were drawn were tried or failed this box, the book looks at all targets, below.
            if is_complete || best_tier.is_some_and(|(attempted, failed, _)| !attempted && !failed)
            {
                return best_in_tier(&candidates, best_tier?);
            }
        }
        let near = self.data_centre;
        book.choose(query.service, near, attempted, query.cold, self.now_ms())
    }

    /// Whether all targets that a call could go to are full, as far as this box knows. Those with a rate limit are not: a
    /// call waits for them in the order in which tokens are granted.
    pub(crate) fn all_targets_full(&self, query: &TargetQuery) -> bool {
        let book = self.targets.borrow();
        let mut balance = self.balance.borrow_mut();
        let (sample, _) = balance.sample(self, &book, query.service);
        let now_ms = self.now_ms();
        let is_out_of_tokens = |target: &Target| target.is_out_of_tokens(now_ms);
        if sample
            .iter()
            .any(|slot| book.get(*slot).is_some_and(is_out_of_tokens))
        {
            return false;
        }
        let tier = sample
            .into_iter()
            .filter_map(|slot| self.preference_tier(&balance, &book, slot, query, &[]));
        tier.min() == Some((false, false, true))
    }

    /// Whether all targets that a call could go to asked this box for pauses which last beyond a time.
    pub(crate) fn all_backing_off_past(&self, query: &TargetQuery, until_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let book = self.targets.borrow();
        let of_service = book.of_service(query.service);
        let mut taking = of_service.filter(|(_, target)| book.takes_work(target));
        let is_beyond = |target: &Target| {
            let left_ms = target.backoff.remaining_ms(now_ms);
            left_ms.is_some_and(|left_ms| now_ms + left_ms > until_ms)
        };
        taking.all(|(_, target)| is_beyond(target))
    }

    /// What speaks against a target; none where it takes no call.
    fn preference_tier(
        &self,
        balance: &CallBalancer,
        book: &TargetBook,
        slot: TargetSlot,
        query: &TargetQuery,
        attempted: &[TargetSlot],
    ) -> Option<PreferenceTier> {
        let target = book.get(slot)?;
        let now_ms = self.now_ms();
        let is_available = book.takes_work(target) && query.cold.allows(target, now_ms);
        let is_full = target.is_full(now_ms) || !balance.has_capacity(slot, target.open);
        let is_ejected = target.suspicion.is_ejected(now_ms);
        is_available.then_some((attempted.contains(&slot), is_ejected, is_full))
    }

    /// Those of the drawn targets that take work, with what speaks against each and what its cost is made of.
    fn tiered_candidates(
        &self,
        balance: &CallBalancer,
        book: &TargetBook,
        sample: Vec<TargetSlot>,
        query: &TargetQuery,
        attempted: &[TargetSlot],
    ) -> Vec<(PreferenceTier, TargetSlot, Candidate)> {
        let one = |slot: TargetSlot| {
            let tier = self.preference_tier(balance, book, slot, query, attempted)?;
            let candidate = balance.candidate(self, slot, book.get(slot)?, query);
            Some((tier, slot, candidate))
        };
        sample.into_iter().filter_map(one).collect()
    }
}

/// The target of least cost among those against which exactly `least` speaks.
fn best_in_tier(
    candidates: &[(PreferenceTier, TargetSlot, Candidate)],
    best_tier: PreferenceTier,
) -> Option<TargetSlot> {
    let in_tier: Vec<_> = candidates
        .iter()
        .filter(|(tier, ..)| *tier == best_tier)
        .collect();
    let candidates: Vec<Candidate> = in_tier.iter().map(|(.., candidate)| *candidate).collect();
    let at = choose_target(SelectionPolicy::LowestCost, &candidates, rand::random)?;
    let (_, slot, chosen) = in_tier[at];
    metrics::histogram!("shuntpier_call_expected_share").record(chosen.cost());
    Some(*slot)
}
