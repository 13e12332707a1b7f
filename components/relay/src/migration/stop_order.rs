//! Orders that stop a generation at its source, repeated until it is known whether the generation was stopped.
//!
//! An order without an answer may have stopped the generation, or may stop it later. Only an order that could not be sent, or
//! that was refused because another call is under way or because nothing runs, did not. The same order may be given again:
//! the source then copies what is new and names the copy once more.

use crate::forwarding::control::ControlError;
use crate::migration::copy_calls::CopyCalls;
use crate::migration::job::{JobStep, MigrationJob, TransferSlot};
use crate::state::Relay;
use platform::CopyReply;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// What became of a generation that was ordered to stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StopOutcome {
    /// It was stopped, and resumes from this copy at the target.
    Stopped {
        /// The name of the copy.
        copy: Box<str>,
        /// Events that it had produced.
        events_made: u64,
    },
    /// It was stopped and could not be copied: it resumes at its source from what this names.
    KeptAtSource {
        /// The name of its state.
        copy: Box<str>,
    },
    /// It does not run, and an order without an answer may have stopped it.
    StoppedEarlier,
    /// It had ended before any order reached its source.
    Ended,
    /// It runs on: another call for it was under way.
    Busy,
    /// The reader of its stream is gone, or resumed it already.
    Abandoned,
}

impl StopOutcome {
    /// The metric label of the outcome.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Self::Stopped { .. } => "stopped",
            Self::KeptAtSource { .. } => "kept_at_source",
            Self::StoppedEarlier => "stopped_earlier",
            Self::Ended => "ended",
            Self::Busy => "busy",
            Self::Abandoned => "abandoned",
        }
    }
}

/// What the reply to one order shows; none where it leaves open whether the generation was stopped.
pub(super) fn outcome_of_reply(
    reply: Result<CopyReply, ControlError>,
    may_be_stopped: bool,
) -> Option<StopOutcome> {
    match reply {
        Ok(CopyReply::Done { copy, events_made }) => {
            Some(StopOutcome::Stopped { copy, events_made })
        }
        Ok(CopyReply::NoRoom { kept: Some(copy) }) => Some(StopOutcome::KeptAtSource { copy }),
        Ok(CopyReply::NotRunning) if may_be_stopped => Some(StopOutcome::StoppedEarlier),
        Ok(CopyReply::NotRunning) => Some(StopOutcome::Ended),
        Ok(CopyReply::UnderWay) if !may_be_stopped => Some(StopOutcome::Busy),
        _ => None,
    }
}

/// Orders to stop one generation.
pub(super) struct StopOrders<'a> {
    relay: &'a Rc<Relay>,
    job: &'a MigrationJob,
    steps: &'a mpsc::UnboundedSender<JobStep>,
    calls: CopyCalls<'a>,
}

impl<'a> StopOrders<'a> {
    /// Gives the first order.
    pub(super) fn start(
        relay: &'a Rc<Relay>,
        job: &'a MigrationJob,
        target: SocketAddr,
        steps: &'a mpsc::UnboundedSender<JobStep>,
    ) -> Self {
        let calls = CopyCalls::start(relay, job, target, true, steps);
        Self {
            relay,
            job,
            steps,
            calls,
        }
    }

    /// Whether an order, other than that of the last reply, may have stopped the generation or may stop it later.
    pub(super) fn has_open_order(&self) -> bool {
        self.calls.has_open_call() || self.job.has_open_order
    }

    /// Number of orders given.
    pub(super) fn count(&self) -> u32 {
        self.calls.count()
    }

    /// Waits until it is known what became of the generation. The transfer slot is released with the first reply, since a
    /// repeated order copies little.
    pub(super) async fn outcome(&mut self, transfer_slot: TransferSlot<'_>) -> StopOutcome {
        let mut transfer_slot = Some(transfer_slot);
        while let Some(reply) = self.calls.next_reply().await {
            let is_sent = reply != Err(ControlError::NotSent);
            let reply_text = format!("{reply:?}");
            if let Some(outcome) = outcome_of_reply(reply, self.has_open_order()) {
                return outcome;
            }
            transfer_slot.take();
            match is_sent {
                true => self.calls.record_unsettled(),
                false => self.calls.repeat_after_pause(),
            }
            slog::info!(self.relay.log, "outcome of an order to stop is not known"; "id" => &*self.job.id,
                "reply" => reply_text, "orders" => self.count(), "has_open_order" => self.has_open_order());
            if !is_sent {
                // The reader notices by itself that the migration is abandoned.
                let _ = self.steps.send(JobStep::SourceUnreachable);
            }
        }
        StopOutcome::Abandoned
    }
}

#[cfg(test)]
#[path = "stop_order_tests.rs"]
mod tests;
