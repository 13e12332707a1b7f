//! Plays one run: a platform in small, boxes as processes, callers, and the plan of a seed.

use crate::boxes::{BoxProcess, Common, free_addresses};
use crate::callers::Callers;
use crate::checks::{RESEND_SHARE, RESEND_SPARE, check};
use crate::history::{
    Arrival, Disturbed, History, KeyChange, Kind, Leaving, Outcome, Report, Trouble,
};
use crate::plan::{Sizes, Step, Timed, plan};
use crate::plant::Plant;
use fleet::caller::{Caller, fresh_id, plain};
use fleet::config::toggled;
use fleet::engine::{EngineTarget, Fabric};
use fleet::link::{self, Link};
use fleet::store::{self, Store};
use fleet::target::{Act, Record, Target};
use miette::{IntoDiagnostic, miette};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How often the world is looked over.
const LOOK_EACH: Duration = Duration::from_millis(10);
/// Longest time for the first boxes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Pause between the end of a box and its next start.
const RESTART_MS: u64 = 300;
/// A target that leaves serves on for this long.
const SERVES_ON_MS: u64 = 4_500;
/// How much later the store is told that a target leaves, where that is planted.
const PLANTED_LATE_MS: u64 = 4_000;
/// After the loss of all boxes calls are served within this time.
const RECOVERY_MS: u64 = 12_000;
/// Calls in a row that count as served again.
const SERVED_IN_A_ROW: usize = 5;
/// Events of a stream, and the pause between them.
const EVENTS: u32 = 40;
const EVENT_PAUSE_MS: u32 = 10;
/// Acts that a target is given where it breaks its word throughout.
const PLANTED_ACTS: usize = 50_000;
/// A stopping box ends within its grace; longer, and it hangs.
const STOP_LIMIT_MS: u64 = 10_000;

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
    /// A promise that is broken on purpose.
    pub plant: Option<Plant>,
}

/// Plays the run of a seed.
///
/// # Errors
/// The world could not be set up; that says nothing of the promises.
pub fn play(soak: &Soak, seed: u64) -> miette::Result<Report> {
    let folder = soak.folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder).into_diagnostic()?;
    let sizes = Sizes {
        boxes: soak.boxes,
        targets: 3,
        engines: 3,
        span_ms: soak.span_ms,
    };
    let steps = plan(seed, sizes);
    let mut world = World::start(soak, &folder, sizes)?;
    let callers = Callers::start(soak.callers, &world.addresses(), seed, world.began);
    world.play(&steps)?;
    world.lose_all()?;
    let (calls, unreadable) = callers.end();
    let mut history = world.end();
    history.calls = calls;
    history.unreadable = unreadable;
    let broken = check(&history);
    let served = history.calls.iter().filter(
        |call| matches!(&call.outcome, Outcome::Answered(got) if got.status == 200 && got.whole),
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
        steps: steps.iter().map(in_words).collect(),
        broken,
        logs,
    })
}

fn in_words(timed: &Timed) -> String {
    format!("{} ms: {:?}", timed.at_ms, timed.step)
}

/// Something that ends, or comes, at a time.
enum Later {
    StartBox(usize),
    Resume { at: usize, from_ms: u64 },
    StoreWell { at: Option<usize>, from_ms: u64 },
    LinkWell(usize),
    EngineWell { at: usize, from_ms: u64 },
    ListTarget(String, &'static str, SocketAddr),
    TargetGone(usize),
    EngineGone(usize),
}

struct Plain {
    target: Target,
    link: Link,
}

struct World<'a> {
    soak: &'a Soak,
    began: Instant,
    store: Store,
    version: u64,
    key_holds: bool,
    boxes: Vec<BoxProcess>,
    stopping: Vec<Option<u64>>,
    plain: Vec<Plain>,
    engines: Vec<EngineTarget>,
    fabric: Fabric,
    started: usize,
    records: Vec<(Record, bool)>,
    retired: Vec<Plain>,
    retired_engines: Vec<EngineTarget>,
    later: Vec<(u64, Later)>,
    history: History,
}

