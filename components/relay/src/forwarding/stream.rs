//! Forwards the events of one generation to its caller, across moves between engines.

use crate::buffered::deliver::wait_writable;
use crate::buffered::unsent::Unsent;
use crate::dispatch::completion::CompletionSample;
use crate::dispatch::permits::Permit;
use crate::forwarding::admission::SendKind;
use crate::forwarding::events::EventSplitter;
use crate::forwarding::generation::{GenerationSend, TAKEN_BACK, outcome_of, send_generation};
use crate::forwarding::open_response::OpenResponse;
use crate::forwarding::pauses::{PauseCause, Pauses};
use crate::forwarding::send::SendResult;
use crate::forwarding::stream_end::{StreamEnd, deliver_partial, deliver_remaining};
use crate::ingress::accept::{ChannelAction, count_response, write_local_reply};
use crate::ingress::request::{IncomingRequest, LocalReply, ResolvedRoute};
use crate::migration::migrated_copy::MigratedCopy;
use crate::migration::migrator::{MigrationStep, Migrator};
use crate::quarantine::broken_runs::{RunFailure, RunProgress};
use crate::state::Relay;
use http1::{Channel, Framing, push_chunk};
use peers::EngineFault;
use platform::{Continuation, forwarded_response_head};
use routing::EngineTraits;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Whether the response body is delimited only by the close of its channel.
fn is_unframed(response: &OpenResponse) -> bool {
    response.head.framing == Framing::UntilClose
}

/// Events of an answer from which on its engine has survived the prompt.
const SURVIVED_EVENTS: u32 = 2;
/// An engine that sends no event for this long within a stream is suspected. This is many times the event interval of a
/// fully loaded engine.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Forwards the events of one generation to its caller.
pub(crate) struct StreamForwarder<'a> {
    relay: &'a Rc<Relay>,
    incoming: &'a IncomingRequest,
    resolved: &'a ResolvedRoute,
    permit: Permit,
    engine: Option<EngineTraits>,
    splitter: EventSplitter,
    unsent: Unsent,
    last_event: Option<Box<str>>,
    events: u32,
    is_head_written: bool,
    first_event_ms: Option<u64>,
    pauses: Pauses,
    moves: u32,
    /// When this box received the response head of the current engine.
    started_ms: u64,
    /// The current engine's stream was not read for a while because the caller did not read.
    caller_blocked_reads: bool,
}

impl<'a> StreamForwarder<'a> {
    pub(crate) fn new(
        relay: &'a Rc<Relay>,
        incoming: &'a IncomingRequest,
        resolved: &'a ResolvedRoute,
        permit: Permit,
    ) -> Self {
        Self {
            relay,
            incoming,
            resolved,
            permit,
            engine: resolved.service().engine,
            splitter: EventSplitter::default(),
            unsent: Unsent::new(&relay.memory, resolved.account_id()),
            last_event: None,
            events: 0,
            is_head_written: false,
            first_event_ms: None,
            pauses: Pauses::new(),
            moves: 0,
            started_ms: relay.now_ms(),
            caller_blocked_reads: false,
        }
    }

    pub(crate) async fn run(
        mut self,
        caller: &mut Channel,
        response: OpenResponse,
    ) -> ChannelAction {
        let closes_channel = self.relay.should_close_channel() || self.incoming.head.old;
        self.permit.record_slowness(response.slowness_percent());
        let ended = self.forward_events(caller, response, closes_channel).await;
        let is_complete = ended == StreamEnd::Whole;
        if is_complete {
            self.permit.mark_finished();
            self.relay.record_served_request(self.incoming);
            self.relay.record_served_parts(&self.incoming.parts);
            self.record_completion();
        }
        slog::info!(self.relay.log, "generation ended"; "id" => self.incoming.id(), "request" => %self.incoming.key,
            "parts" => self.incoming.shared_part_ids(),
            "account" => self.resolved.account_name(), "rank" => self.resolved.rank(),
            "end" => ?ended, "events" => self.events, "moves" => self.moves,
            "first_event_ms" => self.first_event_ms, "longest_pause_ms" => self.pauses.longest_ms(),
            "longest_pause_in" => ?self.pauses.longest_cause(),
            "unsent_bytes_most" => self.unsent.peak_bytes(),
            "late" => self.exceeds_answer_goal(), "paused" => self.exceeds_pause_goal(),
            "after_ms" => self.incoming.arrival.elapsed_ms(self.relay.now_ms()));
        metrics::counter!("shuntpier_generations", "end" => ended.label()).increment(1);
        match ended {
            StreamEnd::Whole => {
                let (relay, incoming, unsent) = self.into_unsent();
                deliver_remaining(relay, incoming, unsent, caller, closes_channel).await
            }
            StreamEnd::CallerLeft | StreamEnd::Unread => ChannelAction::Drop,
            _ if self.is_head_written => {
                let (relay, incoming, unsent) = self.into_unsent();
                deliver_partial(relay, incoming, unsent, caller).await
            }
            StreamEnd::TimeOver => {
                self.write_local_reply(caller, LocalReply::DeadlineExceeded)
                    .await
            }
            StreamEnd::Broken(why) => {
                self.write_local_reply(caller, LocalReply::MayHaveRun(why))
                    .await
            }
        }
    }

