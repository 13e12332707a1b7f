//! What a trial consists of, and the settings that follow.

use policy::PoolSettings;
use settings::{
    Account, Branch, LimitSettings, Limits, Node, ServiceSettings, TargetKind, TargetSettings,
    key_sha256,
};
use standins::EngineSettings;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Loopback, any free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A client account of a trial. Its bearer key is its name.
#[derive(Clone, Debug)]
pub struct TrialAccount {
    /// Its name, and its key.
    pub name: String,
    /// The owner it belongs to.
    pub owner: String,
    /// The owner's weight.
    pub owner_weight: f64,
    /// Its limits.
    pub limits: Limits,
}

impl TrialAccount {
    /// An account of an owner of weight 1, with the usual limits.
    pub fn new(name: &str, owner: &str) -> Self {
        Self {
            name: name.into(),
            owner: owner.into(),
            owner_weight: 1.0,
            limits: Limits::default(),
        }
    }
}

/// What a trial consists of.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// Entry boxes.
    pub boxes: u32,
    /// Engines.
    pub engines: Vec<EngineSettings>,
    /// Workers of the plain services.
    pub workers: usize,
    /// How long a call takes a worker.
    pub work: Duration,
    /// How the pool is run.
    pub pool: PoolSettings,
    /// Bounds of each box.
    pub limits: LimitSettings,
    /// Accounts.
    pub accounts: Vec<TrialAccount>,
    /// Lag of the box list.
    pub box_list_lag_ms: u64,
    /// How long keys are kept.
    pub key_retention_ms: u64,
    /// Name of the model.
    pub model: String,
    /// Where boxes write their logs.
    pub log: slog::Logger,
}

impl Default for TrialPlan {
    fn default() -> Self {
        Self {
            boxes: 2,
            engines: vec![EngineSettings::default(); 3],
            workers: 2,
            work: Duration::from_millis(5),
            pool: PoolSettings::default(),
            limits: LimitSettings {
                balancer_delay_ms: 200,
                ..LimitSettings::default()
            },
            accounts: vec![TrialAccount::new("visitor", "owner")],
            box_list_lag_ms: 500,
            key_retention_ms: 3_600_000,
            model: "assistant".into(),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        }
    }
}

/// The partner whose branch a trial writes.
pub(crate) const PARTNER: &str = "trial";
/// The data centre in which everything of a trial stands.
pub(crate) const DATA_CENTRE: &str = "trial-a";
/// The region of that data centre.
pub(crate) const REGION: &str = "region-1";

impl TrialPlan {
    /// The partner's branch for engines and workers at these addresses.
    pub fn branch(&self, engines: &[SocketAddr], workers: &[SocketAddr]) -> Branch {
        let mut branch = Branch {
            partner: PARTNER.into(),
            weight: 1.0,
            ..Branch::default()
        };
        for account in &self.accounts {
            self.add_account(&mut branch, account);
        }
        branch.models.insert(self.model.clone(), self.pool.clone());
        for (at, address) in engines.iter().enumerate() {
            let capacity = self.engines[at].kv_capacity_tokens;
            let mut target = self.target(TargetKind::Engine, *address);
            target.kv_capacity_tokens = capacity;
            target.checks_fences = self.engines[at].checks_fences;
            branch.targets.insert(engine_name(at), target);
        }
        for (at, address) in workers.iter().enumerate() {
            let target = self.target(TargetKind::Worker, *address);
            branch.targets.insert(worker_name(at), target);
        }
        let names: Vec<String> = (0..workers.len()).map(worker_name).collect();
        for (name, repeatable) in [("redemption", false), ("balance", true)] {
            let service = ServiceSettings {
                repeatable,
                targets: names.clone(),
                key_retention_ms: self.key_retention_ms,
            };
            branch.services.insert(name.into(), service);
        }
        branch
    }

    fn add_account(&self, branch: &mut Branch, account: &TrialAccount) {
        let owner = Node {
            weight: account.owner_weight,
            ..Node::default()
        };
        branch.nodes.insert(account.owner.clone(), owner);
        let hash = key_sha256(&account.name);
        let hash = hash.iter().map(|byte| format!("{byte:02x}")).collect();
        let settings = Account {
            parent: account.owner.clone(),
            weight: 1.0,
            cap_share: None,
            key_sha256: vec![hash],
            limits: account.limits.clone(),
        };
        branch.accounts.insert(account.name.clone(), settings);
    }

    fn target(&self, kind: TargetKind, address: SocketAddr) -> TargetSettings {
        TargetSettings {
            kind,
            address,
            data_centre: DATA_CENTRE.into(),
            region: REGION.into(),
            models: match kind {
                TargetKind::Engine => vec![self.model.clone()],
                TargetKind::Worker => Vec::new(),
            },
            kv_capacity_tokens: 0,
            checks_fences: false,
            leave: false,
        }
    }
}

/// Name of an engine in the settings.
pub(crate) fn engine_name(at: usize) -> String {
    format!("engine-{}", at + 1)
}

/// Name of a worker in the settings.
pub(crate) fn worker_name(at: usize) -> String {
    format!("worker-{}", at + 1)
}
