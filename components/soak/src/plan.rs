//! What is done in one run, drawn from its seed: the same plan for the same seed.

use fleet::copy_faults::{CopyAnswer, CopyFault};
use fleet::link;
use fleet::refusals::{Refusal, StrayRefusal};
use fleet::store;
use fleet::target::Behaviour;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// When the first fault comes.
const FIRST_MS: u64 = 800;
/// Faults of one run.
const STEPS: std::ops::RangeInclusive<usize> = 9..=16;
/// Longest time that a fault lasts.
const LASTS_MS: std::ops::RangeInclusive<u64> = 300..=2_500;

/// How a settings file changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileChange {
    /// It says something new.
    Good,
    /// It says what cannot be; the last good one comes back after a time.
    Bad,
    /// Half of it is written, and the other half a moment later.
    Half,
    /// It is away for a time.
    Away,
    /// It does not change.
    None,
}

/// The data centres in which targets stand.
pub(crate) const PLACES: [&str; 2] = ["hall", "annex"];
/// How long a data centre stays evacuated, or an entry unreadable: longer than the bound for it.
const EVACUATED_MS: std::ops::RangeInclusive<u64> = 3_000..=6_000;

/// Announcements of one run.
const ANNOUNCEMENTS: std::ops::RangeInclusive<usize> = 4..=8;
/// How long a rate limit is announced: longer than boxes may take to know it, and the span in which it is checked.
const LIMITED_MS: std::ops::RangeInclusive<u64> = 7_000..=11_000;
/// How much later than its answers the store says that a target leaves.
const STORE_LATE_MS: std::ops::RangeInclusive<u64> = 2_500..=6_000;
/// The pauses that targets ask for, and for how long they do.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 1_500..=7_000;
/// The random numbers of announcements.
const ANNOUNCEMENTS_STREAM: u64 = 1;
/// The same for partitions.
const PARTITIONS_STREAM: u64 = 2;
/// The same for prompt parts that crash engines.
const FATAL_PARTS_STREAM: u64 = 3;
/// The same for refusals.
const REFUSALS_STREAM: u64 = 4;
/// The same for engines that leave while answers to control calls are lost.
const LOST_ORDERS_STREAM: u64 = 5;
/// The same for refusals of which it is not plain whether the request ran.
const DOUBTFUL_STREAM: u64 = 6;
/// The same for boxes whose views grow old.
const STALE_VIEWS_STREAM: u64 = 7;
/// The time between two targets that begin with such refusals, and how many each sends.
const DOUBTFUL_EACH_MS: std::ops::RangeInclusive<u64> = 150..=600;
const DOUBTFUL: std::ops::RangeInclusive<usize> = 2..=8;
/// How long after its arrival such a request is refused, at times.
const DOUBTFUL_AFTER_MS: u64 = 400;
/// The time between two such engines, and how many calls of one are not answered as they should be.
const LOST_ORDERS_EACH_MS: std::ops::RangeInclusive<u64> = 500..=1_500;
const LOST_ORDERS: std::ops::RangeInclusive<usize> = 1..=4;
/// How long after its arrival such a call is carried out.
const CARRIED_OUT_AFTER_MS: std::ops::RangeInclusive<u64> = 0..=150;
/// How long plain targets refuse all calls, and the time between the kills meanwhile.
const REFUSALS_MS: std::ops::RangeInclusive<u64> = 5_000..=9_000;
const KILLS_EACH_MS: std::ops::RangeInclusive<u64> = 600..=2_500;
/// How long such a killed box is down.
const KILLED_MS: u64 = 200;
/// How long requests with such a part come.
const FATAL_PART_MS: std::ops::RangeInclusive<u64> = 7_000..=10_000;
/// How long boxes are cut off from the store while another one restarts, and the times between its starts.
const STORE_CUT_MS: std::ops::RangeInclusive<u64> = 4_000..=7_000;
const RESTARTS_EACH_MS: std::ops::RangeInclusive<u64> = 600..=1_100;
/// How long a box is down each time.
const RESTART_DOWN_MS: u64 = 250;
/// The time from the cut to the change of a key that the cut boxes miss.
const KEY_CHANGE_DELAY_MS: u64 = 200;
/// How long a partition lasts, and the time until the next.
const PARTITION_MS: std::ops::RangeInclusive<u64> = 300..=4_000;

