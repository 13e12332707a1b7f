//! Plays one run: a platform in small, boxes as processes, callers, and the plan of a seed.

use crate::boxes::{BoxProcess, source_address};
use crate::callers::Callers;
use crate::checks::check;
use crate::fatal_part::FatalCallers;
use crate::history::{Evacuated, Outcome, Report, Trouble, TroubledLink};
use crate::lives::is_served;
use crate::plan::{FileChange, PLACES, Sizes, Step, Timed, plan};
use crate::plant::Plant;
use crate::refusals::count_refusals;
use crate::world::{LOOK_EACH, Later, World};
use fleet::link::Partition;
use fleet::{link, store};
use miette::{IntoDiagnostic, miette};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How long half of a settings file lies there, and how long a bad one or none.
const HALF_MS: u64 = 120;
const BAD_MS: u64 = 2_600;
/// Pause between the end of a box and its next start.
const RESTART_MS: u64 = 300;
/// After the loss of all boxes calls are served within this time.
pub(crate) const RECOVERY_MS: u64 = 12_000;
/// Calls in a row that count as served again.
const SERVED_IN_A_ROW: usize = 5;
/// A stopping box ends within its grace; longer, and it hangs.
const STOP_LIMIT_MS: u64 = 10_000;

/// Runs that this process has begun.
static RUNS: AtomicU64 = AtomicU64::new(0);

/// How runs are played.
#[derive(Clone, Debug)]
pub struct Soak {
    /// The program `shuntpier`.
    pub program: PathBuf,
    /// Where settings and logs of runs are laid.
    pub folder: PathBuf,
    /// Boxes of a run.
    pub boxes: usize,
    /// Callers of a run.
    pub callers: usize,
    /// How long faults come, in milliseconds.
    pub span_ms: u64,
    /// What a machine that stalls is allowed beyond each bound, in milliseconds.
    pub slack_ms: u64,
    /// Whether boxes are cut off from targets.
    pub has_partitions: bool,
    /// Whether a prompt part crashes engines.
    pub has_fatal_part: bool,
    /// Whether plain targets refuse calls while boxes are killed in series.
    pub has_refusals: bool,
    /// Whether engines leave while answers to control calls are lost, and half of the engines' streams have no length.
    pub has_lost_orders: bool,
    /// Whether targets refuse requests so that it is not plain whether they ran.
    pub has_doubtful_refusals: bool,
    /// Whether most boxes are cut off from the store while another one restarts again and again.
    pub has_stale_views: bool,
    /// A promise that is broken on purpose.
    pub plant: Option<Plant>,
}

/// Plays the run of a seed.
///
/// # Errors
/// The world could not be set up; that says nothing of the promises.
pub fn play(soak: &Soak, seed: u64) -> miette::Result<Report> {
    // Runs of one seed may be played at one time, with promises broken on purpose and without.
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = soak.folder.join(format!("seed-{seed}-run-{run}"));
    std::fs::create_dir_all(&folder).into_diagnostic()?;
    let sizes = Sizes {
        boxes: soak.boxes,
        targets: 3,
        engines: 3,
        span_ms: soak.span_ms,
        has_partitions: soak.has_partitions,
        has_fatal_part: soak.has_fatal_part,
        has_refusals: soak.has_refusals,
        has_lost_orders: soak.has_lost_orders,
        has_doubtful_refusals: soak.has_doubtful_refusals,
        has_stale_views: soak.has_stale_views,
    };
    let steps = plan(seed, sizes);
    let mut world = World::start(soak, &folder, sizes)?;
    let callers = Callers::start(soak.callers, &world.addresses(), seed, world.began);
    world.play(&steps)?;
    world.garble_all();
    world.restart_all();
    world.lose_all()?;
    let (calls, unreadable) = callers.end();
    let mut history = world.end();
    history.calls = calls;
    history.calls.extend(history.fatal_calls.clone());
    history.unreadable = unreadable;
    let broken = check(&history);
    let served = history.calls.iter().filter(
        |call| matches!(&call.outcome, Outcome::Answered(got) if got.status == 200 && got.is_complete),
    );
    let logs = match broken.is_empty() {
        true => {
            // What is left lying about is no fault of the run's.
            let _ = std::fs::remove_dir_all(&folder);
            None
        }
        false => Some(folder.display().to_string()),
    };
    Ok(Report {
        seed,
        calls: history.calls.len(),
        served: served.count(),
        refusals: count_refusals(&history),
        steps: steps.iter().map(in_words).collect(),
        broken,
        logs,
    })
}

