//! Balances plain calls among targets by what this box observed of each and what peers reported. Each call chooses from a
//! small random sample, so that the cost of a choice does not grow with the number of targets.

use crate::state::Relay;
use crate::watch::targets::{
    COLD_PENALTY_SHARE, ColdRate, REMOTE_PENALTY_SHARE, Target, TargetRegistry, TargetSlot,
};
use policy::{Candidate, HintBudget, RouteStats, SelectionPolicy, TargetStats, choose_target};
use rand::seq::IndexedRandom;
use routing::Route;
use settings::Mechanism;
use slotmap::SecondaryMap;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Sample size for targets of this data centre. Enough remain to choose from if some of them fail.
const NEAR_SAMPLE_SIZE: usize = 12;
/// Sample size for targets of other data centres, which are used when the local ones are full.
const FAR_SAMPLE_SIZE: usize = 6;
/// Maximum number of routes with statistics. Beyond it all are cleared; they are learned again within a few answers.
const MAX_ROUTES: usize = 512;

/// The properties of a plain request by which its target is chosen.
pub(crate) struct TargetQuery<'a> {
    pub service: &'a str,
    pub route: u64,
    pub cold: ColdRate,
}

/// The targets of a service, cached until the set of targets changes.
#[derive(Debug, Default)]
struct ServiceTargets {
    /// The count of target changes at which this was read.
    version: u64,
    near: Vec<TargetSlot>,
    far: Vec<TargetSlot>,
}

/// Statistics of plain targets and routes on this box. All of it is soft state.
#[derive(Debug, Default)]
pub(crate) struct CallBalancer {
    targets: SecondaryMap<TargetSlot, TargetStats>,
    routes: HashMap<u64, RouteStats>,
    services: HashMap<Box<str>, ServiceTargets>,
    pub(crate) hints: HintBudget,
}

/// The key of a route's statistics. It stays the same when declarations change.
pub(crate) fn route_key(route: &Route) -> u64 {
    xxh3_64(route.name.as_bytes())
}

impl CallBalancer {
    /// The statistics of a target, created if missing.
    pub(crate) fn stats_mut(&mut self, slot: TargetSlot) -> Option<&mut TargetStats> {
        Some(self.targets.entry(slot)?.or_default())
    }

    /// The statistics of a target, if there are any.
    pub(crate) fn stats(&self, slot: TargetSlot) -> Option<&TargetStats> {
        self.targets.get(slot)
    }

    /// The statistics of a route, created if missing.
    pub(crate) fn route_stats_mut(&mut self, key: u64) -> &mut RouteStats {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&key) {
            self.routes.clear();
        }
        self.routes.entry(key).or_default()
    }

    /// Whether this box's concurrency limit at a target allows one more call.
    fn has_capacity(&self, slot: TargetSlot, open: u32) -> bool {
        self.stats(slot)
            .is_none_or(|stats| stats.limit.has_room(open))
    }

    /// A random sample of a service's targets, and whether it contains all of them.
    fn sample(
        &mut self,
        relay: &Relay,
        targets: &TargetRegistry,
        service: &str,
    ) -> (Vec<TargetSlot>, bool) {
        let version = *relay.target_changes.borrow();
        let cached = self.services.get(service);
        if cached.is_none_or(|cached| cached.version != version) {
            let (near, far) = targets
                .of_service(service)
                .partition::<Vec<_>, _>(|(_, target)| target.data_centre == relay.data_centre);
            let slots = |targets: Vec<(TargetSlot, &Target)>| {
                targets.into_iter().map(|(slot, _)| slot).collect()
            };
            let refreshed = ServiceTargets {
                version,
                near: slots(near),
                far: slots(far),
            };
            self.services.insert(service.into(), refreshed);
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
        let excess_failures = |stats: &TargetStats| {
            let baseline = self.routes.get(&query.route).copied().unwrap_or_default();
            stats.route_failures.excess(query.route, baseline.failures)
        };
        let cached = self.stats(slot);
        let far =
            f64::from(u8::from(target.data_centre != relay.data_centre)) * REMOTE_PENALTY_SHARE;
        let cold = f64::from(u8::from(now_ms < target.cold_until_ms)) * COLD_PENALTY_SHARE;
        Candidate {
            latency_ratio: cached.map_or(1.0, |stats| stats.latency_ratio(now_ms)),
            fullness: target.fullness(now_ms),
            excess_failure_rate: target.outlier.failed_share()
                + cached.map_or(0.0, excess_failures),
            penalty: far + cold,
            deprioritized: cached.is_some_and(|stats| stats.suspicion.is_deprioritized(now_ms)),
            suspected: cached.is_some_and(|stats| stats.suspicion.is_suspected(now_ms)),
        }
    }
}

