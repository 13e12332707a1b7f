//! The settings in force: all branches together, with what was inherited filled in.

use crate::branch::{Branch, Limits, ObjectiveSettings, TargetKind};
use policy::PoolSettings;
use prelude::{
    AccountId, DataCentreId, ModelId, OwnerId, PartnerId, PoolId, RegionId, ServiceId, TargetId,
};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

const DEFAULT_FIRST_TOKEN_DEADLINE_MS: u64 = 10_000;
const DEFAULT_CALL_DEADLINE_MS: u64 = 10_000;
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 32_768;
const DEFAULT_MAX_OPEN_STREAMS: u32 = 1024;

/// An account with its limits filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedAccount {
    /// Its key.
    pub id: AccountId,
    /// Its name in the tree.
    pub name: String,
    /// The owner it belongs to.
    pub owner: OwnerId,
    /// The owner's name.
    pub owner_name: String,
    /// The partner it belongs to.
    pub partner: PartnerId,
    /// Its weight among the owner's accounts.
    pub weight: f64,
    /// The share of a pool's memory that its requests may hold; none where it has no cap.
    pub cap_share: Option<f64>,
    /// The owner's weight among the partner's owners.
    pub owner_weight: f64,
    /// The partner's weight.
    pub partner_weight: f64,
    /// Longest wait for the first token.
    pub first_token_deadline_ms: u64,
    /// Longest time for a call of a plain service.
    pub call_deadline_ms: u64,
    /// Largest answer.
    pub max_output_tokens: u32,
    /// Open streams at one box.
    pub max_open_streams: u32,
    /// Whether its requests go first.
    pub urgent: bool,
    /// Its objectives.
    pub objectives: ObjectiveSettings,
}

/// Rank of accounts whose requests do not go first.
const RANK_USUAL: u8 = 5;

impl ResolvedAccount {
    /// The rank of its requests, 0 for the most urgent.
    pub fn rank(&self) -> u8 {
        match self.urgent {
            true => 0,
            false => RANK_USUAL,
        }
    }
}

/// A target, with its key.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedTarget {
    /// Its key.
    pub id: TargetId,
    /// Its name in the tree.
    pub name: String,
    /// Engine or worker.
    pub kind: TargetKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreId,
    /// The region of that data centre.
    pub region: RegionId,
    /// The models it serves.
    pub models: Vec<ModelId>,
    /// Its memory in tokens.
    pub kv_capacity_tokens: u64,
    /// Whether it refuses old fences itself.
    pub checks_fences: bool,
    /// Whether it is to take no new work.
    pub leave: bool,
    /// Revision of the branch that says so: the fence of orders that follow from it.
    pub revision: u64,
}

/// A model and how its pool is run.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedModel {
    /// Its key.
    pub id: ModelId,
    /// Its name.
    pub name: String,
    /// How its pool is run.
    pub pool: PoolSettings,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedService {
    /// Its key.
    pub id: ServiceId,
    /// Its name in URLs.
    pub name: String,
    /// Whether a call may be sent again.
    pub repeatable: bool,
    /// Its workers.
    pub targets: Vec<TargetId>,
    /// How long a key is remembered.
    pub key_retention_ms: u64,
}

/// The settings in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Resolved {
    /// The revision of each partner's branch.
    pub revisions: BTreeMap<String, u64>,
    /// All accounts.
    pub accounts: HashMap<AccountId, ResolvedAccount>,
    /// Accounts by the SHA-256 of their keys.
    pub keys: HashMap<[u8; 32], AccountId>,
    /// All models.
    pub models: HashMap<ModelId, ResolvedModel>,
    /// All targets.
    pub targets: HashMap<TargetId, ResolvedTarget>,
    /// All services.
    pub services: HashMap<ServiceId, ResolvedService>,
}