fn in_words(timed: &Timed) -> String {
    format!("{} ms: {:?}", timed.at_ms, timed.step)
}

impl World<'_> {
    fn play(&mut self, steps: &[Timed]) -> miette::Result<()> {
        let mut steps = steps.iter().peekable();
        while self.now_ms() < self.soak.span_ms || !self.later.is_empty() || self.any_stops() {
            let now_ms = self.now_ms();
            while let Some(timed) = steps.next_if(|timed| timed.at_ms <= now_ms) {
                self.step(&timed.step);
            }
            self.look_after(now_ms)?;
            std::thread::sleep(LOOK_EACH);
        }
        Ok(())
    }

    fn any_stops(&self) -> bool {
        self.stopping.iter().any(Option::is_some)
    }

    /// Does what is due, and starts boxes again that have ended.
    fn look_after(&mut self, now_ms: u64) -> miette::Result<()> {
        self.keep_copies(now_ms);
        while let Some(at) = self.later.iter().position(|(due_ms, _)| *due_ms <= now_ms) {
            let (_, later) = self.later.swap_remove(at);
            self.come(later, now_ms)?;
        }
        for at in 0..self.engines.len() {
            if self.engines[at].has_ended() {
                // It broke its streams off some time since the last look.
                self.history.crashes.push((self.looked_ms, now_ms));
                self.history.engine_crashes.push(now_ms);
                self.engine_restarts(at, true);
            }
        }
        self.looked_ms = now_ms;
        for at in 0..self.boxes.len() {
            let Some(since_ms) = self.stopping[at] else {
                continue;
            };
            if !self.boxes[at].runs() {
                self.stopping[at] = None;
                self.disturb(Trouble::Ended, Some(at), now_ms, now_ms + RESTART_MS);
                self.later.push((now_ms + RESTART_MS, Later::StartBox(at)));
            } else if now_ms > since_ms + STOP_LIMIT_MS {
                return Err(miette!(
                    "box {at} has not stopped within {STOP_LIMIT_MS} ms"
                ));
            }
        }
        Ok(())
    }

    /// Whether a box runs and nothing is under way with it.
    fn is_free(&mut self, at: usize) -> bool {
        let waits = |later: &Later| matches!(later, Later::StartBox(other) | Later::Resume { at: other, .. } if *other == at);
        let busy = self.later.iter().any(|(_, later)| waits(later));
        !busy && self.stopping[at].is_none() && self.boxes[at].runs()
    }

    fn step(&mut self, step: &Step) {
        let now_ms = self.now_ms();
        match step {
            Step::Kill { at, down_ms } if self.is_free(*at) => {
                self.boxes[*at].kill();
                self.disturb(Trouble::Broken, Some(*at), now_ms, now_ms + down_ms);
                self.later.push((now_ms + down_ms, Later::StartBox(*at)));
            }
            Step::Stop { at } if self.is_free(*at) => self.stop(*at, now_ms),
            Step::Pause { at, lasts_ms } if self.is_free(*at) => {
                self.boxes[*at].signal("STOP");
                let resume = Later::Resume {
                    at: *at,
                    from_ms: now_ms,
                };
                self.later.push((now_ms + lasts_ms, resume));
            }
            Step::Settings {
                at,
                change,
                hangs_up,
            } if self.is_free(*at) => self.change_file(*at, *change, *hangs_up, now_ms),
            Step::Kill { .. } | Step::Stop { .. } | Step::Pause { .. } | Step::Settings { .. } => {}
            Step::Evacuate { place, lasts_ms } => self.evacuate(PLACES[*place], *lasts_ms, now_ms),
            Step::Store {
                at,
                trouble,
                lasts_ms,
            } => {
                self.trouble_store(*at, *trouble);
                let well = Later::StoreWell {
                    at: *at,
                    from_ms: now_ms,
                };
                self.later.push((now_ms + lasts_ms, well));
            }
            Step::Restore {
                age_ms,
                away_ms,
                again_ms,
            } => self.lose_store(*age_ms, *away_ms, *again_ms, now_ms),
            Step::Compact => self.store.compact(),
            Step::ToggleKey => self.toggle_key(),
            Step::Storm { changes } => (0..*changes).for_each(|_| self.declare()),
            Step::TargetLeaves { at } => self.target_leaves(*at, now_ms),
            Step::Acts { at, acts } => self.plain[*at].target.recorder.queue_behaviours(acts),
            Step::Link {
                at,
                trouble,
                lasts_ms,
            } => {
                self.plain[*at].link.set(*trouble);
                self.history.troubled_links.push(TroubledLink {
                    target: self.plain[*at].target.instance.clone(),
                    from_ms: now_ms,
                    to_ms: now_ms + lasts_ms,
                });
                self.later.push((now_ms + lasts_ms, Later::LinkWell(*at)));
            }
            Step::Partition {
                boxes,
                mode,
                lasts_ms,
            } => {
                let clients = boxes.iter().map(|at| source_address(*at)).collect();
                let mode = *mode;
                self.set_partition(Some(Partition { clients, mode }));
                let boxes = boxes.clone();
                let from_ms = now_ms;
                let heals = Later::PartitionHeals { boxes, from_ms };
                self.later.push((now_ms + lasts_ms, heals));
            }
            Step::FatalPart { lasts_ms } => {
                let callers = FatalCallers::start(&self.addresses(), now_ms, self.began);
                let ends = Later::FatalPartEnds(callers);
                self.later.push((now_ms + lasts_ms, ends));
            }
            Step::DoubtfulRefusals {
                at,
                is_engine,
                acts,
            } => {
                let recorder = match is_engine {
                    true => &self.engines[*at].recorder,
                    false => &self.plain[*at].target.recorder,
                };
                recorder.queue_behaviours(acts);
            }
            Step::Refusals { lasts_ms } => self.refuse_all(*lasts_ms),
            Step::TargetRestarts { at } => self.target_restarts(*at),
            Step::EngineRestarts { at, killed } => self.engine_restarts(*at, *killed),
            Step::Limit {
                at,
                is_engine,
                limit_tenths_per_s,
                lasts_ms,
            } => self.limit(*at, *is_engine, *limit_tenths_per_s, *lasts_ms),
            Step::SaysItLeaves { at, store_late_ms } => self.says_it_leaves(*at, *store_late_ms),
            Step::Sheds {
                at,
                pause_ms,
                lasts_ms,
            } => self.shed(*at, *pause_ms, *lasts_ms),
            Step::Garble { at, lasts_ms } => self.garble(*at, *lasts_ms),
            Step::EngineLeaves { at } => self.engine_leaves(*at, now_ms),
            Step::EngineLosesOrders { at, copies, stops } => {
                let behaviour = &self.engines[*at].behaviour;
                copies
                    .iter()
                    .for_each(|fault| behaviour.copy_faults.push(*fault));
                stops
                    .iter()
                    .for_each(|fault| behaviour.stop_faults.push(*fault));
                self.engine_leaves(*at, now_ms);
            }
            Step::EngineCrash { at, lasts_ms } => {
                self.engines[*at]
                    .behaviour
                    .truncates_events
                    .store(true, Ordering::Relaxed);
                let well = Later::EngineWell {
                    at: *at,
                    from_ms: now_ms,
                };
                self.later.push((now_ms + lasts_ms, well));
            }
        }
    }

    fn stop(&mut self, at: usize, now_ms: u64) {
        self.history.stops.push((at, now_ms));
        match self.soak.plant {
            Some(Plant::Cut) => self.boxes[at].kill(),
            _ => self.boxes[at].signal("TERM"),
        }
        self.stopping[at] = Some(now_ms);
    }

    fn change_file(&mut self, at: usize, change: FileChange, hangs_up: bool, now_ms: u64) {
        self.files += 1;
        self.boxes[at].change_file(change, self.files);
        let good_in_ms = match change {
            FileChange::Good | FileChange::None => None,
            FileChange::Half => Some(HALF_MS),
            FileChange::Bad | FileChange::Away => Some(BAD_MS),
        };
        if let Some(in_ms) = good_in_ms {
            self.later.push((now_ms + in_ms, Later::GoodFile(at)));
        }
        if hangs_up {
            self.boxes[at].signal("HUP");
        }
    }

    fn evacuate(&mut self, place: &'static str, lasts_ms: u64, now_ms: u64) {
        let is_back = |later: &(u64, Later)| matches!(later.1, Later::TakeBack(_));
        if self.later.iter().any(is_back) {
            return;
        }
        if self.soak.plant != Some(Plant::Evacuation) {
            self.store.evacuate(place);
        }
        self.history.evacuated.push(Evacuated {
            data_centre: place,
            from_ms: now_ms,
            until_ms: now_ms + lasts_ms,
        });
        self.later.push((now_ms + lasts_ms, Later::TakeBack(place)));
    }

    pub(crate) fn trouble_store(&mut self, at: Option<usize>, trouble: store::StoreFault) {
        let boxes = self.boxes.iter().enumerate();
        let doors = boxes.filter(|(other, _)| at.is_none_or(|at| at == *other));
        doors.for_each(|(_, one)| one.door.set(trouble));
    }

    /// Declares the same again, under a higher version.
    fn declare(&mut self) {
        self.version += 1;
        self.store
            .configure_toggled_key(self.version, self.key_holds);
    }

    fn toggle_key(&mut self) {
        self.key_holds = !self.key_holds;
        if self.soak.plant != Some(Plant::Config) {
            self.declare();
        }
        self.note_key();
    }

    fn come(&mut self, later: Later, now_ms: u64) -> miette::Result<()> {
        match later {
            Later::StartBox(at) => self.boxes[at].start()?,
            Later::Resume { at, from_ms } => {
                self.boxes[at].signal("CONT");
                self.disturb(Trouble::Broken, Some(at), from_ms, now_ms);
            }
            Later::StoreWell { at, from_ms } => {
                self.trouble_store(at, store::StoreFault::None);
                self.disturb(Trouble::Store, at, from_ms, now_ms);
            }
            Later::PartitionHeals { boxes, from_ms } => {
                self.set_partition(None);
                // What a cut box's callers send reaches targets through other boxes.
                boxes
                    .iter()
                    .for_each(|at| self.disturb(Trouble::Broken, Some(*at), from_ms, now_ms));
            }
            Later::FatalPartEnds(callers) => self.history.fatal_calls.extend(callers.end()),
            Later::LinkWell(at) => self.plain[at].link.set(link::LinkFault::None),
            Later::EngineWell { at, from_ms } => {
                self.engines[at]
                    .behaviour
                    .truncates_events
                    .store(false, Ordering::Relaxed);
                self.history.crashes.push((from_ms, now_ms));
            }
            Later::ListTarget(instance) => self.list_leaving(&instance),
            Later::LateWrite(instance, former) => self.write(&instance, former),
            Later::WriteAgain(instance) => {
                if let Some(entry) = self.entries.get(&instance).copied() {
                    self.list(&instance, entry);
                }
            }
            Later::GoodFile(at) => self.boxes[at].write_file(),
            Later::AnnounceNothing(record) => record.set_extra_headers(&[]),
            Later::ForgetActs(record) => record.clear_behaviours(),
            Later::TakeBack(place) => {
                // What the check allows again from then on may be sent a moment later.
                if let Some(evacuated) = self.history.evacuated.last_mut() {
                    evacuated.until_ms = evacuated.until_ms.min(now_ms);
                }
                self.store.cancel_evacuation(place);
            }
            Later::StoreGoes => self.trouble_store(None, store::StoreFault::Reset),
            Later::StoreBack {
                from_ms,
                age_ms,
                again_ms,
            } => self.store_back(from_ms, age_ms, again_ms, now_ms),
            Later::AllAgain { from_ms } => self.write_all_again(from_ms, now_ms),
            Later::TargetGone(at) => {
                let instance = self.retired[at].target.instance.clone();
                self.unlist(&instance);
            }
            Later::EngineGone(at) => {
                let instance = self.retired_engines[at].instance.clone();
                self.unlist(&instance);
            }
        }
        Ok(())
    }

    /// Kills all boxes, starts them again, and sees whether they serve.
    fn lose_all(&mut self) -> miette::Result<()> {
        let lost_ms = self.now_ms();
        self.boxes.iter_mut().for_each(BoxProcess::kill);
        for plain in &self.plain {
            plain.target.recorder.clear_behaviours();
        }
        let until_ms = lost_ms + RECOVERY_MS + self.soak.slack_ms;
        self.disturb(Trouble::Broken, None, lost_ms, until_ms);
        std::thread::sleep(Duration::from_millis(RESTART_MS));
        if self.soak.plant != Some(Plant::Recovery) {
            for one in &mut self.boxes {
                one.start()?;
            }
        }
        let until = Instant::now() + Duration::from_millis(RECOVERY_MS + self.soak.slack_ms);
        let mut in_a_row = 0;
        while in_a_row < SERVED_IN_A_ROW && Instant::now() < until {
            let served = self.boxes.iter().all(|one| is_served(one.callers));
            in_a_row = if served { in_a_row + 1 } else { 0 };
            std::thread::sleep(LOOK_EACH);
        }
        self.history.served_again = in_a_row >= SERVED_IN_A_ROW;
        Ok(())
    }
}
