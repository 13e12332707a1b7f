//! Passes the events of one generation on as they come, from one engine after another.

use crate::buffered::deliver::wait_writable;
use crate::buffered::unsent::Unsent;
use crate::dispatch::completion::CompletionSample;
use crate::dispatch::permits::Permit;
use crate::forwarding::admission::SendKind;
use crate::forwarding::events::EventSplitter;
use crate::forwarding::generation::{outcome_of, send};
use crate::forwarding::pauses::{PauseIn, Pauses};
use crate::forwarding::send::{Opened, Tried};
use crate::forwarding::stream_end::{Ended, deliver_part, deliver_rest};
use crate::ingress::accept::{After, count, write_reply};
use crate::ingress::request::{Incoming, LocalReply, Reply, Way};
use crate::migration::migrated_copy::MigratedCopy;
use crate::migration::migrator::{MigrationStep, Migrator};
use crate::quarantine::broken_runs::RunFailure;
use crate::state::Relay;
use http1::{Channel, Framing, push_chunk};
use peers::EngineFault;
use platform::{Continuation, forwarded_response_head};
use routing::EngineTraits;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Whether only the end of its channel ends an answer.
fn is_unframed(opened: &Opened) -> bool {
    opened.head.framing == Framing::UntilClose
}

/// An engine that makes no event for this long in the middle of a stream is doubted: many times the pace of a full
/// one.
const SILENT_LIMIT: Duration = Duration::from_millis(1_500);

/// Passes the events of one generation on.
pub(crate) struct StreamForwarder<'a> {
    relay: &'a Rc<Relay>,
    incoming: &'a Incoming,
    way: &'a Way,
    permit: Permit,
    engine: Option<EngineTraits>,
    splitter: EventSplitter,
    unsent: Unsent,
    last_event: Option<Box<str>>,
    events: u32,
    head_written: bool,
    first_event_ms: Option<u64>,
    pauses: Pauses,
    moves: u32,
    /// When its engine began, as this box saw it: with the head of its answer.
    began_ms: u64,
    /// Its engine was not read for a while, as the caller did not read.
    was_held_up: bool,
}

impl<'a> StreamForwarder<'a> {
    pub(crate) fn new(
        relay: &'a Rc<Relay>,
        incoming: &'a Incoming,
        way: &'a Way,
        permit: Permit,
    ) -> Self {
        Self {
            relay,
            incoming,
            way,
            permit,
            engine: way.service().engine,
            splitter: EventSplitter::default(),
            unsent: Unsent::new(&relay.memory, way.account_id()),
            last_event: None,
            events: 0,
            head_written: false,
            first_event_ms: None,
            pauses: Pauses::new(),
            moves: 0,
            began_ms: relay.now_ms(),
            was_held_up: false,
        }
    }

    pub(crate) async fn run(mut self, caller: &mut Channel, opened: Opened) -> After {
        let closes = self.relay.sheds_channel() || self.incoming.head.old;
        self.permit.record_slowness(opened.slowness_percent());
        let ended = self.forward_events(caller, opened, closes).await;
        let finished = ended == Ended::Whole;
        if finished {
            self.permit.mark_finished();
            self.relay.record_served_request(self.incoming.key);
            self.note_end();
        }
        slog::info!(self.relay.log, "generation ended"; "id" => self.incoming.id(), "request" => %self.incoming.key,
            "account" => self.way.account_name(), "rank" => self.way.rank(),
            "end" => ?ended, "events" => self.events, "moves" => self.moves,
            "first_event_ms" => self.first_event_ms, "longest_pause_ms" => self.pauses.longest_ms(),
            "longest_pause_in" => ?self.pauses.longest_in(),
            "unsent_bytes_most" => self.unsent.peak_bytes(),
            "late" => self.is_late(), "paused" => self.is_paused(),
            "after_ms" => self.relay.now_ms() - self.incoming.came_ms);
        metrics::counter!("shuntpier_generations", "end" => ended.word()).increment(1);
        match ended {
            Ended::Whole => {
                let (relay, incoming, unsent) = self.done();
                deliver_rest(relay, incoming, unsent, caller, closes).await
            }
            Ended::CallerLeft | Ended::Unread => After::Drop,
            _ if self.head_written => {
                let (relay, incoming, unsent) = self.done();
                deliver_part(relay, incoming, unsent, caller).await
            }
            Ended::TimeOver => self.answer_own(caller, LocalReply::TimeOver).await,
            Ended::Broken(why) => self.answer_own(caller, LocalReply::MayHaveRun(why)).await,
        }
    }

    /// Gives the engine's place back, and what is left to be written.
    fn done(self) -> (&'a Rc<Relay>, &'a Incoming, Unsent) {
        (self.relay, self.incoming, self.unsent)
    }

