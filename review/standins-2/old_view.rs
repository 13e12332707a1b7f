//! Both boxes that watch the store are cut from it while another box crashes and restarts: the others take what they know for
//! current.

use crate::boxes::{BoxSettings, FrontBox, free_address};
use crate::calls::Clients;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(3_000);
const APPLY: Duration = Duration::from_millis(3_000);
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
/// How long the two machines are cut off.
const CUT: Duration = Duration::from_millis(8_000);
/// The process that crashes is up for so long, and then starts again after so long.
const UP: Duration = Duration::from_millis(600);
const DOWN: Duration = Duration::from_millis(400);

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},
 "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
 "services":[{{"name":"seats","health_check_path":"/health","max_connections":110}}],
 "routes":[{{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,
            "target_latency_ms":300,"priority":1,"service":"seats","max_attempts":1}}],
 "tenants":[{{"name":"desk","api_keys":["desk-key"]}},{{"name":"shop","api_keys":[{keys}]}}]}}"#
    )
}

pub fn play(folder: &PathBuf, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let work = std::env::temp_dir().join(format!("case-old-view-{}", std::process::id()));
    std::fs::create_dir_all(&work).unwrap();
    let store = Store::new(Arc::new(|_, _| Duration::ZERO));
    store.put("op/config", &config(7, "\"kept-key\",\"old-key\""));
    let workers: Vec<Arc<Worker>> = (0..4)
        .map(|at| {
            let id = format!("i-90{at:02}");
            Worker::start(&id, "seats", ZONES[at % 3], 24, Duration::from_millis(400))
        })
        .collect();
    for worker in &workers {
        worker.register(&store, "ready");
    }
    let controls: Vec<SocketAddr> = (0..6).map(|_| free_address()).collect();
    let mut boxes: Vec<FrontBox> = (0..6)
        .map(|at| {
            let settings = BoxSettings {
                name: format!("front-{}-{}", ZONES[at % 3], at / 3 + 1),
                zone: ZONES[at % 3].into(),
                store: store.serve(at),
                seeds: controls[..3].to_vec(),
                changed: vec![("bounds.drain_ms", "3000".into())],
            };
            FrontBox::new(&work, settings, controls[at])
        })
        .collect();
    boxes.iter_mut().for_each(FrontBox::start);
    if !boxes
        .iter()
        .all(|one| one.wait_until_ready(Duration::from_secs(20)))
    {
        record.say("the boxes did not become ready");
        return 2;
    }
    record.say("six boxes are ready");
    let fronts: Vec<SocketAddr> = boxes.iter().map(|one| one.front).collect();
    let pause = Duration::from_millis(100);
    let sound = Clients::start(&fronts, "/book/2f", "desk-key", '0', pause);
    let revoked = Clients::start(&fronts, "/book/2f", "old-key", '1', pause);
    thread::sleep(Duration::from_secs(14));
    let watchers = store.watchers(Duration::from_millis(2_500));
    let Some(crashing) = (0..6).find(|at| !watchers.contains(at)) else {
        record.say("all boxes watch the store");
        return 2;
    };
    record.say(&format!(
        "the store is watched by {watchers:?}; {crashing} is to crash"
    ));
    if watchers.len() != 2 {
        return 2;
    }
    let began = Instant::now();
    if trouble {
        for watcher in &watchers {
            store.cut(*watcher, true);
            record.say(&format!(
                "{} is cut from the store",
                boxes[*watcher].settings.name
            ));
        }
    }
    thread::sleep(Duration::from_millis(100));
    let leaving = &workers[0];
    leaving.register(&store, "draining");
    let drained = Instant::now();
    record.say(&format!("the store has taken that {} drains", leaving.id));
    store.put("op/config", &config(8, "\"kept-key\""));
    let taken_away = Instant::now();
    record.say("the store has taken configuration 8: old-key is taken away");
    // CRASH=0: the cut alone.
    let crashes = trouble && std::env::var("CRASH").map_or(true, |value| value != "0");
    let mut ended = None;
    while began.elapsed() < CUT {
        if crashes {
            boxes[crashing].kill();
            record.line(&format!("{} crashes", boxes[crashing].settings.name));
            thread::sleep(DOWN);
            boxes[crashing].start();
            record.line(&format!("{} starts again", boxes[crashing].settings.name));
        } else {
            thread::sleep(DOWN);
        }
        thread::sleep(UP);
        if ended.is_none() && drained.elapsed() >= DRAIN * 2 {
            // It has served on for twice the time of its notice.
            store.remove(&format!("servers/{}", leaving.id));
            leaving.end();
            ended = Some(Instant::now());
            record.say(&format!("{} ends", leaving.id));
        }
    }
    for watcher in &watchers {
        store.cut(*watcher, false);
    }
    let healed = Instant::now();
    record.say("the cut is over");
    thread::sleep(Duration::from_secs(4));
    let sent = sound.stop();
    let of_old_key = revoked.stop();
    boxes.iter_mut().for_each(FrontBox::kill);
    let in_touch = |from: usize| !watchers.contains(&from) && from != crashing;
    let (mut late, mut old, mut lost) = (0, 0, 0);
    for worker in &workers {
        for arrival in worker.arrivals.lock().unwrap().iter() {
            let from = arrival.id[..1].parse::<usize>().unwrap_or(0);
            let by = if in_touch(from) {
                "in touch"
            } else {
                "not in touch"
            };
            let is_late = worker.id == leaving.id && arrival.at > drained + DRAIN && in_touch(from);
            let sent_at = of_old_key
                .iter()
                .find(|one| one.id == arrival.id)
                .map(|one| one.at);
            let is_old =
                arrival.ran && in_touch(from) && sent_at.is_some_and(|at| at > taken_away + APPLY);
            let is_lost =
                arrival.ran && !arrival.answered && worker.id == leaving.id && in_touch(from);
            late += usize::from(is_late);
            old += usize::from(is_old);
            lost += usize::from(is_lost);
            if arrival.at < began || arrival.at > healed {
                continue;
            }
            let of = sent
                .iter()
                .chain(&of_old_key)
                .find(|one| one.id == arrival.id);
            record.line(&format!(
                "{} from box {from} ({by}) reaches {} at {:.3} s; its client got {:?}{}{}{}",
                arrival.id,
                worker.id,
                record.seconds(arrival.at),
                of.and_then(|one| one.status),
                if is_late { ": LATE" } else { "" },
                if is_old { ": KEY TAKEN AWAY" } else { "" },
                if is_lost {
                    ": LOST with its worker"
                } else {
                    ""
                },
            ));
        }
    }
    record.say(&format!(
        "{late} requests from boxes in touch reached {} over {} ms after its leaving was acknowledged; {lost} were lost with it",
        leaving.id,
        DRAIN.as_millis()
    ));
    record.say(&format!(
        "{old} requests from boxes in touch ran under a key that was taken away over {} ms before",
        APPLY.as_millis()
    ));
    let broken = late > 0 || old > 0;
    record.say(match (late > 0, old > 0) {
        (true, true) => "DRAIN and CONFIG are broken",
        (true, false) => "DRAIN is broken",
        (false, true) => "CONFIG is broken",
        (false, false) => "DRAIN and CONFIG hold",
    });
    let _ = std::fs::remove_dir_all(&work);
    i32::from(broken)
}