/// Preference that precedes cost; lower is better. In order of weight: the target was attempted for this request, is
/// ejected by this box, is full.
type PreferenceTier = (bool, bool, bool);

impl Relay {
    /// Chooses the target of a plain call. Targets that were attempted, are ejected or are full are chosen only if there is
    /// no other.
    pub(crate) fn choose_call_target(
        &self,
        query: &TargetQuery,
        attempted: &[TargetSlot],
    ) -> Option<TargetSlot> {
        let targets = self.targets.borrow();
        if self.settings().has(Mechanism::CallBalance) {
            let mut balance = self.balance.borrow_mut();
            let (sample, is_complete) = balance.sample(self, &targets, query.service);
            let candidates = self.tiered_candidates(&balance, &targets, sample, query, attempted);
            let best_tier = candidates.iter().map(|(tier, ..)| *tier).min();
            // If all sampled targets were attempted or are ejected, the choice below considers all targets.
            if is_complete || best_tier.is_some_and(|(attempted, failed, _)| !attempted && !failed)
            {
                return best_in_tier(&candidates, best_tier?);
            }
        }
        let near = self.data_centre;
        targets.choose(query.service, near, attempted, query.cold, self.now_ms())
    }

    /// Whether all sampled targets for a call are full, as far as this box knows. A target that is out of rate tokens does
    /// not count as full: calls wait for it in the order in which tokens are granted.
    pub(crate) fn all_targets_full(&self, query: &TargetQuery) -> bool {
        let targets = self.targets.borrow();
        let mut balance = self.balance.borrow_mut();
        let (sample, _) = balance.sample(self, &targets, query.service);
        let now_ms = self.now_ms();
        let is_out_of_tokens = |target: &Target| target.is_out_of_tokens(now_ms);
        if sample
            .iter()
            .any(|slot| targets.get(*slot).is_some_and(is_out_of_tokens))
        {
            return false;
        }
        let tier = sample
            .into_iter()
            .filter_map(|slot| self.preference_tier(&balance, &targets, slot, query, &[]));
        tier.min() == Some((false, false, true))
    }

    /// Whether all targets for a call asked this box to back off until after `until_ms`.
    pub(crate) fn all_backing_off_past(&self, query: &TargetQuery, until_ms: u64) -> bool {
        let now_ms = self.now_ms();
        let targets = self.targets.borrow();
        let of_service = targets.of_service(query.service);
        let mut available = of_service.filter(|(_, target)| targets.takes_work(target));
        let backs_off_past = |target: &Target| {
            let left_ms = target.backoff.remaining_ms(now_ms);
            left_ms.is_some_and(|left_ms| now_ms + left_ms > until_ms)
        };
        available.all(|(_, target)| backs_off_past(target))
    }

    /// The preference tier of a target; none if it accepts no call.
    fn preference_tier(
        &self,
        balance: &CallBalancer,
        targets: &TargetRegistry,
        slot: TargetSlot,
        query: &TargetQuery,
        attempted: &[TargetSlot],
    ) -> Option<PreferenceTier> {
        let target = targets.get(slot)?;
        let now_ms = self.now_ms();
        let is_available = targets.takes_work(target) && query.cold.allows(target, now_ms);
        let is_full = target.is_full(now_ms) || !balance.has_capacity(slot, target.open);
        let is_ejected = target.outlier.is_ejected(now_ms);
        is_available.then_some((attempted.contains(&slot), is_ejected, is_full))
    }

    /// The sampled targets that accept work, with their preference tiers and the inputs of their costs.
    fn tiered_candidates(
        &self,
        balance: &CallBalancer,
        targets: &TargetRegistry,
        sample: Vec<TargetSlot>,
        query: &TargetQuery,
        attempted: &[TargetSlot],
    ) -> Vec<(PreferenceTier, TargetSlot, Candidate)> {
        let to_candidate = |slot: TargetSlot| {
            let tier = self.preference_tier(balance, targets, slot, query, attempted)?;
            let candidate = balance.candidate(self, slot, targets.get(slot)?, query);
            Some((tier, slot, candidate))
        };
        sample.into_iter().filter_map(to_candidate).collect()
    }
}

/// The target of lowest cost within the given tier.
fn best_in_tier(
    candidates: &[(PreferenceTier, TargetSlot, Candidate)],
    best_tier: PreferenceTier,
) -> Option<TargetSlot> {
    let in_tier: Vec<_> = candidates
        .iter()
        .filter(|(tier, ..)| *tier == best_tier)
        .collect();
    let candidates: Vec<Candidate> = in_tier.iter().map(|(.., candidate)| *candidate).collect();
    let index = choose_target(SelectionPolicy::LowestCost, &candidates, rand::random)?;
    let (_, slot, chosen) = in_tier[index];
    metrics::histogram!("shuntpier_call_expected_share").record(chosen.cost());
    Some(*slot)
}
