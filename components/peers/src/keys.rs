//! The keys by which boxes know each other. They change while boxes run: the first signs, all verify, and a link ends
//! whose key is no longer among them.

use std::sync::Arc;
use tokio::sync::watch;

/// The keys as they are now. Clones share them.
#[derive(Clone, Debug)]
pub struct KeyRing(watch::Sender<Arc<[String]>>);

impl KeyRing {
    /// A ring of these keys.
    pub fn new(keys: &[String]) -> Self {
        Self(watch::Sender::new(keys.into()))
    }

    /// Replaces the keys. Links that were made with one that is gone end.
    pub fn set(&self, keys: &[String]) {
        self.0.send_replace(keys.into());
    }

    /// The keys now.
    pub fn now(&self) -> Arc<[String]> {
        self.0.borrow().clone()
    }

    /// Whether a key is among them now.
    pub fn has(&self, key: &str) -> bool {
        self.0.borrow().iter().any(|held| held == key)
    }

    /// Waits until a key is no longer among them.
    pub(crate) async fn lost(&self, key: &str) {
        let mut keys = self.0.subscribe();
        let gone = |keys: &Arc<[String]>| !keys.iter().any(|held| held == key);
        if keys.wait_for(gone).await.is_err() {
            // The ring lives as long as its links.
            std::future::pending::<()>().await;
        }
    }
}
