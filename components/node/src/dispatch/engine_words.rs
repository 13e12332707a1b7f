//! What the dispatcher hears from time and from its engines: ticks, load reports, cache events, changed settings.

use super::{CacheEvents, IDLE_MS, Loaded, PoolActor, Refresh, Tick};
use policy::EngineReport;
use xtra::prelude::{Context, Handler};

impl Handler<Tick> for PoolActor {
    type Return = bool;

    /// Returns whether the pool is in use.
    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) -> bool {
        let now_ms = self.shared.now_ms();
        let in_use = now_ms < self.used_ms + IDLE_MS;
        if in_use && now_ms >= self.polled_ms + self.shared.limits().load_interval_ms {
            if let Some(address) = context.mailbox().address().try_upgrade() {
                self.poll(address, now_ms);
            }
            self.pool.expire_silent_boxes(now_ms);
        }
        self.run(now_ms);
        in_use
    }
}

impl Handler<Loaded> for PoolActor {
    type Return = ();

    async fn handle(&mut self, message: Loaded, _: &mut Context<Self>) {
        let Loaded(target, load) = message;
        let report = EngineReport {
            incarnation: load.incarnation,
            running: load.running,
            waiting: load.waiting,
            memory_share: load.memory_share,
            preemptions: load.preemptions,
            leaving: load.leaving,
        };
        let now_ms = self.shared.now_ms();
        self.pool.apply_report(target, report, now_ms);
        self.run(now_ms);
    }
}

impl Handler<CacheEvents> for PoolActor {
    type Return = ();

    async fn handle(&mut self, message: CacheEvents, _: &mut Context<Self>) {
        let now_ms = self.shared.now_ms();
        for event in message.1 {
            self.pool
                .apply_cache_event(message.0, event.seq, event.prefix, event.stored, now_ms);
        }
    }
}

impl Handler<Refresh> for PoolActor {
    type Return = ();

    async fn handle(&mut self, _: Refresh, _: &mut Context<Self>) {
        self.refresh();
        self.run(self.shared.now_ms());
    }
}
