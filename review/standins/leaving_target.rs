//! Two workers leave, one after the other. A stream of the first is moved to the second while that one leaves: nothing may
//! reach it later than `drain_ms` after its leaving was confirmed.

use crate::base::{ask, ms, Answer, BoxPlace, BoxProcess, Net, Wire};
use crate::store::Store;
use crate::worker::{Moves, Worker};
use crate::{config, Outcome, Place, HOST};
use std::net::SocketAddr;
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

const KEY: (&str, &str) = ("retail-counters", "xd9dnn2ctnfzs989anu6");
/// `drain_ms` of the sheet.
const DRAIN_MS: u64 = 2_000;
/// The second worker leaves so much later than the first.
const GAP_MS: u64 = 400;
/// As many model workers as the sheet has, three in each zone; two of them leave, one at a time.
const WORKERS: u8 = 9;
const LONG_PROMPT: u32 = 23_500;
/// How long workers serve on after the store has taken `draining`: `drain_ms` and a little longer, at times many seconds.
const FIRST_SERVES_MS: u64 = 6_000;
const SECOND_SERVES_MS: u64 = 2_900;
const EVENT: Duration = Duration::from_millis(32);

fn chat(id: &str, prompt: u32, most: u32) -> Vec<u8> {
    format!(
        "POST /chat/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Identifier: {id}\r\nModel: m\r\nToken-Counts: {prompt},{most}\r\n\
         Prompt-Prefix: 7d1e07a2:79,82bd{prompt:04x}:{}\r\nDeadline-Milliseconds: 39000\r\nX-Api-Key: {}\r\nContent-Length: 4\r\n\r\nchat",
        prompt - 79,
        KEY.1
    )
    .into_bytes()
}

fn start(
    place: &Place,
    front: SocketAddr,
    id: &'static str,
    prompt: u32,
    most: u32,
) -> JoinHandle<Answer> {
    let record = place.record.clone();
    std::thread::spawn(move || {
        record.line(&format!(
            "client: sends {id}, {prompt} tokens in, {most} out"
        ));
        let mut wire = Wire::connect(front).expect("a box listens");
        let answer = ask(&mut wire, &chat(id, prompt, most), ms(40_000));
        let end = if answer.is_whole {
            "whole"
        } else {
            "not whole"
        };
        record.line(&format!(
            "client: {id} gets {:?}, {end} {}",
            answer.status, answer.error
        ));
        answer
    })
}

pub fn play(place: &Place) -> Result<Outcome, String> {
    let record = place.record;
    let net = Net::free();
    let fail = |error: std::io::Error| error.to_string();
    let store = Store::start(net.at(1, 8742)).map_err(fail)?;
    store.put("op/config", &config(7, &[KEY]));
    let zones = ["tukwila-hall", "hillsboro-hall", "moses-lake-hall"];
    let moves = Moves::default();
    let mut workers = Vec::new();
    for at in 0..WORKERS {
        let (address, zone) = (net.at(50 + at, 8080), zones[usize::from(at / 3)]);
        let id = format!("i-model-{}", at + 1);
        let worker = Worker::start_moving(record, &id, zone, address, EVENT, &moves);
        workers.push(worker.map_err(fail)?);
    }
    let register = |worker: &Worker, state: &str| {
        store.put(&format!("servers/{}", worker.id), &worker.entry(state));
        record.line(&format!("store: confirms that {} is {state}", worker.id));
    };
    register(&workers[0], "ready");
    let seeds = [11, 12];
    let boxes = BoxPlace {
        net: &net,
        folder: place.folder,
        store: net.at(1, 8742),
        seeds: &seeds,
    };
    let mut fleet = Vec::new();
    for (at, zone) in zones.iter().take(2).enumerate() {
        fleet.push(
            BoxProcess::start(&boxes, &format!("front-{zone}-1"), zone, seeds[at]).map_err(fail)?,
        );
    }
    if !fleet.iter().all(|one| one.wait_until_ready(ms(10_000))) {
        return Err("the boxes do not get ready".into());
    }
    sleep(ms(4_000));
    let long = start(place, fleet[0].front, "long-1", LONG_PROMPT, 1_600);
    sleep(ms(3_500));
    // The other workers of its zone get work of their own, so that the most room is in other zones.
    register(&workers[1], "ready");
    register(&workers[2], "ready");
    sleep(ms(500));
    let others = [
        start(place, fleet[0].front, "other-1", 16_000, 1_600),
        start(place, fleet[0].front, "other-2", 16_001, 1_600),
    ];
    sleep(ms(2_500));
    workers[3..]
        .iter()
        .for_each(|worker| register(worker, "ready"));
    sleep(ms(1_000));
    let mut second = None;
    let mut left_at = None;
    if place.has_trouble {
        register(&workers[0], "draining");
        let first_left = Instant::now();
        sleep(ms(GAP_MS));
        let target = moves.target_of("long-1").ok_or("long-1 is not moved")?;
        let leaving = workers.iter().find(|worker| worker.address == target);
        let leaving = leaving.ok_or("long-1 is moved to no worker")?;
        second = Some(leaving.clone());
        register(leaving, "draining");
        let second_left = Instant::now();
        left_at = Some(record.now_ms());
        sleep(ms(SECOND_SERVES_MS).saturating_sub(second_left.elapsed()));
        leaving.end();
        store.remove(&format!("servers/{}", leaving.id));
        sleep(ms(FIRST_SERVES_MS).saturating_sub(first_left.elapsed()));
        workers[0].end();
        store.remove(&format!("servers/{}", workers[0].id));
    }
    let answer = long.join().map_err(|_| "a client failed")?;
    for other in others {
        other.join().map_err(|_| "a client failed")?;
    }
    let late: Vec<_> = second
        .map(|worker| worker.runs())
        .unwrap_or_default()
        .into_iter()
        .filter(|run| left_at.is_some_and(|at| run.began_ms > at + DRAIN_MS))
        .collect();
    for run in &late {
        let after_ms = run.began_ms - left_at.unwrap_or_default();
        record.line(&format!(
            "{} reached {} {after_ms} ms after its leaving was confirmed",
            run.id, run.worker
        ));
    }
    let end = if answer.is_whole { "whole" } else { "lost" };
    record.line(&format!(
        "long-1 is {end}; {} requests reached a worker too late",
        late.len()
    ));
    Ok(if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    })
}