    /// Releases the permit, and returns the events that are not yet written.
    fn into_unsent(self) -> (&'a Rc<Relay>, &'a IncomingRequest, Unsent) {
        (self.relay, self.incoming, self.unsent)
    }

    /// Records the length and duration of the generation for the completion estimate of a stopping box.
    fn record_completion(&self) {
        let generation = self.incoming.facts.generation.as_ref();
        let ended = CompletionSample {
            guess_tokens: generation.and_then(|generation| generation.guess_tokens),
            tokens: self.events * self.tokens_per_event(),
            first_token_ms: self.first_event_ms.unwrap_or_default(),
            total_ms: self.incoming.arrival.elapsed_ms(self.relay.now_ms()),
        };
        self.relay.completion.borrow_mut().record(ended);
    }

    /// Whether the first event was later than the route's answer goal.
    fn exceeds_answer_goal(&self) -> bool {
        let goal_ms = self.resolved.route().answer_goal_ms;
        self.first_event_ms
            .is_some_and(|first_ms| first_ms > goal_ms)
    }

    /// Whether a pause was longer than the route's pause goal.
    fn exceeds_pause_goal(&self) -> bool {
        let goal_ms = self.resolved.route().pause_goal_ms;
        goal_ms.is_some_and(|goal_ms| self.pauses.longest_ms() > goal_ms)
    }

    fn tokens_per_event(&self) -> u32 {
        self.engine.map_or(1, |engine| engine.tokens_per_event)
    }

    async fn write_local_reply(&self, caller: &mut Channel, local: LocalReply) -> ChannelAction {
        count_response(local.status(), "own");
        write_local_reply(self.relay, caller, self.incoming, local, false).await
    }

