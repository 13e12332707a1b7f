//! What a box that has just started waits for before it acts: the word of its seeds, then the operators'
//! declarations and the list of targets.

use crate::state::Relay;
use crate::watch::election::View;
use settings::Mechanism;
use std::time::Duration;
use tokio::time::timeout;

/// How long a box that starts waits for the word of its seeds, before it asks the store as well. A seed that
/// lives answers in some 25 ms from another data centre; one whose machine is off never does, and where all
/// boxes died at once nobody else knows anything.
const SEEDS_LIMIT: Duration = Duration::from_millis(40);
/// How long a request waits for a box that has just started to learn the declarations and targets. A store
/// at a sixtieth of its speed answers in a quarter of a second, and is asked twice for targets.
const INFORMED_LIMIT: Duration = Duration::from_millis(1_000);

impl Relay {
    /// Waits until the boxes that the settings name were asked, for a short time at the most.
    pub(crate) async fn wait_for_seeds(&self) {
        let mut asked = self.seeds_asked.subscribe();
        // A seed that is silent is not waited for: the store knows what it would say.
        let _ = timeout(SEEDS_LIMIT, asked.wait_for(|asked| *asked)).await;
    }

    /// Whether this box knows what operators declared and where targets are.
    pub(crate) fn is_synced(&self) -> bool {
        self.knows(View::Declarations) && self.knows(View::Targets)
    }

    /// Whether this box knows a view, perhaps as it was some seconds ago.
    pub(crate) fn knows(&self, view: View) -> bool {
        match view {
            View::Declarations => self.declared.borrow().is_some(),
            View::Targets => self.targets.borrow().is_known(),
        }
    }

    /// Gives a box that has just started the moment that it needs to learn what it decides by: a refusal would
    /// cost the caller more.
    pub(crate) async fn wait_until_synced(&self) {
        if !self.file().has(Mechanism::HeldStarts) {
            return;
        }
        let synced = async {
            self.wait_until_known(View::Declarations).await;
            self.wait_until_known(View::Targets).await;
        };
        // After the limit the request is answered by what is known, which may be nothing.
        let _ = timeout(INFORMED_LIMIT, synced).await;
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
