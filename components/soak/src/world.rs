//! The world of one run: a platform in small, and boxes as processes.

use crate::boxes::{BoxProcess, Common, box_at, free_addresses};
use crate::budget::{RESEND_SHARE, RESEND_SHARE_IN_REFUSALS, RESEND_SPARE};
use crate::fatal_part::FatalCallers;
use crate::history::{Arrival, Disturbed, History, KeyChange, Kind, Trouble};
use crate::plan::{PLACES, Sizes};
use crate::plant::Plant;
use crate::play::Soak;
use fleet::engine::{CopyRegistry, EngineTarget};
use fleet::link::{Link, Partition};
use fleet::store::{Store, StoreSnapshot};
use fleet::target::{Behaviour, RequestRecorder, Target};
use miette::miette;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How often the world is looked over.
pub(crate) const LOOK_EACH: Duration = Duration::from_millis(10);
/// Longest time for the first boxes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Events of a stream, and the pause between them.
const EVENTS: u32 = 40;
const EVENT_PAUSE_MS: u32 = 10;
/// Acts that a target is given where it breaks its word throughout.
const PLANTED_ACTS: usize = 50_000;

/// The pause for which targets do not ask, where that is planted.
const PLANTED_PAUSE_MS: u64 = 7_000;

/// Something that ends, or comes, at a time.
pub(crate) enum Later {
    StartBox(usize),
    Resume {
        at: usize,
        from_ms: u64,
    },
    StoreWell {
        at: Option<usize>,
        from_ms: u64,
    },
    LinkWell(usize),
    /// No more requests with a part that crashes engines come.
    FatalPartEnds(FatalCallers),
    /// Boxes reach the targets again.
    PartitionHeals {
        boxes: Vec<usize>,
        from_ms: u64,
    },
    EngineWell {
        at: usize,
        from_ms: u64,
    },
    ListTarget(String),
    /// A former process writes its entry, which was on its way.
    LateWrite(String, Entry),
    /// The entry is written again as it is.
    WriteAgain(String),
    TargetGone(usize),
    EngineGone(usize),
    GoodFile(usize),
    /// A target announces nothing any more.
    AnnounceNothing(RequestRecorder),
    /// A target does what it was to do no more.
    ForgetActs(RequestRecorder),
    TakeBack(&'static str),
    /// The store goes away.
    StoreGoes,
    /// The store comes back from a copy, that old at a time.
    StoreBack {
        from_ms: u64,
        age_ms: u64,
        again_ms: u64,
    },
    /// Operators and targets write again what they had written.
    AllAgain {
        from_ms: u64,
    },
}

/// What a target writes of itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub life: u64,
    pub service: &'static str,
    pub address: SocketAddr,
    pub state: &'static str,
}

/// What a life of a target saw.
pub(crate) struct Kept {
    record: RequestRecorder,
    is_engine: bool,
    life: u64,
}

/// A plain target behind its link.
pub(crate) struct Plain {
    pub target: Target,
    pub link: Link,
}

/// All that one run has.
pub(crate) struct World<'a> {
    pub soak: &'a Soak,
    pub began: Instant,
    pub store: Store,
    /// Copies of the store, the latest last, with their times.
    pub copies: VecDeque<(u64, StoreSnapshot)>,
    pub version: u64,
    pub key_holds: bool,
    pub boxes: Vec<BoxProcess>,
    pub stopping: Vec<Option<u64>>,
    pub plain: Vec<Plain>,
    /// Boxes that are cut off from the plain targets.
    pub partition: Option<Partition>,
    pub engines: Vec<EngineTarget>,
    pub fabric: CopyRegistry,
    pub started: usize,
    pub records: Vec<Kept>,
    /// What targets that are listed write of themselves.
    pub entries: HashMap<String, Entry>,
    pub retired: Vec<Plain>,
    pub retired_engines: Vec<EngineTarget>,
    pub later: Vec<(u64, Later)>,
    /// When the world was last looked over.
    pub looked_ms: u64,
    /// Settings files that were changed.
    pub files: u64,
    pub history: History,
}

