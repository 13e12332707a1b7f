//! Whether a target that closed the channel of an answer without a length has ended itself: its system then closes its channels
//! as it does at the end of such an answer.

use crate::state::Relay;
use crate::watch::targets::TargetSlot;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::time::sleep;

/// Timeout for connecting to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Refused connections after which a target has ended. One that has too many channels may refuse some.
const REFUSALS_MAX: usize = 3;
/// Pause after a refused connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);

impl Relay {
    /// Whether a target still accepts connections, or at least refuses none.
    pub(super) async fn outlives_answer(&self, slot: TargetSlot) -> bool {
        let address = self.targets.borrow().get(slot).map(|t| t.entry.address);
        let Some(address) = address else {
            return true;
        };
        for _ in 0..REFUSALS_MAX {
            match self.connect_target(address, CONNECT_TIMEOUT).await {
                Ok(channel) => {
                    if self.takes_work(slot) {
                        let now_ms = self.now_ms();
                        self.channels.borrow_mut().put(slot, channel, None, now_ms);
                    }
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                    sleep(REFUSED_PAUSE).await;
                }
                Err(_) => return true,
            }
        }
        slog::info!(self.log, "target ended with an answer without a length"; "target" => self.name_of(slot));
        metrics::counter!("shuntpier_answers_ended_with_target").increment(1);
        false
    }
}