    /// Remembers how long the generation was and took, for those that come while this box stops.
    fn note_end(&self) {
        let generation = self.incoming.facts.generation.as_ref();
        let ended = CompletionSample {
            guess_tokens: generation.and_then(|generation| generation.guess_tokens),
            tokens: self.events * self.tokens_per_event(),
            first_token_ms: self.first_event_ms.unwrap_or_default(),
            total_ms: self.relay.now_ms() - self.incoming.came_ms,
        };
        self.relay.completion.borrow_mut().record(ended);
    }

    /// Whether the first event came after the route's goal.
    fn is_late(&self) -> bool {
        let goal_ms = self.way.route().answer_goal_ms;
        self.first_event_ms
            .is_some_and(|first_ms| first_ms > goal_ms)
    }

    /// Whether a pause was longer than the route's goal allows.
    fn is_paused(&self) -> bool {
        let goal_ms = self.way.route().pause_goal_ms;
        goal_ms.is_some_and(|goal_ms| self.pauses.longest_ms() > goal_ms)
    }

    fn tokens_per_event(&self) -> u32 {
        self.engine.map_or(1, |engine| engine.tokens_per_event)
    }

    async fn answer_own(&self, caller: &mut Channel, own: LocalReply) -> After {
        count(own.status(), "own");
        let reply = Reply::own(own, self.incoming.facts.request_id.as_deref());
        write_reply(self.relay, caller, self.incoming.id(), reply, false).await
    }

    async fn forward_events(
        &mut self,
        caller: &mut Channel,
        mut opened: Opened,
        closes: bool,
    ) -> Ended {
        let due_ms = self.incoming.due_ms(self.way.route());
        let left_ms = due_ms.saturating_sub(self.relay.now_ms());
        let due = Instant::now() + Duration::from_millis(left_ms);
        let head = forwarded_response_head(&opened.head);
        let mut migrator = Migrator::new(self.relay, self.engine);
        let mut silent_at = Instant::now() + SILENT_LIMIT;
        let mut doubted = false;
        let mut read_before = true;
        loop {
            let writes = !self.unsent.is_empty();
            let reads = self.unsent.can_read();
            if reads && !read_before {
                // It was not read meanwhile, and could say nothing.
                silent_at = Instant::now() + SILENT_LIMIT;
                self.pauses.passes_in(PauseIn::Caller);
            }
            if read_before && !reads {
                self.was_held_up = true;
                metrics::counter!("shuntpier_streams_held_up").increment(1);
            }
            read_before = reads;
            let step = tokio::select! {
                biased;
                is_there = wait_writable(caller, writes) => {
                    let pending = self.splitter.pending_bytes();
                    if !is_there || self.unsent.write(caller, pending).is_err() {
                        return Ended::CallerLeft;
                    }
                    None
                }
                () = sleep_until(due) => {
                    if doubted {
                        self.broke(RunFailure::Silent);
                    }
                    return Ended::TimeOver;
                }
                () = sleep_until(self.unsent.next_check_at()), if writes => {
                    if self.unsent.is_caller_stalled(self.relay, self.incoming.id()) {
                        return Ended::Unread;
                    }
                    None
                }
                () = self.unsent.wait_for_room(), if !reads => None,
                step = migrator.next_step(&self.permit, self.incoming.id()) => Some(step),
                () = sleep_until(silent_at), if !doubted && reads => {
                    doubted = true;
                    self.tell_engine(EngineFault::Silent);
                    None
                }
                piece = opened.next(), if migrator.is_source_open() && reads => match piece {
                    Ok(Some(data)) => {
                        silent_at = Instant::now() + SILENT_LIMIT;
                        match self.pass(caller, &head, &data, closes) {
                            Ok(()) => None,
                            Err(ended) => return ended,
                        }
                    }
                    Ok(None) if !(migrator.is_stopping_source() && is_unframed(&opened)) => {
                        return self.whole(opened);
                    }
                    Ok(None) => {
                        migrator.mark_source_closed();
                        None
                    }
                    Err(why) if migrator.is_stopping_source() => {
                        slog::debug!(self.relay.log, "source closed"; "why" => why);
                        migrator.mark_source_closed();
                        None
                    }
                    Err(_) if self.was_held_up => {
                        // Not the engine's fault: nothing is told of it.
                        return Ended::Broken("its caller did not read, and its engine cut it off");
                    }
                    Err(why) => {
                        self.tell_engine(EngineFault::Broke);
                        self.broke(RunFailure::ConnectionClosed);
                        return Ended::Broken(why);
                    }
                },
            };
            let from = match step {
                Some(MigrationStep::Continue(from)) => from,
                Some(MigrationStep::Failed) if !migrator.is_source_open() => {
                    return Ended::Broken("it was stopped and could not be moved");
                }
                _ => continue,
            };
            match self.go_on(from, due).await {
                Ok(next) => opened = next,
                Err(ended) => return ended,
            }
            migrator = Migrator::new(self.relay, self.engine);
        }
    }