impl<'a> World<'a> {
    pub(crate) fn start(soak: &'a Soak, folder: &Path, sizes: Sizes) -> miette::Result<Self> {
        let store = Store::default();
        store.configure_toggled_key(1, true);
        if soak.plant == Some(Plant::Era) {
            store.hide_era();
        }
        let addresses: Result<Vec<Vec<SocketAddr>>, _> =
            (0..sizes.boxes).map(|_| free_addresses(3)).collect();
        let addresses = addresses?;
        let seeds: Vec<SocketAddr> = addresses.iter().filter_map(|a| a.get(2).copied()).collect();
        let loose = soak.plant == Some(Plant::Budget);
        let common = Common {
            program: &soak.program,
            folder,
            seeds: &seeds,
            resend_share: match (loose, soak.has_refusals) {
                (true, _) => 1.0,
                (false, true) => RESEND_SHARE_IN_REFUSALS,
                (false, false) => RESEND_SHARE,
            },
            resend_spare: if loose { 50_000.0 } else { RESEND_SPARE },
            without: match soak.plant {
                Some(Plant::FatalPart) => &["quarantine"],
                _ => &[],
            },
        };
        let boxes: Result<Vec<BoxProcess>, _> = addresses
            .iter()
            .enumerate()
            .map(|(at, addresses)| BoxProcess::new(at, addresses, &store, &common))
            .collect();
        let mut world = Self {
            soak,
            began: Instant::now(),
            store,
            copies: VecDeque::new(),
            version: 1,
            key_holds: true,
            boxes: boxes?,
            stopping: vec![None; sizes.boxes],
            partition: None,
            plain: Vec::new(),
            engines: Vec::new(),
            fabric: CopyRegistry::default(),
            started: 0,
            records: Vec::new(),
            entries: HashMap::new(),
            retired: Vec::new(),
            retired_engines: Vec::new(),
            later: Vec::new(),
            looked_ms: 0,
            files: 0,
            history: History {
                has_refusals: soak.has_refusals,
                events: EVENTS,
                slack_ms: soak.slack_ms,
                ..History::default()
            },
        };
        for _ in 0..sizes.targets {
            let name = world.name("t");
            let plain = world.start_target(&name);
            world.plain.push(plain);
        }
        for _ in 0..sizes.engines {
            let name = world.name("e");
            let engine = world.start_engine(&name);
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

    pub(crate) fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.boxes.iter().map(|one| one.callers).collect()
    }

    pub(crate) fn name(&mut self, kind: &str) -> String {
        self.started += 1;
        format!("{kind}-{}", self.started)
    }

    /// Cuts boxes off from all plain targets, or none.
    pub(crate) fn set_partition(&mut self, partition: Option<Partition>) {
        for plain in self.plain.iter().chain(&self.retired) {
            plain.link.set_partition(partition.clone());
        }
        self.partition = partition;
    }

    /// Starts a life of a plain target, and lists it.
    pub(crate) fn start_target(&mut self, instance: &str) -> Plain {
        let target = Target::start(instance);
        let planted = match self.soak.plant {
            Some(Plant::Twice) => Some(Behaviour::RunsTwice),
            Some(Plant::NotRun) => Some(Behaviour::DeniesRun),
            Some(Plant::Mixed) => Some(Behaviour::OtherBody),
            Some(Plant::Budget) => Some(Behaviour::Fails),
            Some(Plant::Pause) => Some(Behaviour::ShedsUntold(PLANTED_PAUSE_MS)),
            _ => None,
        };
        if let Some(act) = planted {
            target.recorder.queue_behaviours(&vec![act; PLANTED_ACTS]);
        }
        let link = Link::start(target.address);
        link.set_partition(self.partition.clone());
        let life = self.begin_life(instance, "records", link.address);
        self.plant_announcements(instance, life, &target.recorder);
        self.records.push(Kept {
            record: target.recorder.clone(),
            is_engine: false,
            life,
        });
        Plain { target, link }
    }

    /// Starts a life of an engine, and lists it.
    pub(crate) fn start_engine(&mut self, instance: &str) -> EngineTarget {
        let engine = EngineTarget::start(instance, &self.fabric);
        let pace = &engine.behaviour;
        pace.event_count.store(EVENTS, Ordering::Relaxed);
        pace.event_interval_ms
            .store(EVENT_PAUSE_MS, Ordering::Relaxed);
        let is = |plant| self.soak.plant == Some(plant);
        pace.skips_third_event
            .store(is(Plant::Order), Ordering::Relaxed);
        let is_unframed = self.soak.has_lost_orders && self.started.is_multiple_of(2);
        pace.is_unframed.store(is_unframed, Ordering::Relaxed);
        pace.runs_twice.store(is(Plant::TwoRuns), Ordering::Relaxed);
        let life = self.begin_life(instance, "model", engine.address);
        self.records.push(Kept {
            record: engine.recorder.clone(),
            is_engine: true,
            life,
        });
        engine
    }

    /// Lists the next life under a name, and says which it is.
    fn begin_life(&mut self, instance: &str, service: &'static str, address: SocketAddr) -> u64 {
        let life = self
            .entries
            .get(instance)
            .map_or(1, |former| former.life + 1);
        let entry = Entry {
            life,
            service,
            address,
            state: "ready",
        };
        self.list(instance, entry);
        life
    }

    /// Lists a target where it stands; a new one stands in the next data centre in turn.
    pub(crate) fn list(&mut self, instance: &str, entry: Entry) {
        let now_ms = self.now_ms();
        let garbled = self.history.garbled.iter_mut();
        for garbled in garbled.filter(|garbled| garbled.target == instance) {
            garbled.until_ms = garbled.until_ms.min(now_ms);
        }
        self.entries.insert(instance.to_owned(), entry);
        self.write(instance, entry);
    }

    /// Writes an entry as the life's own process does.
    pub(crate) fn write(&mut self, instance: &str, entry: Entry) {
        let next = PLACES[self.history.places.len() % PLACES.len()];
        let place = *self.history.places.entry(instance.into()).or_insert(next);
        let born_ms = match self.soak.plant {
            Some(Plant::Lives) => 1,
            _ => entry.life,
        };
        let Entry {
            service,
            address,
            state,
            ..
        } = entry;
        self.store
            .register_incarnation(place, (instance, born_ms), service, address, state);
    }

    /// Has a target say that it leaves, as far as the store hears of it.
    pub(crate) fn list_leaving(&mut self, instance: &str) {
        if let Some(entry) = self.entries.get(instance).copied() {
            let state = "draining";
            self.list(instance, Entry { state, ..entry });
        }
    }

    pub(crate) fn disturb(
        &mut self,
        trouble: Trouble,
        at: Option<usize>,
        from_ms: u64,
        to_ms: u64,
    ) {
        self.history.disturbed.push(Disturbed {
            trouble,
            at,
            from_ms,
            to_ms,
        });
    }

    pub(crate) fn note_key(&mut self) {
        let change = KeyChange {
            holds: self.key_holds,
            told_ms: self.now_ms(),
        };
        self.history.key_changes.push(change);
    }

    pub(crate) fn end(mut self) -> History {
        self.boxes.iter_mut().for_each(BoxProcess::kill);
        let mut history = std::mem::take(&mut self.history);
        for kept in &self.records {
            for seen in kept.record.requests() {
                let kind = match (kept.is_engine, seen.path.starts_with("/unsafe/")) {
                    (true, _) => Kind::Stream,
                    (false, true) => Kind::Once,
                    (false, false) => Kind::Repeatable,
                };
                history.arrivals.push(Arrival {
                    id: seen.id,
                    target: seen.target,
                    life: kept.life,
                    kind,
                    at_ms: seen
                        .received_at
                        .saturating_duration_since(self.began)
                        .as_millis() as u64,
                    ran: seen.has_run,
                    pause_ms: seen.pause_ms,
                    from_box: box_at(seen.client),
                });
            }
        }
        history.arrivals.sort_by_key(|arrival| arrival.at_ms);
        history
    }
}