impl Resolved {
    /// Joins branches, each with its revision. Where two branches name the same model, target or
    /// service, the partner whose name sorts first wins, on every box alike.
    pub fn from_branches<'a>(branches: impl IntoIterator<Item = (&'a Branch, u64)>) -> Self {
        let mut sorted: Vec<(&Branch, u64)> = branches.into_iter().collect();
        sorted.sort_by(|a, b| a.0.partner.cmp(&b.0.partner));
        let mut resolved = Self::default();
        for (branch, revision) in sorted {
            resolved.revisions.insert(branch.partner.clone(), revision);
            resolved.add_accounts(branch);
            resolved.add_models(branch);
            resolved.add_targets(branch, revision);
            resolved.add_services(branch);
        }
        resolved
    }

    /// The account to which a bearer key belongs.
    pub fn account_of_key(&self, key: &str) -> Option<&ResolvedAccount> {
        let hash = key_sha256(key);
        self.keys.get(&hash).and_then(|id| self.accounts.get(id))
    }

    /// The engines of a pool, in the order of their keys.
    pub fn engines_of(&self, pool: PoolId) -> Vec<&ResolvedTarget> {
        let shards = self.shards_of(pool.model);
        let in_pool = |target: &&ResolvedTarget| {
            target.kind == TargetKind::Engine
                && target.region == pool.region
                && target.models.contains(&pool.model)
                && shard_of(target.id.0, shards) == pool.shard
        };
        let mut engines: Vec<&ResolvedTarget> = self.targets.values().filter(in_pool).collect();
        engines.sort_by_key(|target| target.id);
        engines
    }

    /// Parts into which a model's engines are divided.
    pub fn shards_of(&self, model: ModelId) -> u16 {
        self.models
            .get(&model)
            .map_or(1, |model| model.pool.shards.max(1))
    }

    /// The pool that takes a request, chosen by `draw`: by chance, or by what shall stay together.
    /// Parts that have no engine are passed over.
    pub fn pool_of(&self, model: ModelId, region: RegionId, draw: u64) -> PoolId {
        let shards = self.shards_of(model);
        let pool = |shard| PoolId {
            model,
            region,
            shard,
        };
        let first = shard_of(draw, shards);
        let in_turn = (0..shards).map(|more| pool((first + more) % shards));
        let mut in_use = in_turn.filter(|pool| shards == 1 || !self.engines_of(*pool).is_empty());
        in_use.next().unwrap_or(pool(first))
    }

    fn add_accounts(&mut self, branch: &Branch) {
        for (name, account) in &branch.accounts {
            let full_name = format!("{}/{}", branch.partner, name);
            let id = AccountId::from_name(&full_name);
            let limits = account
                .limits
                .inherit(&node_limits(branch, &account.parent));
            let owner_name = format!("{}/{}", branch.partner, account.parent);
            let owner_weight = branch
                .nodes
                .get(&account.parent)
                .map_or(1.0, |node| node.weight);
            for hash in account
                .key_sha256
                .iter()
                .filter_map(|text| parse_sha256(text))
            {
                self.keys.entry(hash).or_insert(id);
            }
            let resolved = ResolvedAccount {
                id,
                name: full_name,
                owner: OwnerId::from_name(&owner_name),
                owner_name,
                partner: PartnerId::from_name(&branch.partner),
                weight: account.weight,
                cap_share: account.cap_share,
                owner_weight,
                partner_weight: branch.weight,
                first_token_deadline_ms: limits
                    .first_token_deadline_ms
                    .unwrap_or(DEFAULT_FIRST_TOKEN_DEADLINE_MS),
                call_deadline_ms: limits.call_deadline_ms.unwrap_or(DEFAULT_CALL_DEADLINE_MS),
                max_output_tokens: limits
                    .max_output_tokens
                    .unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS),
                max_open_streams: limits.max_open_streams.unwrap_or(DEFAULT_MAX_OPEN_STREAMS),
                urgent: limits.urgent.unwrap_or(false),
                objectives: limits.objectives.unwrap_or_default(),
            };
            self.accounts.insert(id, resolved);
        }
    }

    fn add_models(&mut self, branch: &Branch) {
        for (name, pool) in &branch.models {
            let id = ModelId::from_name(name);
            let model = ResolvedModel {
                id,
                name: name.clone(),
                pool: pool.clone(),
            };
            self.models.entry(id).or_insert(model);
        }
    }

    fn add_targets(&mut self, branch: &Branch, revision: u64) {
        for (name, target) in &branch.targets {
            let id = TargetId::from_name(name);
            let models = target.models.iter().map(|model| ModelId::from_name(model));
            let resolved = ResolvedTarget {
                id,
                name: name.clone(),
                kind: target.kind,
                address: target.address,
                data_centre: DataCentreId::from_name(&target.data_centre),
                region: RegionId::from_name(&target.region),
                models: models.collect(),
                kv_capacity_tokens: target.kv_capacity_tokens,
                checks_fences: target.checks_fences,
                leave: target.leave,
                revision,
            };
            self.targets.entry(id).or_insert(resolved);
        }
    }

    fn add_services(&mut self, branch: &Branch) {
        for (name, service) in &branch.services {
            let id = ServiceId::from_name(name);
            let targets = service
                .targets
                .iter()
                .map(|target| TargetId::from_name(target));
            let resolved = ResolvedService {
                id,
                name: name.clone(),
                repeatable: service.repeatable,
                targets: targets.collect(),
                key_retention_ms: service.key_retention_ms,
            };
            self.services.entry(id).or_insert(resolved);
        }
    }
}

/// The part to which a key belongs.
fn shard_of(key: u64, shards: u16) -> u16 {
    // Keys are hashes already, but for small draws.
    (key.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as u16 % shards.max(1)
}

/// The limits of a node with everything it inherits. A circle ends after as many steps as there are
/// nodes.
fn node_limits(branch: &Branch, start: &str) -> Limits {
    let mut limits = Limits::default();
    let mut next = Some(start);
    for _ in 0..=branch.nodes.len() {
        let Some(node) = next.and_then(|name| branch.nodes.get(name)) else {
            break;
        };
        limits = limits.inherit(&node.limits);
        next = node.parent.as_deref();
    }
    limits
}

/// SHA-256 of a bearer key.
pub fn key_sha256(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    let mut hash = [0u8; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(text.as_bytes().chunks(2)) {
        let digits = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(hash)
}

#[cfg(test)]
#[path = "resolve_tests.rs"]
mod tests;
