//! Applies changed settings while the box serves. Settings that each request loads itself need no action here.

use crate::forwarding::retries::retry_limit;
use crate::state::{Relay, memory_bounds};
use reload::Snapshot;
use settings::FleetFile;
use std::rc::Rc;
use std::sync::Arc;

/// Applies each change of the settings until the process ends.
pub(crate) async fn run_settings(relay: Rc<Relay>) {
    let mut changes = relay.settings.subscribe();
    let mut previous = relay.settings.load().clone();
    while changes.changed().await.is_ok() {
        let current = relay.settings.load().clone();
        relay.reconfigure(&previous, &current);
        previous = current;
    }
}

impl Relay {
    fn reconfigure(&self, previous: &Arc<Snapshot<FleetFile>>, current: &Arc<Snapshot<FleetFile>>) {
        if previous.peer_keys != current.peer_keys {
            // Links stay open if their key is among the new ones.
            self.keys.set(&current.peer_keys);
        }
        if previous.store.address != current.store.address {
            self.store.set_address(current.store.address);
            self.store_suspected.notify_waiters();
        }
        if previous.limits != current.limits {
            self.memory.set_limits(memory_bounds(&current.limits));
        }
        if previous.limits.link_mbps != current.limits.link_mbps {
            let mut members = self.members.borrow_mut();
            members.set_link(current.limits.link_mbps as u32);
        }
        if previous.promises != current.promises {
            let limit = retry_limit(&current.promises);
            let mut budgets = self.retry_budgets.borrow_mut();
            budgets.set_limit(limit, self.now_ms());
        }
        if previous.without != current.without || previous.accounts != current.accounts {
            let mut dispatchers = self.dispatchers.borrow_mut();
            dispatchers
                .values_mut()
                .for_each(|one| one.reconfigure(current));
        }
    }
}
