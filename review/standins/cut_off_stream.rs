//! A worker leaves; the answer to the order that stops a run there is lost. The run's stream carries no length and is closed
//! without its end: the client must not take it for whole.

use crate::base::{ask, ms, Answer, BoxPlace, BoxProcess, Net, Wire};
use crate::store::Store;
use crate::worker::{Moves, Worker};
use crate::{config, Outcome, Place, HOST};
use std::thread::sleep;
use std::time::Duration;

const KEY: (&str, &str) = ("retail-counters", "xd9dnn2ctnfzs989anu6");
/// Short requests that the first worker serves before: one answer without a length and one that is lost are less than two in
/// a hundred of its answers.
const SHORT: u32 = 60;
const EVENT: Duration = Duration::from_millis(32);
/// `activation-chat` of the sheet.
const LONG_PROMPT: u32 = 3_079;
const LONG_TOKENS: u32 = 944;
const TOKENS_PER_EVENT: u32 = 4;
/// As many model workers as the sheet has; one of them leaves.
const WORKERS: u8 = 9;
const SERVES_MS: u64 = 6_000;

fn chat(id: &str, prompt: u32, most: u32) -> Vec<u8> {
    format!(
        "POST /chat/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Identifier: {id}\r\nModel: m\r\nToken-Counts: {prompt},{most}\r\n\
         Prompt-Prefix: 7d1e07a2:79,82bd{prompt:04x}:{}\r\nDeadline-Milliseconds: 39000\r\nX-Api-Key: {}\r\nContent-Length: 4\r\n\r\nchat",
        prompt - 79,
        KEY.1
    )
    .into_bytes()
}

/// The numbers of the events in an answer.
fn events(answer: &Answer) -> Vec<u32> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

pub fn play(place: &Place) -> Result<Outcome, String> {
    let record = place.record;
    let net = Net::free();
    let fail = |error: std::io::Error| error.to_string();
    let store = Store::start(net.at(1, 8742)).map_err(fail)?;
    store.put("op/config", &config(7, &[KEY]));
    let zones = ["tukwila-hall", "hillsboro-hall"];
    let moves = Moves::default();
    let mut workers = Vec::new();
    for at in 0..WORKERS {
        let (address, zone) = (net.at(50 + at, 8080), zones[usize::from(at) % zones.len()]);
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
    for (at, zone) in zones.iter().enumerate() {
        fleet.push(
            BoxProcess::start(&boxes, &format!("front-{zone}-1"), zone, seeds[at]).map_err(fail)?,
        );
    }
    if !fleet.iter().all(|one| one.wait_until_ready(ms(10_000))) {
        return Err("the boxes do not get ready".into());
    }
    sleep(ms(4_000));
    for number in 0..SHORT {
        let id = format!("short-{number}");
        let mut wire = Wire::connect(fleet[0].front).map_err(fail)?;
        let answer = ask(&mut wire, &chat(&id, 140, 4), ms(10_000));
        if answer.status != Some(200) || !answer.is_whole {
            return Err(format!("{id} is not served: {:?}", answer.status));
        }
    }
    workers[0].answer_unframed("long-1");
    let front = fleet[0].front;
    let client = {
        let record = record.clone();
        std::thread::spawn(move || {
            record.line(&format!(
                "client: sends long-1, {LONG_PROMPT} tokens in, {LONG_TOKENS} out"
            ));
            Wire::connect(front).map(|mut wire| {
                ask(
                    &mut wire,
                    &chat("long-1", LONG_PROMPT, LONG_TOKENS),
                    ms(30_000),
                )
            })
        })
    };
    sleep(ms(2_000));
    workers[1..]
        .iter()
        .for_each(|worker| register(worker, "ready"));
    sleep(ms(1_500));
    if place.has_trouble {
        workers[0].lose_next_stop();
    }
    register(&workers[0], "draining");
    sleep(ms(SERVES_MS));
    workers[0].end();
    store.remove(&format!("servers/{}", workers[0].id));
    let answer = client
        .join()
        .map_err(|_| "the client failed")?
        .map_err(fail)?;
    let events = events(&answer);
    let total = LONG_TOKENS / TOKENS_PER_EVENT;
    let in_order = events
        .iter()
        .enumerate()
        .all(|(at, id)| *id == at as u32 + 1);
    record.line(&format!(
        "client: long-1 gets {:?}, {} events of {total}, {}{}, {}",
        answer.status,
        events.len(),
        if in_order { "in order" } else { "not in order" },
        if answer.is_signed { ", signed" } else { "" },
        if answer.is_whole {
            "closed as complete"
        } else {
            "broken off"
        }
    ));
    let is_false = answer.status == Some(200)
        && (!in_order || (answer.is_whole && events.len() as u32 != total));
    Ok(if is_false {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
