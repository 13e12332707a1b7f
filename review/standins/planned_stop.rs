//! A box is stopped by SIGTERM. Clients that kept their channels send generations to it within `grace_s`: each that the box
//! has read must get a whole answer, be it a refusal.

use crate::base::{ask, ms, Answer, BoxPlace, BoxProcess, Net, Wire};
use crate::store::Store;
use crate::worker::{Work, Worker};
use crate::{config, Outcome, Place, HOST};
use std::thread::sleep;
use std::time::{Duration, Instant};

const KEY: (&str, &str) = ("retail-counters", "xd9dnn2ctnfzs989anu6");
/// Clients that keep their channels to the box that stops.
const CLIENTS: usize = 6;
/// From the SIGTERM to the requests: `grace_s` is 8, and requests sent up to 3 s after the SIGTERM are partly excused.
const SENT_AFTER_MS: u64 = 5_500;
/// Between events of 4 tokens: `gap_aim_ms` of the routes is 180.
const EVENT: Duration = Duration::from_millis(150);

/// `plan-summary` of the sheet, with 16 events.
fn summary(id: &str, at: usize) -> Vec<u8> {
    format!(
        "POST /summary/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Identifier: {id}\r\nModel: m\r\nToken-Counts: 2550,64\r\n\
         Prompt-Prefix: 5c1e07a2:350,91bd{at:04x}:2200\r\nDeadline-Milliseconds: 6000\r\nX-Api-Key: {}\r\nContent-Length: 4\r\n\r\nplan",
        KEY.1
    )
    .into_bytes()
}

/// `activation-chat` of the sheet, with 60 events, sent before the stop: the box stays until it ends or the time is over.
fn chat(id: &str) -> Vec<u8> {
    format!(
        "POST /chat/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Identifier: {id}\r\nModel: m\r\nToken-Counts: 3079,240\r\n\
         Prompt-Prefix: 7d1e07a2:79,82bd0001:3000\r\nDeadline-Milliseconds: 39000\r\nX-Api-Key: {}\r\nContent-Length: 4\r\n\r\nchat",
        KEY.1
    )
    .into_bytes()
}

fn told(answer: &Answer) -> String {
    let status = answer
        .status
        .map_or("no status".into(), |status| status.to_string());
    let end = if answer.is_whole {
        "whole"
    } else {
        "not whole"
    };
    format!("{status}, {end} {}", answer.error)
}

pub fn play(place: &Place) -> Result<Outcome, String> {
    let record = place.record;
    let net = Net::free();
    let fail = |error: std::io::Error| error.to_string();
    let store = Store::start(net.at(1, 8742)).map_err(fail)?;
    store.put("op/config", &config(7, &[KEY]));
    let zones = ["tukwila-hall", "hillsboro-hall"];
    let mut workers = Vec::new();
    for (at, zone) in zones.iter().enumerate() {
        let id = format!("i-model-{}", at + 1);
        let worker = Worker::start(
            record,
            &id,
            "activation-lm",
            zone,
            net.at(50 + at as u8, 8080),
            64,
            Work::Model { event: EVENT },
        )
        .map_err(fail)?;
        store.put(&format!("servers/{id}"), &worker.entry("ready"));
        workers.push(worker);
    }
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
    sleep(ms(5_000));
    let front = fleet[0].front;
    let opening: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut wire = Wire::connect(front).ok()?;
                let id = format!("before-{at}");
                let answer = ask(&mut wire, &summary(&id, at), ms(8_000));
                record.line(&format!("client {at}: {id} gets {}", told(&answer)));
                (answer.status == Some(200) && answer.is_whole).then_some(wire)
            })
        })
        .collect();
    let channels: Vec<Wire> = opening
        .into_iter()
        .filter_map(|one| one.join().ok().flatten())
        .collect();
    if channels.len() < CLIENTS {
        return Err("requests are not served before the stop".into());
    }
    let chatting = std::thread::spawn(move || {
        Wire::connect(front).map(|mut wire| ask(&mut wire, &chat("chat-0"), ms(20_000)))
    });
    sleep(ms(600));
    let stopped = Instant::now();
    if place.has_trouble {
        record.line(&format!("{} gets SIGTERM", fleet[0].name));
        fleet[0].signal("TERM");
    }
    sleep(ms(SENT_AFTER_MS));
    let asking: Vec<_> = channels
        .into_iter()
        .enumerate()
        .map(|(at, mut wire)| {
            let record = record.clone();
            std::thread::spawn(move || {
                let id = format!("late-{at}");
                record.line(&format!(
                    "client {at}: sends {id} on its kept channel, {} ms after the SIGTERM",
                    stopped.elapsed().as_millis()
                ));
                let sent = Instant::now();
                let answer = ask(&mut wire, &summary(&id, at), ms(8_000));
                record.line(&format!(
                    "client {at}: {id} gets {} after {} ms",
                    told(&answer),
                    sent.elapsed().as_millis()
                ));
                (id, answer)
            })
        })
        .collect();
    let answers: Vec<(String, Answer)> = asking
        .into_iter()
        .filter_map(|one| one.join().ok())
        .collect();
    if let Ok(Ok(answer)) = chatting.join() {
        record.line(&format!(
            "chat-0, sent before the SIGTERM, gets {} (not judged)",
            told(&answer)
        ));
    }
    sleep(ms(500));
    let runs: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    let mut lost = 0;
    for (id, answer) in answers.iter().filter(|(_, answer)| !answer.is_whole) {
        // A request that crosses the close without being passed on is left out.
        if let Some(run) = runs.iter().find(|run| run.id == *id) {
            lost += 1;
            record.line(&format!(
                "lost: {id} began at {} at {} ms, and its channel was closed: {}",
                run.worker,
                run.began_ms,
                told(answer)
            ));
        }
    }
    let count = |status: u16| {
        answers
            .iter()
            .filter(|(_, answer)| answer.status == Some(status) && answer.is_whole)
            .count()
    };
    record.line(&format!("{CLIENTS} requests: {} whole, {} refused as not run, {lost} lost after they were passed on to a worker", count(200), count(503)));
    if place.has_trouble && !fleet[0].has_ended() {
        record.line("the box still runs");
    }
    Ok(if lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
