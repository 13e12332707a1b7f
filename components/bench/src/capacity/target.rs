//! The size that decides the design: the letter's figures, and what follows from them for one node.

/// Entry boxes.
pub const NODES: f64 = 320.0;
/// Requests a second.
pub const REQUESTS_PER_S: f64 = 7_800.0;
/// Tokens a second.
pub const TOKENS_PER_S: f64 = 2_700_000.0;
/// Client accounts.
pub const ACCOUNTS: f64 = 11_000.0;
/// Changes of the settings a day.
pub const CHANGES_PER_DAY: f64 = 1_900.0;
/// Models, and regions.
pub const POOLS: f64 = 12.0 * 3.0;
/// Shards of each pool, so that dispatching spreads over the nodes.
pub const SHARDS: f64 = 4.0;
/// Tokens that one stream makes a second: one every 40 ms, well inside the bound of 65 ms.
pub const STREAM_TOKENS_PER_S: f64 = 25.0;
/// Share of the requests that may not be repeated, assumed.
pub const ONCE_SHARE: f64 = 0.1;
/// Seconds of a day.
pub const DAY_S: f64 = 86_400.0;

/// Requests a second at one node.
pub const NODE_REQUESTS_PER_S: f64 = REQUESTS_PER_S / NODES;
/// Tokens a second at one node.
pub const NODE_TOKENS_PER_S: f64 = TOKENS_PER_S / NODES;
/// Streams open at one node.
pub const NODE_STREAMS: f64 = NODE_TOKENS_PER_S / STREAM_TOKENS_PER_S;
/// Dispatchers.
pub const DISPATCHERS: f64 = POOLS * SHARDS;
/// Requests a second at one dispatcher.
pub const DISPATCHER_REQUESTS_PER_S: f64 = REQUESTS_PER_S / DISPATCHERS;
/// Streams in one dispatcher's ledger.
pub const DISPATCHER_STREAMS: f64 = TOKENS_PER_S / STREAM_TOKENS_PER_S / DISPATCHERS;

/// Budget of control: a share of a core, in percent.
pub const BUDGET_CORE_PERCENT: f64 = 1.2;
/// Budget of control: memory.
pub const BUDGET_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
/// Budget of control: bytes a second.
pub const BUDGET_BYTES_PER_S: f64 = 8.0 * 1024.0;
/// Share of the service's writes that claims may use.
pub const BUDGET_CLAIM_WRITES_PER_S: f64 = 60.0;