    fn tell_engine(&self, fault: EngineFault) {
        let permit = &self.permit;
        self.relay
            .notify_engine_failed(permit.pool, permit.slot, fault);
    }

    /// Notes that the generation did not come to its end at its engine.
    fn broke(&self, how: RunFailure) {
        let slot = self.permit.slot;
        self.relay
            .record_broken_run(self.incoming.key, slot, self.began_ms, how);
    }

    /// Whether a stream that came to its end is whole.
    fn whole(&mut self, opened: Opened) -> Ended {
        if self.splitter.is_within_event() {
            self.broke(RunFailure::ConnectionClosed);
            return Ended::Broken("the stream ended within an event");
        }
        if self.events == 0 {
            self.broke(RunFailure::ConnectionClosed);
            return Ended::Broken("the stream ended without an event");
        }
        opened.finish(self.relay);
        Ended::Whole
    }

    fn pass(
        &mut self,
        caller: &mut Channel,
        head: &[u8],
        data: &[u8],
        closes: bool,
    ) -> Result<(), Ended> {
        let events = self
            .splitter
            .push(data)
            .map_err(|_| Ended::Broken("an event does not end"))?;
        if events.count == 0 {
            self.unsent.push(&[], self.splitter.pending_bytes());
            return Ok(());
        }
        let now_ms = self.relay.now_ms();
        match self.pauses.event(now_ms) {
            Some((pause_ms, PauseIn::Engine)) => self.permit.record_gap(pause_ms, events.count),
            Some(_) => {}
            None => self.first_event_ms = Some(now_ms - self.incoming.came_ms),
        }
        self.events += events.count;
        if events.last_id.is_some() {
            self.last_event = events.last_id;
        }
        self.permit
            .record_tokens(self.events * self.tokens_per_event());
        let mut out = Vec::with_capacity(events.bytes.len() + 512);
        let chunked = !self.incoming.head.old;
        if !std::mem::replace(&mut self.head_written, true) {
            out.extend_from_slice(head);
            if chunked {
                out.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
            }
            if closes {
                out.extend_from_slice(b"Connection: close\r\n");
            }
            out.extend_from_slice(b"\r\n");
        }
        match chunked {
            true => push_chunk(&mut out, &events.bytes),
            false => out.extend_from_slice(&events.bytes),
        }
        let pending = self.splitter.pending_bytes();
        self.unsent.push(&out, pending);
        let written = self.unsent.write(caller, pending);
        written.map_err(|_| Ended::CallerLeft)
    }

    /// Has the generation go on where its copy lies.
    async fn go_on(&mut self, from: MigratedCopy, due: Instant) -> Result<Opened, Ended> {
        // What was cut off with the source's stream comes again from the copy.
        self.splitter = EventSplitter::default();
        let continuation = Continuation {
            source: from.source,
            copy: from.copy.clone(),
            last_event: self.last_event.clone(),
        };
        let ways = [
            (from.target, SendKind::Continuation),
            (from.source_slot, SendKind::Resumption),
        ];
        for (slot, kind) in ways {
            let sent_ms = self.relay.now_ms();
            let trying = send(
                self.relay,
                self.incoming,
                self.way,
                slot,
                Some(&continuation),
                kind,
            );
            let Ok(tried) = timeout_at(due, trying).await else {
                return Err(Ended::TimeOver);
            };
            self.relay.record_outcome(slot, outcome_of(&tried));
            match tried {
                Tried::Answered(opened) if opened.head.status == 200 && opened.is_vouched() => {
                    self.permit.slot = slot;
                    // What the former stream was held up by says nothing of this one.
                    self.was_held_up = false;
                    match slot == from.target {
                        true => from.free_source(self.relay),
                        false => from.free(self.relay),
                    }
                    self.moves += 1;
                    self.began_ms = self.relay.now_ms();
                    self.pauses.passes_in(PauseIn::Move);
                    self.permit.record_slowness(opened.slowness_percent());
                    metrics::counter!("shuntpier_moves", "end" => "done").increment(1);
                    slog::info!(self.relay.log, "generation goes on"; "id" => self.incoming.id(),
                        "events" => self.events, "copy" => &*continuation.copy);
                    return Ok(*opened);
                }
                Tried::Answered(_) => break,
                Tried::MayHaveRun(_) => {
                    let key = self.incoming.key;
                    self.relay
                        .record_broken_run(key, slot, sent_ms, RunFailure::ConnectionClosed);
                    break;
                }
                Tried::NotRun(why) => {
                    slog::info!(self.relay.log, "copy not taken up"; "id" => self.incoming.id(),
                        "why" => ?why);
                }
            }
        }
        from.free(self.relay);
        metrics::counter!("shuntpier_moves", "end" => "lost").increment(1);
        Err(Ended::Broken("its copy was not taken up"))
    }
}
