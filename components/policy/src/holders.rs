//! Boxes that hold permits: what a dispatcher that is new to its role is told of theirs, and what becomes of the
//! permits of those that fall silent.

use crate::admission::grant_rate::GrantRate;
use crate::demand::{Adopted, RANKS};
use crate::placement::ledger::Stream;
use crate::placement::length::End;
use crate::pool::Pool;
use prelude::{BoxId, PermitId};
use std::collections::HashSet;

/// A box that says nothing for this long holds no permits any more.
pub(crate) const SILENT_BOX_MS: u64 = 10_000;

/// A permit may be so long on its way to the box that asked: the longest answer to a question, and some. Dropped before, its
/// room would be given away twice, and the engine preempts.
const ON_ITS_WAY_MS: u64 = 400;

impl Pool {
    /// Takes over a stream that another dispatcher, or none, had placed.
    pub fn adopt(&mut self, adopted: Adopted, now_ms: u64) {
        let permit = adopted.demand.permit;
        self.heard_ms.insert(permit.entry, now_ms);
        self.known.record_contact(permit.entry, now_ms);
        if self.by_permit.contains_key(&permit) {
            self.progress(permit, adopted.generated_tokens, now_ms);
            return;
        }
        if let Some(waiting) = self.queue.remove(permit) {
            self.tree.remove_waiting(&waiting.share);
        }
        self.tree.add_running(&adopted.demand.share);
        let generated_tokens = adopted.generated_tokens;
        self.place(adopted.demand, adopted.target, generated_tokens, now_ms);
    }

    /// Forgets how fast requests were granted: they waited at another dispatcher.
    pub fn forget_grant_pace(&mut self) {
        self.pace = GrantRate::default();
        self.paces = [GrantRate::default(); RANKS];
    }

    /// Drops the permits of a box that are not among those it says it has, but for those that it may not have heard of yet.
    pub fn keep_only(&mut self, entry: BoxId, permits: &HashSet<PermitId>, now_ms: u64) {
        let of_box = self
            .streams
            .values()
            .filter(|stream| stream.entry() == entry);
        let on_its_way = |stream: &Stream| {
            stream.generated_tokens == 0 && now_ms < stream.progress_ms + ON_ITS_WAY_MS
        };
        let extra =
            of_box.filter(|stream| !permits.contains(&stream.permit) && !on_its_way(stream));
        let extra: Vec<(PermitId, u32)> = extra
            .map(|stream| (stream.permit, stream.generated_tokens))
            .collect();
        for (permit, tokens) in extra {
            self.release(permit, tokens, End::Censored);
        }
    }

    /// Drops the permits of boxes that have said nothing for long.
    pub fn forget_silent(&mut self, now_ms: u64) {
        let silent = |heard_ms: &u64| heard_ms + SILENT_BOX_MS < now_ms;
        let boxes: HashSet<BoxId> = self
            .heard_ms
            .iter()
            .filter(|(_, heard_ms)| silent(heard_ms))
            .map(|(id, _)| *id)
            .collect();
        if boxes.is_empty() {
            return;
        }
        let lost = self
            .streams
            .values()
            .filter(|stream| boxes.contains(&stream.entry()));
        let lost: Vec<(PermitId, u32)> = lost
            .map(|stream| (stream.permit, stream.generated_tokens))
            .collect();
        for (permit, tokens) in lost {
            self.release(permit, tokens, End::Censored);
        }
        for demand in self
            .queue
            .remove_if(|demand| boxes.contains(&demand.permit.entry))
        {
            self.tree.remove_waiting(&demand.share);
        }
        self.heard_ms.retain(|id, _| !boxes.contains(id));
        self.known.forget(&boxes);
    }
}