impl<'a> World<'a> {
    fn start(soak: &'a Soak, folder: &Path, sizes: Sizes) -> miette::Result<Self> {
        let store = Store::default();
        store.put("op/config", &toggled(1, true));
        let addresses: Result<Vec<Vec<SocketAddr>>, _> =
            (0..sizes.boxes).map(|_| free_addresses(3)).collect();
        let addresses = addresses?;
        let seeds: Vec<SocketAddr> = addresses.iter().filter_map(|a| a.get(2).copied()).collect();
        let loose = soak.plant == Some(Plant::Budget);
        let common = Common {
            program: &soak.program,
            folder,
            seeds: &seeds,
            resend_share: if loose { 1.0 } else { RESEND_SHARE },
            resend_spare: if loose { 50_000.0 } else { RESEND_SPARE },
        };
        let boxes: Result<Vec<BoxProcess>, _> = addresses
            .iter()
            .enumerate()
            .map(|(at, addresses)| {
                BoxProcess::new(&format!("box-{at}"), addresses, &store, &common)
            })
            .collect();
        let mut world = Self {
            soak,
            began: Instant::now(),
            store,
            version: 1,
            key_holds: true,
            boxes: boxes?,
            stopping: vec![None; sizes.boxes],
            plain: Vec::new(),
            engines: Vec::new(),
            fabric: Fabric::default(),
            started: 0,
            records: Vec::new(),
            retired: Vec::new(),
            retired_engines: Vec::new(),
            later: Vec::new(),
            history: History {
                events: EVENTS,
                slack_ms: soak.slack_ms,
                ..History::default()
            },
        };
        for _ in 0..sizes.targets {
            let plain = world.new_target();
            world.plain.push(plain);
        }
        for _ in 0..sizes.engines {
            let engine = world.new_engine();
            world.engines.push(engine);
        }
        for one in &mut world.boxes {
            one.start()?;
        }
        let until = Instant::now() + READY_LIMIT;
        while !world.boxes.iter().all(BoxProcess::is_ready) {
            if Instant::now() > until {
                return Err(miette!("the boxes were not ready in {READY_LIMIT:?}"));
            }
            std::thread::sleep(LOOK_EACH);
        }
        world.began = Instant::now();
        world.note_key();
        Ok(world)
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|one| one.callers).collect()
    }

    fn name(&mut self, kind: &str) -> String {
        self.started += 1;
        format!("{kind}-{}", self.started)
    }

    fn new_target(&mut self) -> Plain {
        let target = Target::start(&self.name("t"));
        let planted = match self.soak.plant {
            Some(Plant::Twice) => Some(Act::RunsTwice),
            Some(Plant::NotRun) => Some(Act::DeniesRun),
            Some(Plant::Mixed) => Some(Act::OtherBody),
            Some(Plant::Budget) => Some(Act::Fails),
            _ => None,
        };
        if let Some(act) = planted {
            target.record.will(&vec![act; PLANTED_ACTS]);
        }
        let link = Link::start(target.address);
        self.store
            .list_target(&target.instance, "records", link.address, "ready");
        self.records.push((target.record.clone(), false));
        Plain { target, link }
    }

    fn new_engine(&mut self) -> EngineTarget {
        let engine = EngineTarget::start(&self.name("e"), &self.fabric);
        let pace = &engine.pace;
        pace.events.store(EVENTS, Ordering::Relaxed);
        pace.pause_ms.store(EVENT_PAUSE_MS, Ordering::Relaxed);
        let is = |plant| self.soak.plant == Some(plant);
        pace.skips.store(is(Plant::Order), Ordering::Relaxed);
        pace.runs_twice.store(is(Plant::TwoRuns), Ordering::Relaxed);
        self.store
            .list_target(&engine.instance, "model", engine.address, "ready");
        self.records.push((engine.record.clone(), true));
        engine
    }

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
        while let Some(at) = self.later.iter().position(|(due_ms, _)| *due_ms <= now_ms) {
            let (_, later) = self.later.swap_remove(at);
            self.come(later, now_ms)?;
        }
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

    fn disturb(&mut self, trouble: Trouble, at: Option<usize>, from_ms: u64, to_ms: u64) {
        self.history.disturbed.push(Disturbed {
            trouble,
            at,
            from_ms,
            to_ms,
        });
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
            Step::Reload { at } if self.is_free(*at) => self.boxes[*at].signal("HUP"),
            Step::Kill { .. } | Step::Stop { .. } | Step::Pause { .. } | Step::Reload { .. } => {}
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
            Step::Compact => self.store.compact(),
            Step::ToggleKey => self.toggle_key(),
            Step::Storm { changes } => (0..*changes).for_each(|_| self.declare()),
            Step::TargetLeaves { at } => self.target_leaves(*at, now_ms),
            Step::Acts { at, acts } => self.plain[*at].target.record.will(acts),
            Step::Link {
                at,
                trouble,
                lasts_ms,
            } => {
                self.plain[*at].link.set(*trouble);
                self.later.push((now_ms + lasts_ms, Later::LinkWell(*at)));
            }
            Step::EngineLeaves { at } => self.engine_leaves(*at, now_ms),
            Step::EngineCrash { at, lasts_ms } => {
                self.engines[*at]
                    .pace
                    .crashed
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

    fn trouble_store(&mut self, at: Option<usize>, trouble: store::Trouble) {
        let boxes = self.boxes.iter().enumerate();
        let doors = boxes.filter(|(other, _)| at.is_none_or(|at| at == *other));
        doors.for_each(|(_, one)| one.door.set(trouble));
    }

    /// Declares the same again, under a higher version.
    fn declare(&mut self) {
        self.version += 1;
        let text = toggled(self.version, self.key_holds);
        self.store.put("op/config", &text);
    }

    fn toggle_key(&mut self) {
        self.key_holds = !self.key_holds;
        if self.soak.plant != Some(Plant::Config) {
            self.declare();
        }
        self.note_key();
    }

    fn note_key(&mut self) {
        let change = KeyChange {
            holds: self.key_holds,
            told_ms: self.now_ms(),
        };
        self.history.key_changes.push(change);
    }

    /// Has a target leave, in the store's words or, where that is planted, only in the history's.
    fn say_leaving(&mut self, instance: &str, service: &'static str, address: SocketAddr) {
        let now_ms = self.now_ms();
        self.history.leaving.push(Leaving {
            target: instance.to_owned(),
            told_ms: now_ms,
        });
        if self.soak.plant == Some(Plant::LateWork) {
            let later = Later::ListTarget(instance.to_owned(), service, address);
            self.later.push((now_ms + PLANTED_LATE_MS, later));
        } else {
            self.store
                .list_target(instance, service, address, "draining");
        }
    }

    fn target_leaves(&mut self, at: usize, now_ms: u64) {
        let fresh = self.new_target();
        let old = std::mem::replace(&mut self.plain[at], fresh);
        let instance = old.target.instance.clone();
        self.say_leaving(&instance, "records", old.link.address);
        self.retired.push(old);
        let gone = Later::TargetGone(self.retired.len() - 1);
        self.later.push((now_ms + SERVES_ON_MS, gone));
    }

    fn engine_leaves(&mut self, at: usize, now_ms: u64) {
        let fresh = self.new_engine();
        let old = std::mem::replace(&mut self.engines[at], fresh);
        let instance = old.instance.clone();
        self.say_leaving(&instance, "model", old.address);
        self.retired_engines.push(old);
        let gone = Later::EngineGone(self.retired_engines.len() - 1);
        self.later.push((now_ms + SERVES_ON_MS, gone));
    }

    fn come(&mut self, later: Later, now_ms: u64) -> miette::Result<()> {
        match later {
            Later::StartBox(at) => self.boxes[at].start()?,
            Later::Resume { at, from_ms } => {
                self.boxes[at].signal("CONT");
                self.disturb(Trouble::Broken, Some(at), from_ms, now_ms);
            }
            Later::StoreWell { at, from_ms } => {
                self.trouble_store(at, store::Trouble::None);
                self.disturb(Trouble::Store, at, from_ms, now_ms);
            }
            Later::LinkWell(at) => self.plain[at].link.set(link::Trouble::None),
            Later::EngineWell { at, from_ms } => {
                self.engines[at]
                    .pace
                    .crashed
                    .store(false, Ordering::Relaxed);
                self.history.crashes.push((from_ms, now_ms));
            }
            Later::ListTarget(instance, service, address) => {
                self.store
                    .list_target(&instance, service, address, "draining");
            }
            Later::TargetGone(at) => {
                let instance = self.retired[at].target.instance.clone();
                self.store.remove(&format!("servers/{instance}"));
            }
            Later::EngineGone(at) => {
                let instance = self.retired_engines[at].instance.clone();
                self.store.remove(&format!("servers/{instance}"));
            }
        }
        Ok(())
    }

    /// Kills all boxes, starts them again, and sees whether they serve.
    fn lose_all(&mut self) -> miette::Result<()> {
        let lost_ms = self.now_ms();
        self.boxes.iter_mut().for_each(BoxProcess::kill);
        for plain in &self.plain {
            plain.target.record.forget_acts();
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

    fn end(mut self) -> History {
        self.boxes.iter_mut().for_each(BoxProcess::kill);
        let mut history = std::mem::take(&mut self.history);
        for (record, is_engine) in &self.records {
            for seen in record.seen() {
                let kind = match (is_engine, seen.path.starts_with("/unsafe/")) {
                    (true, _) => Kind::Stream,
                    (false, true) => Kind::Once,
                    (false, false) => Kind::Repeatable,
                };
                history.arrivals.push(Arrival {
                    id: seen.id,
                    target: seen.target,
                    kind,
                    at_ms: seen.at.saturating_duration_since(self.began).as_millis() as u64,
                    ran: seen.ran,
                });
            }
        }
        history.arrivals.sort_by_key(|arrival| arrival.at_ms);
        history
    }
}

/// Whether a box serves a call now.
fn is_served(address: SocketAddr) -> bool {
    let channel = Caller::try_open_for(address, Duration::from_secs(2));
    let answer = channel.and_then(|mut channel| {
        let sent = channel.try_send(&plain(&fresh_id(), "/safe/x", "", ""));
        sent.then(|| channel.answer()).flatten()
    });
    answer.is_some_and(|got| got.status < 500)
}