    async fn forward_events(
        &mut self,
        caller: &mut Channel,
        mut response: OpenResponse,
        closes_channel: bool,
    ) -> StreamEnd {
        let deadline_ms = self.incoming.deadline_ms(self.resolved.route());
        let remaining_ms = deadline_ms.saturating_sub(self.relay.now_ms());
        let deadline = Instant::now() + Duration::from_millis(remaining_ms);
        let head = forwarded_response_head(&response.head);
        let mut migrator = Migrator::new(self.relay, self.engine, false);
        // How the stream ended while the generation may have been stopped.
        let mut source_failure: Option<&'static str> = None;
        let mut silent_at = Instant::now() + SILENCE_TIMEOUT;
        let mut suspected = false;
        let mut was_reading = true;
        loop {
            let wants_write = !self.unsent.is_empty();
            let wants_read = self.unsent.can_read();
            if wants_read && !was_reading {
                // The engine was not read in the meantime, so its silence does not count.
                silent_at = Instant::now() + SILENCE_TIMEOUT;
                self.pauses.set_next_cause(PauseCause::Caller);
            }
            if was_reading && !wants_read {
                self.caller_blocked_reads = true;
                metrics::counter!("shuntpier_streams_held_up").increment(1);
            }
            was_reading = wants_read;
            let step = tokio::select! {
                biased;
                is_connected = wait_writable(caller, wants_write) => {
                    let pending = self.splitter.pending_bytes();
                    if !is_connected || self.unsent.write(caller, pending).is_err() {
                        return StreamEnd::CallerLeft;
                    }
                    None
                }
                () = sleep_until(deadline) => {
                    if suspected {
                        self.record_break(RunFailure::Silent);
                    }
                    return StreamEnd::TimeOver;
                }
                () = sleep_until(self.unsent.next_check_at()), if wants_write => {
                    if self.unsent.is_caller_stalled(self.relay, self.incoming.id()) {
                        return StreamEnd::Unread;
                    }
                    None
                }
                () = self.unsent.wait_for_room(), if !wants_read => None,
                () = self.relay.wait_until_withheld(self.incoming), if self.events == 0 => {
                    return StreamEnd::Broken(TAKEN_BACK);
                }
                step = migrator.next_step(&self.permit, self.incoming.id()) => Some(step),
                () = sleep_until(silent_at), if !suspected && wants_read && migrator.is_source_open() => {
                    suspected = true;
                    let silent_since_ms = self.relay.now_ms() - SILENCE_TIMEOUT.as_millis() as u64;
                    self.relay.probe_if_silent(&self.resolved.service().name, silent_since_ms);
                    self.report_fault(EngineFault::Silent);
                    None
                }
                piece = response.next(), if migrator.is_source_open() && wants_read => match piece {
                    Ok(Some(data)) => {
                        let events_before = self.events;
                        let forwarded = self.forward_chunk(caller, &head, &data, closes_channel);
                        if self.events > events_before {
                            // Bytes that complete no event are no sign of progress.
                            silent_at = Instant::now() + SILENCE_TIMEOUT;
                        }
                        match forwarded {
                            Ok(()) => None,
                            Err(ended) => return ended,
                        }
                    }
                    Ok(None) if !(migrator.may_be_stopped() && is_unframed(&response)) => {
                        return self.finish_stream(response).await;
                    }
                    Err(why) if !migrator.may_be_stopped() => return self.break_off(why),
                    ended => {
                        source_failure = ended.err();
                        self.log_source_closed(source_failure);
                        migrator.mark_source_closed();
                        None
                    }
                },
            };
            let from = match step {
                None => continue,
                Some(MigrationStep::NotStopped) if migrator.is_source_open() => continue,
                Some(MigrationStep::NotStopped) => {
                    return match source_failure {
                        None => self.finish_stream(response).await,
                        Some(why) => self.break_off(why),
                    };
                }
                Some(MigrationStep::Lost) => {
                    return StreamEnd::Broken("it was stopped and could not be moved");
                }
                Some(MigrationStep::Continue(from)) => from,
            };
            match self.resume_at(&from, deadline).await {
                Ok(next) => response = next,
                Err(ended) => return ended,
            }
            let has_open_order = from.has_open_order && self.permit.slot == from.source_slot;
            migrator = Migrator::new(self.relay, self.engine, has_open_order);
            silent_at = Instant::now() + SILENCE_TIMEOUT;
        }
    }

    fn log_source_closed(&self, failure: Option<&'static str>) {
        slog::info!(self.relay.log, "stream closed during an order to stop it"; "id" => self.incoming.id(),
            "events" => self.events, "failure" => failure);
    }

    /// The end of a stream that its engine broke off.
    fn break_off(&self, why: &'static str) -> StreamEnd {
        if self.caller_blocked_reads {
            // The caller stalled the stream, so no engine fault is reported.
            return StreamEnd::Broken("its caller did not read, and its engine cut it off");
        }
        self.report_fault(EngineFault::Broke);
        self.record_break(RunFailure::ConnectionClosed);
        StreamEnd::Broken(why)
    }

    fn report_fault(&self, fault: EngineFault) {
        let permit = &self.permit;
        self.relay
            .notify_engine_failed(permit.pool, permit.slot, fault);
    }

    /// Records that the generation broke off at its engine.
    fn record_break(&self, kind: RunFailure) {
        let slot = self.permit.slot;
        self.relay
            .record_broken_run(self.incoming, slot, self.started_ms, kind, self.progress());
    }

    /// A single event may be the last thing that an engine sends before it crashes under the prompt.
    fn progress(&self) -> RunProgress {
        match self.events >= SURVIVED_EVENTS {
            true => RunProgress::Begun,
            false => RunProgress::NotBegun,
        }
    }

    /// Checks that a stream that ended is complete.
    async fn finish_stream(&mut self, response: OpenResponse) -> StreamEnd {
        if self.splitter.is_within_event() {
            self.record_break(RunFailure::ConnectionClosed);
            return StreamEnd::Broken("the stream ended within an event");
        }
        if self.events == 0 {
            self.record_break(RunFailure::ConnectionClosed);
            return StreamEnd::Broken("the stream ended without an event");
        }
        if is_unframed(&response) && !self.relay.outlives_answer(self.permit.slot).await {
            return self.break_off("its engine ended with the stream");
        }
        response.recycle_channel(self.relay);
        StreamEnd::Whole
    }

