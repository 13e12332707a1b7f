//! A zone is emptied while the configuration changes: streams are stopped there, and not taken up again.

use crate::boxes::{BoxSettings, FrontBox, free_address};
use crate::engine::Engine;
use crate::record::Record;
use crate::store::Store;
use crate::wire::{connect, read_message};
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const APPLY: Duration = Duration::from_millis(3_000);
const AFTER: Duration = Duration::from_millis(1_000);
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn config(version: u32, goal_ms: u32) -> String {
    format!(
        r#"{{"version":{version},
 "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
 "services":[{{"name":"lm","health_check_path":"/health","max_connections":552,
   "engine":{{"slots":24,"cache_tokens":34545,"token_cache_bytes":18432,"link_mbps":2700.0,"moves":true,"backups":true,
              "stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}}],
 "routes":[{{"name":"chat","host":"desk.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":39000,
   "target_latency_ms":{goal_ms},"gap_aim_ms":180,"priority":0,"service":"lm","max_attempts":1,"session_affinity":true}}],
 "tenants":[{{"name":"desk","api_keys":["desk-key"]}}]}}"#
    )
}

struct Stream {
    id: String,
    sent: Instant,
    ended: Instant,
    status: u16,
    events: usize,
    whole: bool,
}

fn stream(front: SocketAddr, id: String) -> Option<Stream> {
    let sent = Instant::now();
    let mut reader = connect(front, Duration::from_secs(20))?;
    let request = format!(
        "POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Identifier: {id}\r\nModel: m\r\n\
         Token-Counts: 600,944\r\nPrompt-Prefix: 5c1e07a2:79,{id}:521\r\nDeadline-Milliseconds: 39000\r\n\
         X-Api-Key: desk-key\r\nContent-Length: 2\r\n\r\nhi"
    );
    reader.get_mut().write_all(request.as_bytes()).ok()?;
    let answer = read_message(&mut reader, true)?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    Some(Stream {
        id,
        sent,
        ended: Instant::now(),
        status: answer.status(),
        events: text.matches("\n\n").count(),
        whole: answer.whole,
    })
}

pub fn play(folder: &PathBuf, trouble: bool) -> i32 {
    let record = Record::new(&folder.join("record.txt"));
    let work = std::env::temp_dir().join(format!("case-emptied-zone-{}", std::process::id()));
    std::fs::create_dir_all(&work).unwrap();
    let store = Store::new(Arc::new(|_, _| Duration::ZERO));
    store.put("op/config", &config(7, 1_800));
    let engines: Vec<Arc<Engine>> = (0..3)
        .map(|at| Engine::start(&format!("e-{at}"), "lm", ZONES[at], 236))
        .collect();
    for engine in &engines {
        engine.register(&store, "ready");
    }
    let controls: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let mut boxes: Vec<FrontBox> = (0..3)
        .map(|at| {
            let settings = BoxSettings {
                name: format!("front-{}-1", ZONES[at]),
                zone: ZONES[at].into(),
                store: store.serve(at),
                seeds: controls.clone(),
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
    record.say("three boxes are ready");
    thread::sleep(Duration::from_secs(4));
    let fronts: Vec<SocketAddr> = boxes.iter().map(|one| one.front).collect();
    let began = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let log: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let mut clients = Vec::new();
    for (at, front) in fronts.iter().copied().enumerate() {
        let (stop, log) = (stop.clone(), log.clone());
        clients.push(thread::spawn(move || {
            let mut open = Vec::new();
            let mut number = 0u64;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{at:x}{number:015x}");
                let log = log.clone();
                open.push(thread::spawn(move || {
                    if let Some(ended) = stream(front, id) {
                        log.lock().unwrap().push(ended);
                    }
                }));
                thread::sleep(Duration::from_millis(1_200));
            }
            for one in open {
                let _ = one.join();
            }
        }));
    }
    thread::sleep(Duration::from_secs(24));
    // Full engines: what is added to a request between its first copy and the last finds no room.
    for engine in &engines {
        engine.finds_room_for_rest.store(false, Ordering::SeqCst);
    }
    if trouble {
        let at = store.put("op/evacuate/hall-a", "{}");
        record.say(&format!("hall-a is evacuated, revision {at}"));
    }
    let changed = Instant::now();
    let at = store.put("op/config", &config(8, 1_900));
    let confirmed = Instant::now();
    record.say(&format!("configuration 8 is confirmed, revision {at}"));
    thread::sleep(Duration::from_secs(20));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    boxes.iter_mut().for_each(FrontBox::kill);
    let until = confirmed + APPLY + AFTER;
    let (mut inside, mut outside) = ([0usize; 3], [0usize; 3]);
    let mut streams = std::mem::take(&mut *log.lock().unwrap());
    streams.sort_by_key(|one| one.sent);
    for one in &streams {
        let is_cut = one.status == 200 && !one.whole || one.status >= 500 && one.status != 503;
        let is_inside = one.ended >= changed && one.ended <= until;
        let machine = one.id[..1].parse::<usize>().unwrap_or(0);
        inside[machine] += usize::from(is_cut && is_inside);
        outside[machine] += usize::from(is_cut && !is_inside);
        record.line(&format!(
            "{} sent at {:.3} s, ended at {:.3} s: {} with {} events{}",
            one.id,
            record.seconds(one.sent),
            record.seconds(one.ended),
            one.status,
            one.events,
            if is_cut { ": CUT" } else { "" }
        ));
    }
    for engine in &engines {
        for (at, call) in engine.calls.lock().unwrap().iter() {
            record.line(&format!(
                "at {:.3} s {} in {}: {call}",
                record.seconds(*at),
                engine.id,
                engine.zone
            ));
        }
        for run in engine.runs.lock().unwrap().iter() {
            record.line(&format!(
                "{} ran {} from {:.3} s: {} events{}{}{}",
                engine.id,
                run.id,
                record.seconds(run.began),
                run.events,
                if run.resumed { ", resumed" } else { "" },
                if run.stopped {
                    ", stopped by an order"
                } else {
                    ""
                },
                if run.finished { ", finished" } else { "" }
            ));
        }
    }
    let refused = streams.iter().filter(|one| one.status == 503).count();
    record.say(&format!("streams {}, refused {refused}", streams.len()));
    let window = (until - changed).as_secs_f64();
    let other = began.elapsed().as_secs_f64() - window;
    let mut broken = false;
    for machine in 0..boxes.len() {
        let (inside, outside) = (inside[machine], outside[machine]);
        // It counts if the machine then cuts requests more than three times as often as at other times.
        broken |= inside as f64 / window > 3.0 * outside as f64 / other;
        record.say(&format!(
            "{}: {inside} streams cut between the sending of the configuration and {} ms after its confirmation, \
             {outside} at other times",
            boxes[machine].settings.name,
            (APPLY + AFTER).as_millis()
        ));
    }
    record.say(if broken {
        "LOST is broken"
    } else {
        "LOST holds"
    });
    let _ = std::fs::remove_dir_all(&work);
    i32::from(broken)
}
