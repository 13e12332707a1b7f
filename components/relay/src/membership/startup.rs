//! What a starting box waits for before it acts: the responses of its seeds, then the operators' declarations and the target
//! list.

use crate::state::Relay;
use crate::watch::election::View;
use settings::Mechanism;
use std::time::Duration;
use tokio::time::timeout;

/// How long a starting box waits for its seeds before it queries the store as well. A live seed in another data centre answers
/// in about 25 ms; one whose machine is off never does, and after a crash of all boxes no seed knows anything.
const SEEDS_TIMEOUT: Duration = Duration::from_millis(40);
/// How long a request waits for a starting box to learn the declarations and targets. A store at a sixtieth of its speed
/// answers in 250 ms, and learning the targets takes two calls.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Relay {
    /// Waits until the seeds of the settings were queried, for at most `SEEDS_TIMEOUT`.
    pub(crate) async fn wait_for_seeds(&self) {
        let mut asked = self.seeds_queried.subscribe();
        // A silent seed is not waited for: the store has the same information.
        let _ = timeout(SEEDS_TIMEOUT, asked.wait_for(|asked| *asked)).await;
    }

    /// Whether this box knows the declarations and the target list.
    pub(crate) fn is_synced(&self) -> bool {
        self.knows(View::Declarations) && self.knows(View::Targets)
    }

    /// Whether this box knows a view, which may be some seconds old.
    pub(crate) fn knows(&self, view: View) -> bool {
        match view {
            View::Declarations => self.declared.borrow().is_some(),
            View::Targets => self.targets.borrow().is_known(),
        }
    }

    /// Delays a request at a starting box until the box knows the declarations and targets, for at most `SYNC_TIMEOUT`: a refusal
    /// would cost the caller more.
    pub(crate) async fn wait_until_synced(&self) {
        if !self.settings().has(Mechanism::HeldStarts) {
            return;
        }
        let synced = async {
            self.wait_until_known(View::Declarations).await;
            self.wait_until_known(View::Targets).await;
        };
        // After the timeout the request is handled with whatever is known, which may be nothing.
        let _ = timeout(SYNC_TIMEOUT, synced).await;
    }

    /// Waits until this box knows a view.
    pub(crate) async fn wait_until_known(&self, view: View) {
        let mut changes = self.target_changes.subscribe();
        while !self.knows(view) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }
}