/// What is done to the world.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// A box is killed, and started again after a time.
    Kill { at: usize, down_ms: u64 },
    /// A box is stopped by plan, and started again once it has ended.
    Stop { at: usize },
    /// A box is paused.
    Pause { at: usize, lasts_ms: u64 },
    /// The settings file of a box changes.
    Settings {
        at: usize,
        change: FileChange,
        /// It is told by a signal.
        hangs_up: bool,
    },
    /// A data centre is evacuated, and taken back after a time.
    Evacuate { place: usize, lasts_ms: u64 },
    /// The store has trouble, for one box or for all.
    Store {
        at: Option<usize>,
        trouble: store::StoreFault,
        lasts_ms: u64,
    },
    /// The store forgets its history.
    Compact,
    /// The store is away, comes back from a copy that is so old, and what operators and targets wrote is written again later.
    Restore {
        age_ms: u64,
        away_ms: u64,
        again_ms: u64,
    },
    /// The operator takes a key away, or gives it back.
    ToggleKey,
    /// Operators change what changes nothing, several times in a row.
    Storm { changes: u64 },
    /// A plain target leaves, and another comes.
    TargetLeaves { at: usize },
    /// A plain target does these with its next requests.
    Acts { at: usize, acts: Vec<Behaviour> },
    /// The link before a plain target has trouble.
    Link {
        at: usize,
        trouble: link::LinkFault,
        lasts_ms: u64,
    },
    /// Boxes are cut off from all plain targets, while callers, the store and the other boxes reach them.
    Partition {
        boxes: Vec<usize>,
        mode: link::PartitionMode,
        lasts_ms: u64,
    },
    /// Requests with a prompt part that crashes engines come for a time.
    FatalPart { lasts_ms: u64 },
    /// All plain targets refuse all calls for a time.
    Refusals { lasts_ms: u64 },
    /// A target's next answers are refusals, or look like some.
    DoubtfulRefusals {
        at: usize,
        is_engine: bool,
        acts: Vec<Behaviour>,
    },
    /// An engine leaves, and another comes.
    EngineLeaves { at: usize },
    /// The same, and its answers to the next calls that copy or stop a generation are lost, late or senseless.
    EngineLosesOrders {
        at: usize,
        copies: Vec<CopyFault>,
        stops: Vec<CopyFault>,
    },
    /// An engine breaks streams off within an event.
    EngineCrash { at: usize, lasts_ms: u64 },
    /// A plain target leaves, and starts again under its name at once.
    TargetRestarts { at: usize },
    /// The same for an engine. It is killed, or serves what it has.
    EngineRestarts { at: usize, killed: bool },
    /// The entry of a plain target cannot be read for a time.
    Garble { at: usize, lasts_ms: u64 },
    /// A plain target, or an engine, announces a rate limit for a time.
    Limit {
        at: usize,
        is_engine: bool,
        limit_tenths_per_s: u32,
        lasts_ms: u64,
    },
    /// A plain target says in its answers that it leaves, and the store hears of it late. Another comes.
    SaysItLeaves { at: usize, store_late_ms: u64 },
    /// A plain target turns all requests away for a time, and asks for a pause each time.
    Sheds {
        at: usize,
        pause_ms: u64,
        lasts_ms: u64,
    },
}

/// A step and when it comes, in milliseconds since the run began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Timed {
    pub at_ms: u64,
    pub step: Step,
}

/// How much there is of what.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizes {
    pub boxes: usize,
    pub targets: usize,
    pub engines: usize,
    pub span_ms: u64,
    /// Whether boxes are cut off from targets.
    pub has_partitions: bool,
    /// Whether a prompt part crashes engines.
    pub has_fatal_part: bool,
    /// Whether plain targets refuse calls while boxes are killed in series.
    pub has_refusals: bool,
    /// Whether engines leave while answers to control calls are lost.
    pub has_lost_orders: bool,
    /// Whether targets refuse requests so that it is not plain whether they ran.
    pub has_doubtful_refusals: bool,
    /// Whether most boxes are cut off from the store while another one restarts again and again.
    pub has_stale_views: bool,
}

/// The plan of a seed.
pub(crate) fn plan(seed: u64, sizes: Sizes) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let count = rng.random_range(STEPS);
    let mut steps: Vec<Timed> = (0..count)
        .map(|_| Timed {
            at_ms: rng.random_range(FIRST_MS..sizes.span_ms),
            step: step(&mut rng, sizes),
        })
        .collect();
    // Some faults come in a row: boxes are stopped one after another.
    if rng.random_bool(0.4) {
        let began_ms = rng.random_range(FIRST_MS..sizes.span_ms / 2);
        steps.extend((0..sizes.boxes).map(|at| Timed {
            at_ms: began_ms + at as u64 * 900,
            step: Step::Stop { at },
        }));
    }
    if rng.random_bool(0.5) {
        steps.extend(restore(&mut rng, sizes));
    }
    steps.extend(announcements(seed, sizes));
    if sizes.has_partitions {
        steps.extend(partitions(seed, sizes));
    }
    if sizes.has_fatal_part {
        steps.push(fatal_part(seed, sizes));
    }
    if sizes.has_refusals {
        steps.extend(refusals(seed, sizes));
    }
    if sizes.has_lost_orders {
        steps.extend(lost_orders(seed, sizes));
    }
    if sizes.has_doubtful_refusals {
        steps.extend(doubtful_refusals(seed, sizes));
    }
    if sizes.has_stale_views {
        steps.extend(stale_views(seed, sizes));
    }
    steps.sort_by_key(|timed| timed.at_ms);
    steps
}

