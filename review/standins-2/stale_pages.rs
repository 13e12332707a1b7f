//! A box that restarts reads the list of workers in two pages, the second of them some seconds old, and goes on sending to a
//! worker that drains.

use crate::boxes::{BoxSettings, FrontBox, free_address};
use crate::calls::Clients;
use crate::record::Record;
use crate::store::Store;
use crate::wire::Message;
use crate::worker::Worker;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the deployment with the whole fleet.
const DRAIN: Duration = Duration::from_millis(5_000);
const CONTACT: Duration = Duration::from_millis(6_000);
/// How long the worker that drains serves on.
const SERVES_ON: Duration = Duration::from_secs(16);
/// How late the list of boxes comes. A slow store takes 50 times its 4 ms for each answer.
const LATE: Duration = Duration::from_millis(100);
/// How long it is slow.
const SLOW_FOR: Duration = Duration::from_millis(500);
/// How old a stale read is, at most.
const STALE: Duration = Duration::from_millis(2_500);

const CONFIG: &str = r#"{"version":7,
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "services":[{"name":"seats","health_check_path":"/health","max_connections":110},
             {"name":"spare","health_check_path":"/health","max_connections":110}],
 "routes":[{"name":"book","host":"desk.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,
            "target_latency_ms":300,"priority":1,"service":"seats","max_attempts":1},
           {"name":"spare","host":"desk.example","path_prefix":"/spare/","kind":"unsafe","timeout_ms":3000,
            "target_latency_ms":300,"priority":1,"service":"spare","max_attempts":1}],
 "tenants":[{"name":"desk","api_keys":["desk-key"]}]}"#;

/// The box that is killed.
const KILLED: usize = 2;

/// First pages are current; later ones come from a replica of the store that is some seconds behind.
fn age(_: usize, request: &Message) -> Duration {
    let is_workers = request.query("path_prefix").as_deref() == Some("servers/");
    match is_workers && request.query("after_revision").is_some() {
        true => STALE,
        false => Duration::ZERO,
    }
}

pub fn play(folder: &PathBuf, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let work = std::env::temp_dir().join(format!("case-stale-pages-{}", std::process::id()));
    std::fs::create_dir_all(&work).unwrap();
    let store = Store::new(Arc::new(age));
    store.put("op/config", CONFIG);
    let zones = ["hall-a", "hall-b", "hall-c"];
    let spare: Vec<Arc<Worker>> = (0..596)
        .map(|at| {
            let id = format!("i-1{at:03}");
            Worker::start(&id, "spare", zones[at % 3], 6, Duration::from_millis(60))
        })
        .collect();
    let seats: Vec<Arc<Worker>> = (0..4)
        .map(|at| {
            let id = format!("i-90{at:02}");
            Worker::start(&id, "seats", zones[at % 3], 24, Duration::from_millis(400))
        })
        .collect();
    for worker in spare.iter().chain(&seats) {
        worker.register(&store, "ready");
    }
    // Seeds may be stale or down: these are.
    let seeds: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mut boxes: Vec<FrontBox> = (0..3)
        .map(|at| {
            let settings = BoxSettings {
                name: format!("front-{}-1", zones[at]),
                zone: zones[at].into(),
                store: store.serve(at),
                seeds: seeds.clone(),
                changed: vec![("bounds.drain_ms", "5000".into())],
            };
            FrontBox::new(&work, settings, free_address())
        })
        .collect();
    thread::sleep(STALE + Duration::from_millis(500));
    boxes.iter_mut().for_each(FrontBox::start);
    if !boxes
        .iter()
        .all(|one| one.wait_until_ready(Duration::from_secs(20)))
    {
        record.say("the boxes did not become ready");
        return 2;
    }
    record.say("three boxes are ready");
    let fronts: Vec<SocketAddr> = boxes.iter().map(|one| one.front).collect();
    let clients = Clients::start(
        &fronts,
        "/book/2f",
        "desk-key",
        '0',
        Duration::from_millis(40),
    );
    thread::sleep(Duration::from_secs(5));
    // Two services are released: a worker of each drains, one shortly after the other.
    let leaving = &seats[0];
    leaving.register(&store, "draining");
    let acknowledged = Instant::now();
    record.say(&format!("the store has taken that {} drains", leaving.id));
    thread::sleep(Duration::from_millis(400));
    spare[0].register(&store, "draining");
    record.say(&format!("the store has taken that {} drains", spare[0].id));
    thread::sleep(Duration::from_millis(100));
    let mut restarted = None;
    if trouble {
        boxes[KILLED].kill();
        record.say(&format!("{} is killed", boxes[KILLED].settings.name));
        thread::sleep(Duration::from_millis(200));
        store.delay("boxes/", LATE);
        boxes[KILLED].start();
        record.say(&format!("{} starts again", boxes[KILLED].settings.name));
        thread::sleep(SLOW_FOR);
        store.delay("boxes/", Duration::ZERO);
        // From here on nothing is disturbed.
        restarted = Some(Instant::now());
        record.say("the store is as fast as usual");
    }
    thread::sleep(SERVES_ON.saturating_sub(acknowledged.elapsed()));
    store.remove(&format!("servers/{}", leaving.id));
    leaving.end();
    record.say(&format!("{} ends", leaving.id));
    thread::sleep(Duration::from_secs(2));
    let sent = clients.stop();
    let mut late = vec![0; boxes.len()];
    for arrival in leaving.arrivals.lock().unwrap().iter() {
        let from = arrival.id[..1].parse::<usize>().unwrap_or(0);
        let since = restarted.filter(|_| from == KILLED).map(|at| at + CONTACT);
        let bound = since.unwrap_or(acknowledged).max(acknowledged + DRAIN);
        let is_late = arrival.at > bound;
        late[from] += usize::from(is_late);
        record.line(&format!(
            "{} reaches {} at {:.3} s{}",
            arrival.id,
            leaving.id,
            record.seconds(arrival.at),
            if is_late { ": LATE" } else { "" }
        ));
        if arrival.ran && !arrival.answered {
            let status = sent
                .iter()
                .find(|s| s.id == arrival.id)
                .and_then(|s| s.status);
            record.line(&format!(
                "{} was cut off at {}, its client got {status:?}",
                arrival.id, leaving.id
            ));
        }
    }
    for one in sent.iter() {
        record.line(&format!(
            "{} sent at {:.3} s: {:?}",
            one.id,
            record.seconds(one.at),
            one.status
        ));
    }
    let lost = sent.iter().filter(|one| one.status != Some(200)).count();
    record.say(&format!(
        "requests {}, not answered with 200: {lost}",
        sent.len()
    ));
    for (one, late) in boxes.iter().zip(&late) {
        record.say(&format!(
            "{}: {late} requests reached {} over {} ms after its leaving was acknowledged",
            one.settings.name,
            leaving.id,
            DRAIN.as_millis()
        ));
    }
    let broken = late.iter().any(|late| *late > 0);
    record.say(if broken {
        "DRAIN is broken"
    } else {
        "DRAIN holds"
    });
    boxes.iter_mut().for_each(FrontBox::kill);
    let _ = std::fs::remove_dir_all(&work);
    i32::from(broken)
}
