//! Takes a change of the settings over while the box serves. What each request loads for itself needs nothing here.

use crate::state::{Relay, memory_bounds, retry_limit};
use reload::Snapshot;
use settings::FleetFile;
use std::rc::Rc;
use std::sync::Arc;

/// Takes changes over for as long as the box lives.
pub(crate) async fn run_settings(relay: Rc<Relay>) {
    let mut generations = relay.settings.subscribe();
    let mut before = relay.settings.load().clone();
    while generations.changed().await.is_ok() {
        let now = relay.settings.load().clone();
        relay.reconfigure(&before, &now);
        before = now;
    }
}

impl Relay {
    fn reconfigure(&self, before: &Arc<Snapshot<FleetFile>>, now: &Arc<Snapshot<FleetFile>>) {
        if before.peer_keys != now.peer_keys {
            // Links go on while their key is among the new ones.
            self.keys.set(&now.peer_keys);
        }
        if before.store.address != now.store.address {
            self.store.set_address(now.store.address);
            self.store_suspected.notify_waiters();
        }
        if before.limits != now.limits {
            self.memory.set_bounds(memory_bounds(&now.limits));
        }
        if before.limits.link_mbps != now.limits.link_mbps {
            let mut members = self.members.borrow_mut();
            members.set_link(now.limits.link_mbps as u32);
        }
        if before.promises != now.promises {
            let bound = retry_limit(&now.promises);
            let mut windows = self.retry_windows.borrow_mut();
            windows
                .values_mut()
                .for_each(|window| window.set_limit(bound));
        }
        if before.without != now.without || before.accounts != now.accounts {
            let mut dispatchers = self.dispatchers.borrow_mut();
            dispatchers
                .values_mut()
                .for_each(|one| one.reconfigure(now));
        }
    }
}
