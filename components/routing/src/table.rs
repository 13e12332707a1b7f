//! One version of the operators' declarations, indexed for look-ups.

use std::collections::HashMap;
use std::fmt;

/// Position of a route in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(pub u32);

/// Position of a service in its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceKey(pub u32);

/// How often a request of a route may run, and what its answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run again.
    Repeatable,
    /// It runs at most once.
    Unrepeatable,
    /// It runs at most once, and its answer is a series of events.
    Generation,
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceShare {
    /// Where they go.
    pub service: ServiceKey,
    /// Their part among all weights of the route.
    pub weight: u32,
}

/// Which requests go where, and under which bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// The host that callers ask.
    pub host: Box<str>,
    /// The paths that it takes; begins and ends with a slash.
    pub path_prefix: Box<str>,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// The longest time that a request may be held.
    pub hold_limit_ms: u64,
    /// The time within which an answer is worth all.
    pub answer_goal_ms: u64,
    /// The longest pause between events of an answer in time.
    pub pause_goal_ms: Option<u64>,
    /// 0 for the most urgent.
    pub rank: u8,
    /// Where its requests go.
    pub shares: Vec<ServiceShare>,
    /// Targets that one request may run on.
    pub runs_most: u32,
    /// Whether callers need no key.
    pub open_to_all: bool,
}

/// What the engines of a service are like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineTraits {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and answers.
    pub memory_tokens: u32,
    /// Memory of one token, as it is copied.
    pub token_bytes: u32,
    /// Speed of an engine's link.
    pub link_mbps: f64,
    /// Whether a running request can be moved.
    pub moves: bool,
    /// Whether a running request can have a second copy.
    pub backups: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How long a copy is kept that nobody uses.
    pub copy_kept_ms: u64,
}

/// A service and what its targets are like.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Box<str>,
    /// Where its targets say whether they are well.
    pub health_path: Box<str>,
    /// Channels that one target takes from all callers together.
    pub channels_most: u32,
    /// What its engines are like, where it has engines.
    pub engine: Option<EngineTraits>,
    /// Requests a second that a target bears while it is slow from its start; none where that is not said.
    pub cold_rate_per_s: Option<f64>,
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head.
    pub head_bytes: usize,
    /// Longest body.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_time_ms: u64,
    /// Longest rest of an open channel.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// What holds before operators have said anything.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_time_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// An account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountRule {
    /// Its name.
    pub name: Box<str>,
    /// Goes before the rank of the route, where it is set.
    pub rank: Option<u8>,
    /// The keys that its callers show.
    pub keys: Vec<Box<str>>,
}

/// Why a table cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableError {
    /// A route names a service that is not declared.
    NoSuchService {
        /// The route.
        route: Box<str>,
    },
    /// A route goes nowhere.
    NoShares {
        /// The route.
        route: Box<str>,
    },
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuchService { route } => {
                write!(f, "route `{route}` names a service that is not declared")
            }
            Self::NoShares { route } => write!(f, "route `{route}` names no service"),
        }
    }
}

impl std::error::Error for TableError {}

/// What a table says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes this way, in the name of this account.
    Admitted {
        /// Its route.
        route: RouteKey,
        /// Position of its account; none on a route that is open to all.
        account: Option<u32>,
    },
    /// No route takes it.
    NoRoute,
    /// Its key belongs to nobody.
    NoAccount,
}

/// One version of the operators' declarations.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    /// Rises with each change.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its accounts.
    pub accounts: Vec<AccountRule>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Whether callers must show keys at all.
    pub keyed: bool,
    by_host: HashMap<Box<str>, HashMap<Box<str>, RouteKey>>,
    by_key: HashMap<Box<str>, u32>,
}

impl RoutingTable {
    /// Indexes one version.
    ///
    /// # Errors
    /// [`TableError`].
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Option<Vec<AccountRule>>,
        limits: CallerLimits,
    ) -> Result<Self, TableError> {
        for route in &routes {
            let name = route.name.clone();
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(TableError::NoShares { route: name });
            }
            let known = |share: &ServiceShare| (share.service.0 as usize) < services.len();
            if !route.shares.iter().all(known) {
                return Err(TableError::NoSuchService { route: name });
            }
        }
        let mut by_host: HashMap<Box<str>, HashMap<Box<str>, RouteKey>> = HashMap::new();
        for (at, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            let prefix = route.path_prefix.clone();
            by_host
                .entry(host)
                .or_default()
                .insert(prefix, RouteKey(at as u32));
        }
        let keyed = accounts.is_some();
        let accounts = accounts.unwrap_or_default();
        let mut by_key = HashMap::new();
        for (at, account) in accounts.iter().enumerate() {
            for key in &account.keys {
                by_key.insert(key.clone(), at as u32);
            }
        }
        Ok(Self {
            version,
            routes,
            services,
            accounts,
            limits,
            keyed,
            by_host,
            by_key,
        })
    }

    /// The route of a key of this table.
    pub fn route(&self, key: RouteKey) -> &Route {
        &self.routes[key.0 as usize]
    }

    /// The service of a key of this table.
    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.0 as usize]
    }

    /// The service of a name.
    pub fn service_named(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }

    /// The route with the longest prefix that begins `path`, among those of `host`. A port behind the
    /// host and a query behind the path do not count.
    pub fn find(&self, host: &str, path: &str) -> Option<RouteKey> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            match port.bytes().all(|byte| byte.is_ascii_digit()) {
                true => name,
                false => host,
            }
        });
        let routes = self.by_host.get(&*host.to_ascii_lowercase())?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(*route);
            }
            rest = &path[..slash];
        }
        None
    }

    /// What becomes of a request for `path` at `host` under `key`.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Verdict {
        let Some(route) = self.find(host, path) else {
            return Verdict::NoRoute;
        };
        let account = key.and_then(|key| self.by_key.get(key).copied());
        let open = !self.keyed || self.route(route).open_to_all;
        if account.is_none() && !open {
            return Verdict::NoAccount;
        }
        Verdict::Admitted { route, account }
    }

    /// The share of a route that a request falls to. `draw` is even over all its values.
    pub fn share(&self, route: RouteKey, draw: u64) -> ServiceKey {
        let shares = &self.route(route).shares;
        let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut left = draw % total.max(1);
        for share in shares {
            if left < u64::from(share.weight) {
                return share.service;
            }
            left -= u64::from(share.weight);
        }
        shares[0].service
    }
}