    fn forward_chunk(
        &mut self,
        caller: &mut Channel,
        head: &[u8],
        data: &[u8],
        closes_channel: bool,
    ) -> Result<(), StreamEnd> {
        let events = self
            .splitter
            .push(data)
            .map_err(|_| self.break_off("an event does not end"))?;
        if events.count == 0 {
            self.unsent.push(&[], self.splitter.pending_bytes());
            return Ok(());
        }
        let now_ms = self.relay.now_ms();
        match self.pauses.record_events(now_ms) {
            Some((pause_ms, PauseCause::Engine)) => self.permit.record_gap(pause_ms, events.count),
            Some(_) => {}
            None => self.first_event_ms = Some(self.incoming.arrival.elapsed_ms(now_ms)),
        }
        let had_survived = self.events >= SURVIVED_EVENTS;
        self.events += events.count;
        if !had_survived && self.events >= SURVIVED_EVENTS {
            self.relay.record_served_parts(&self.incoming.parts);
        }
        if events.last_id.is_some() {
            self.last_event = events.last_id;
        }
        self.permit
            .record_tokens(self.events * self.tokens_per_event());
        let mut out = Vec::with_capacity(events.bytes.len() + 512);
        let is_chunked = !self.incoming.head.old;
        if !std::mem::replace(&mut self.is_head_written, true) {
            out.extend_from_slice(head);
            match is_chunked {
                true => out.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
                // Only the close of the channel tells the caller that the stream is whole.
                false => caller.set_reset_on_close(true),
            }
            if closes_channel {
                out.extend_from_slice(b"Connection: close\r\n");
            }
            out.extend_from_slice(b"\r\n");
        }
        match is_chunked {
            true => push_chunk(&mut out, &events.bytes),
            false => out.extend_from_slice(&events.bytes),
        }
        let pending = self.splitter.pending_bytes();
        self.unsent.push(&out, pending);
        let written = self.unsent.write(caller, pending);
        written.map_err(|_| StreamEnd::CallerLeft)
    }

    /// Resumes the generation from its copy at the target of the move, or else at the source.
    async fn resume_at(
        &mut self,
        from: &MigratedCopy,
        deadline: Instant,
    ) -> Result<OpenResponse, StreamEnd> {
        // An event truncated at the end of the source's stream is sent again from the copy.
        self.splitter = EventSplitter::default();
        let continuation = Continuation {
            source: from.source,
            copy: from.copy.clone(),
            last_event: self.last_event.clone(),
        };
        let attempts = [
            (from.target, SendKind::Continuation),
            (from.source_slot, SendKind::Resumption),
        ];
        for (slot, kind) in attempts {
            if self
                .relay
                .decided_withheld_reply(self.incoming)
                .await
                .is_some()
            {
                from.free_both(self.relay);
                return Err(StreamEnd::Broken(TAKEN_BACK));
            }
            let sent_ms = self.relay.now_ms();
            let send = GenerationSend {
                kind,
                continuation: Some(&continuation),
                retry: None,
            };
            let sending = send_generation(self.relay, self.incoming, self.resolved, slot, send);
            let Ok(result) = timeout_at(deadline, sending).await else {
                return Err(StreamEnd::TimeOver);
            };
            self.relay.record_outcome(slot, outcome_of(&result));
            match result {
                SendResult::Answered(response)
                    if response.head.status == 200 && response.is_verified() =>
                {
                    self.permit.slot = slot;
                    // The flag concerns the previous engine's stream only.
                    self.caller_blocked_reads = false;
                    match slot == from.target {
                        true => from.free_source(self.relay),
                        false => from.free(self.relay),
                    }
                    self.moves += 1;
                    self.started_ms = self.relay.now_ms();
                    self.pauses.set_next_cause(PauseCause::Move);
                    self.permit.record_slowness(response.slowness_percent());
                    metrics::counter!("shuntpier_moves", "end" => "done").increment(1);
                    slog::info!(self.relay.log, "generation goes on"; "id" => self.incoming.id(),
                        "events" => self.events, "copy" => &*continuation.copy);
                    return Ok(*response);
                }
                SendResult::Answered(_) => break,
                SendResult::MayHaveRun(_) => {
                    self.relay.record_broken_run(
                        self.incoming,
                        slot,
                        sent_ms,
                        RunFailure::ConnectionClosed,
                        RunProgress::NotBegun,
                    );
                    break;
                }
                SendResult::NotRun(why) => {
                    slog::info!(self.relay.log, "copy not taken up"; "id" => self.incoming.id(),
                        "why" => ?why);
                }
            }
        }
        from.free_both(self.relay);
        metrics::counter!("shuntpier_moves", "end" => "lost").increment(1);
        Err(StreamEnd::Broken("its copy was not taken up"))
    }
}
