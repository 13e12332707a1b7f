//! Turns on the link of an engine that generations leave. Copies on one link go one after another: were all
//! begun at once, the last part of the first, for which it stands still, would wait for the others.

use prelude::{PermitId, TargetId};
use std::collections::HashMap;

/// A turn ends by itself after this time: whoever had it is gone.
const TURN_MS: u64 = 1_500;
/// Whoever does not ask again within this time waits no more.
const ASKED_MS: u64 = 500;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    held_tokens: u32,
    asked_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Link {
    holder: Option<(PermitId, TargetId, u64)>,
    waiting: HashMap<PermitId, Waiting>,
}

/// The links that generations leave.
#[derive(Clone, Debug, Default)]
pub struct Turns(HashMap<TargetId, Link>);

impl Turns {
    /// Asks for a turn on the link of `from`. The smallest goes first: so the most leave in time. True where
    /// the turn is its own.
    pub fn ask(&mut self, from: TargetId, permit: PermitId, held_tokens: u32, now_ms: u64) -> bool {
        let link = self.0.entry(from).or_default();
        link.waiting
            .retain(|_, waiting| waiting.asked_ms + ASKED_MS > now_ms);
        if let Some((holder, _, until_ms)) = link.holder {
            if holder == permit {
                return true;
            }
            if now_ms < until_ms {
                let asked_ms = now_ms;
                let waiting = Waiting {
                    held_tokens,
                    asked_ms,
                };
                link.waiting.insert(permit, waiting);
                return false;
            }
            link.holder = None;
        }
        let smaller = link
            .waiting
            .iter()
            .any(|(other, waiting)| *other != permit && waiting.held_tokens < held_tokens);
        if smaller {
            let asked_ms = now_ms;
            let waiting = Waiting {
                held_tokens,
                asked_ms,
            };
            link.waiting.insert(permit, waiting);
            return false;
        }
        link.waiting.remove(&permit);
        true
    }

    /// Notes whose turn it is, and where its copy goes.
    pub fn begin(&mut self, from: TargetId, permit: PermitId, to: TargetId, now_ms: u64) {
        let link = self.0.entry(from).or_default();
        link.holder = Some((permit, to, now_ms + TURN_MS));
    }

    /// Notes that a turn is over.
    pub fn end(&mut self, from: TargetId, permit: PermitId) {
        let Some(link) = self.0.get_mut(&from) else {
            return;
        };
        link.waiting.remove(&permit);
        if link.holder.is_some_and(|(holder, _, _)| holder == permit) {
            link.holder = None;
        }
        if link.holder.is_none() && link.waiting.is_empty() {
            self.0.remove(&from);
        }
    }

    /// The engines to which copies are on their way.
    pub fn arriving(&self, now_ms: u64) -> Vec<TargetId> {
        let holders = self.0.values().filter_map(|link| link.holder);
        holders
            .filter(|(_, _, until_ms)| now_ms < *until_ms)
            .map(|(_, to, _)| to)
            .collect()
    }
}

#[cfg(test)]
#[path = "links_tests.rs"]
mod tests;