/// All boxes but two are cut off from the store, so that their views grow old, while one of the two restarts or is paused again and
/// again, and a key changes; drawn apart from what else comes. The last box must see the change.
fn stale_views(seed: u64, sizes: Sizes) -> Vec<Timed> {
    use store::StoreFault::{Reset, Silent};
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(STALE_VIEWS_STREAM);
    let mut order: Vec<usize> = (0..sizes.boxes).collect();
    order.shuffle(&mut rng);
    let Some((restarted, cut)) = order[1..].split_first() else {
        return Vec::new();
    };
    let from_ms = rng.random_range(FIRST_MS..sizes.span_ms / 2);
    let lasts_ms = rng.random_range(STORE_CUT_MS);
    let trouble = *[Reset, Silent].choose(&mut rng).unwrap_or(&Reset);
    let cuts = cut.iter().map(|at| Step::Store {
        at: Some(*at),
        trouble,
        lasts_ms,
    });
    let mut steps: Vec<Timed> = cuts
        .map(|step| Timed {
            at_ms: from_ms,
            step,
        })
        .collect();
    steps.push(Timed {
        at_ms: from_ms + KEY_CHANGE_DELAY_MS,
        step: Step::ToggleKey,
    });
    let mut at_ms = from_ms;
    while at_ms < from_ms + lasts_ms {
        let step = match rng.random_bool(0.8) {
            true => Step::Kill {
                at: *restarted,
                down_ms: RESTART_DOWN_MS,
            },
            false => Step::Pause {
                at: *restarted,
                lasts_ms: RESTART_DOWN_MS,
            },
        };
        steps.push(Timed { at_ms, step });
        at_ms += rng.random_range(RESTARTS_EACH_MS);
    }
    steps
}

/// Targets send refusals that do not say whether the request ran, name no request, or contradict themselves; drawn apart from
/// what else comes.
fn doubtful_refusals(seed: u64, sizes: Sizes) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(DOUBTFUL_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = FIRST_MS;
    while at_ms < sizes.span_ms {
        let is_engine = rng.random_bool(0.5);
        let count = match is_engine {
            true => sizes.engines,
            false => sizes.targets,
        };
        let step = Step::DoubtfulRefusals {
            at: rng.random_range(0..count),
            is_engine,
            acts: doubtful_acts(&mut rng),
        };
        steps.push(Timed { at_ms, step });
        at_ms += rng.random_range(DOUBTFUL_EACH_MS);
    }
    steps
}

fn doubtful_acts(rng: &mut ChaCha8Rng) -> Vec<Behaviour> {
    let count = rng.random_range(DOUBTFUL);
    let act = |_| match rng.random_range(0..10) {
        0 => Behaviour::WellAfterStray(StrayRefusal::WithAnswer),
        1 | 2 => Behaviour::WellAfterStray(StrayRefusal::OnUsedConnection),
        _ => Behaviour::Refuses(doubtful_refusal(rng)),
    };
    (0..count).map(act).collect()
}

fn doubtful_refusal(rng: &mut ChaCha8Rng) -> Refusal {
    let status = *[408, 429, 500, 503, 504].choose(rng).unwrap_or(&503);
    let says_not_run = rng.random_bool(0.6);
    Refusal {
        status,
        says_not_run,
        is_signed: rng.random_bool(0.7),
        names_request: rng.random_bool(0.6),
        // A failure or time-out counts as run, whatever else is said.
        runs: !says_not_run || matches!(status, 500 | 504),
        after_ms: match rng.random_bool(0.3) {
            true => DOUBTFUL_AFTER_MS,
            false => 0,
        },
    }
}

/// Plain targets refuse calls, and nearly all boxes are killed again and again meanwhile; drawn apart from what else comes.
fn refusals(seed: u64, sizes: Sizes) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(REFUSALS_STREAM);
    let from_ms = rng.random_range(FIRST_MS..sizes.span_ms / 2);
    let lasts_ms = rng.random_range(REFUSALS_MS);
    let step = Step::Refusals { lasts_ms };
    let mut steps = vec![Timed {
        at_ms: from_ms,
        step,
    }];
    let mut at_ms = from_ms + rng.random_range(KILLS_EACH_MS);
    while at_ms < from_ms + lasts_ms {
        let count = (sizes.boxes * 9).div_ceil(10);
        let killed = rand::seq::index::sample(&mut rng, sizes.boxes, count);
        steps.extend(killed.into_iter().map(|at| Timed {
            at_ms,
            step: Step::Kill {
                at,
                down_ms: KILLED_MS,
            },
        }));
        at_ms += rng.random_range(KILLS_EACH_MS);
    }
    steps
}

/// Engines leave one after another while answers to control calls are lost; drawn apart from what else comes.
fn lost_orders(seed: u64, sizes: Sizes) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(LOST_ORDERS_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = FIRST_MS;
    while at_ms < sizes.span_ms {
        let step = Step::EngineLosesOrders {
            at: rng.random_range(0..sizes.engines),
            copies: copy_faults(&mut rng),
            stops: copy_faults(&mut rng),
        };
        steps.push(Timed { at_ms, step });
        at_ms += rng.random_range(LOST_ORDERS_EACH_MS);
    }
    steps
}

fn copy_faults(rng: &mut ChaCha8Rng) -> Vec<CopyFault> {
    use CopyAnswer::*;
    let all = [
        Close,
        Reset,
        Truncated,
        Garbage,
        Status(500),
        Status(503),
        Never,
    ];
    let count = rng.random_range(LOST_ORDERS);
    (0..count)
        .map(|_| CopyFault {
            answer: *all.choose(rng).unwrap_or(&Close),
            carried_out_after_ms: rng
                .random_bool(0.7)
                .then(|| rng.random_range(CARRIED_OUT_AFTER_MS)),
        })
        .collect()
}

/// Requests with a part that crashes engines, drawn apart from what else comes.
fn fatal_part(seed: u64, sizes: Sizes) -> Timed {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(FATAL_PARTS_STREAM);
    let step = Step::FatalPart {
        lasts_ms: rng.random_range(FATAL_PART_MS),
    };
    Timed {
        at_ms: rng.random_range(FIRST_MS..sizes.span_ms / 2),
        step,
    }
}

/// What targets announce of themselves in their answers, drawn apart from what else comes.
fn announcements(seed: u64, sizes: Sizes) -> Vec<Timed> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(ANNOUNCEMENTS_STREAM);
    let count = rng.random_range(ANNOUNCEMENTS);
    let announcement = |rng: &mut ChaCha8Rng| match rng.random_range(0..3) {
        0 => Step::SaysItLeaves {
            at: rng.random_range(0..sizes.targets),
            store_late_ms: rng.random_range(STORE_LATE_MS),
        },
        1 => Step::Sheds {
            at: rng.random_range(0..sizes.targets),
            pause_ms: rng.random_range(PAUSE_MS),
            lasts_ms: rng.random_range(PAUSE_MS),
        },
        _ => limit(rng, sizes),
    };
    (0..count)
        .map(|_| Timed {
            at_ms: rng.random_range(FIRST_MS..sizes.span_ms),
            step: announcement(&mut rng),
        })
        .collect()
}

/// Boxes that are cut off from targets, drawn apart from what else comes. They follow one another, so that links have one
/// partition at a time.
fn partitions(seed: u64, sizes: Sizes) -> Vec<Timed> {
    use link::PartitionMode::*;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(PARTITIONS_STREAM);
    let mut steps = Vec::new();
    let mut at_ms = rng.random_range(FIRST_MS..sizes.span_ms / 2);
    while at_ms < sizes.span_ms {
        let lasts_ms = rng.random_range(PARTITION_MS);
        let count = rng.random_range(1..=sizes.boxes);
        let step = Step::Partition {
            boxes: rand::seq::index::sample(&mut rng, sizes.boxes, count).into_vec(),
            mode: *[Drop, Reset, DropNew].choose(&mut rng).unwrap_or(&Drop),
            lasts_ms,
        };
        steps.push(Timed { at_ms, step });
        at_ms += lasts_ms + rng.random_range(PARTITION_MS);
    }
    steps
}

fn limit(rng: &mut ChaCha8Rng, sizes: Sizes) -> Step {
    let is_engine = rng.random_bool(0.3);
    let count = match is_engine {
        true => sizes.engines,
        false => sizes.targets,
    };
    Step::Limit {
        at: rng.random_range(0..count),
        is_engine,
        limit_tenths_per_s: rng.random_range(2..60),
        lasts_ms: rng.random_range(LIMITED_MS),
    }
}

/// The store comes back from a copy, perhaps twice, and then a target leaves and a data centre is evacuated.
fn restore(rng: &mut ChaCha8Rng, sizes: Sizes) -> Vec<Timed> {
    let mut at_ms = rng.random_range(FIRST_MS..sizes.span_ms / 2);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(1..=2) {
        let step = Step::Restore {
            age_ms: rng.random_range(200..2_500),
            away_ms: rng.random_range(100..1_000),
            again_ms: rng.random_range(100..1_500),
        };
        steps.push(Timed { at_ms, step });
        at_ms += rng.random_range(1_200..3_000);
    }
    let at = rng.random_range(0..sizes.targets);
    let leaves = Step::TargetLeaves { at };
    let place = rng.random_range(0..PLACES.len());
    let lasts_ms = *EVACUATED_MS.end();
    let evacuated = Step::Evacuate { place, lasts_ms };
    steps.extend([leaves, evacuated].map(|step| Timed { at_ms, step }));
    steps
}

fn step(rng: &mut ChaCha8Rng, sizes: Sizes) -> Step {
    let at = rng.random_range(0..sizes.boxes);
    let lasts_ms = rng.random_range(LASTS_MS);
    match rng.random_range(0..19) {
        0 => Step::Kill {
            at,
            down_ms: rng.random_range(100..1_500),
        },
        1 | 2 => Step::Stop { at },
        3 => Step::Pause { at, lasts_ms },
        4 | 14 => Step::Settings {
            at,
            change: file_change(rng),
            hangs_up: rng.random_bool(0.5),
        },
        15 => Step::Evacuate {
            place: rng.random_range(0..PLACES.len()),
            lasts_ms: rng.random_range(EVACUATED_MS),
        },
        5 | 6 => Step::Store {
            at: rng.random_bool(0.6).then_some(at),
            trouble: store_trouble(rng),
            lasts_ms,
        },
        7 => Step::Compact,
        8 => Step::ToggleKey,
        9 => Step::Storm {
            changes: rng.random_range(2..8),
        },
        10 => Step::TargetLeaves {
            at: rng.random_range(0..sizes.targets),
        },
        11 => Step::Acts {
            at: rng.random_range(0..sizes.targets),
            acts: acts(rng),
        },
        12 => Step::Link {
            at: rng.random_range(0..sizes.targets),
            trouble: link_trouble(rng),
            lasts_ms,
        },
        16 => Step::TargetRestarts {
            at: rng.random_range(0..sizes.targets),
        },
        17 => Step::EngineRestarts {
            at: rng.random_range(0..sizes.engines),
            killed: rng.random_bool(0.5),
        },
        18 => Step::Garble {
            at: rng.random_range(0..sizes.targets),
            lasts_ms: rng.random_range(EVACUATED_MS),
        },
        _ if rng.random_bool(0.5) => Step::EngineLeaves {
            at: rng.random_range(0..sizes.engines),
        },
        _ => Step::EngineCrash {
            at: rng.random_range(0..sizes.engines),
            lasts_ms,
        },
    }
}

fn store_trouble(rng: &mut ChaCha8Rng) -> store::StoreFault {
    use store::StoreFault::*;
    let slow = Slow(rng.random_range(20..300));
    let all = [Busy, Many, Reset, Silent, LosesWrites, slow];
    *all.choose(rng).unwrap_or(&Busy)
}

fn file_change(rng: &mut ChaCha8Rng) -> FileChange {
    use FileChange::*;
    let all = [Good, Bad, Half, Away, None];
    *all.choose(rng).unwrap_or(&Good)
}

fn link_trouble(rng: &mut ChaCha8Rng) -> link::LinkFault {
    use link::LinkFault::*;
    let late = Late(rng.random_range(5..120));
    let all = [late, Reset, Silent, OneWay];
    *all.choose(rng).unwrap_or(&Reset)
}

fn acts(rng: &mut ChaCha8Rng) -> Vec<Behaviour> {
    use Behaviour::*;
    let all = [
        Fails,
        Full,
        CutsOff,
        Unsigned,
        Twice,
        OtherFirst,
        Unframed,
        Mute,
        Closes,
        Garbage,
        Forgets,
        Slow(250),
    ];
    let count = rng.random_range(3..12);
    (0..count)
        .filter_map(|_| all.choose(rng).copied())
        .collect()
}

#[cfg(test)]
#[path = "plan_tests.rs"]
mod tests;
