//! Open channels to the store go silent. Later a key is taken away: requests under it must not run once
//! `configuration_apply_ms` is over.

use crate::base::{ask, ms, Answer, BoxPlace, BoxProcess, Net, Wire};
use crate::store::Store;
use crate::worker::{Work, Worker};
use crate::{config, Outcome, Place, HOST};
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Instant;

const KEPT: (&str, &str) = ("retail-counters", "xd9dnn2ctnfzs989anu6");
const TAKEN_AWAY: (&str, &str) = ("field-installers", "wsjnbanfqasnmgkcuyj8");
/// The channels that go silent are those over which nothing has passed for so long.
const QUIET_MS: u64 = 1_000;
/// From the silence to the change of the configuration: `contact_ms` is 3,000.
const CONTACT_MS: u64 = 4_000;
/// `drain_ms`.
const DRAIN_MS: u64 = 2_000;
/// `configuration_apply_ms`, and half a second more for the way of a request.
const APPLY_MS: u64 = 2_000 + 500;
/// How long requests under the former key are sent after that.
const ASK_MS: u64 = 8_000;

fn request(id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST /status/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Identifier: {id}\r\nDeadline-Milliseconds: 3000\r\n\
         X-Api-Key: {key}\r\nContent-Length: 4\r\n\r\nline"
    )
    .into_bytes()
}

fn send(place: &Place, front: SocketAddr, name: &str, id: &str, key: (&str, &str)) -> Answer {
    place.record.line(&format!(
        "client: sends {id} to {name} with the key of {}",
        key.0
    ));
    let answer = match Wire::connect(front) {
        Ok(mut wire) => ask(&mut wire, &request(id, key.1), ms(3_500)),
        Err(error) => Answer {
            status: None,
            is_whole: false,
            is_signed: false,
            body: Vec::new(),
            error: error.to_string(),
        },
    };
    place.record.line(&format!(
        "client: {id} gets {:?}{} {}",
        answer.status,
        if answer.is_signed {
            ", signed by the worker"
        } else {
            ""
        },
        answer.error
    ));
    answer
}

pub fn play(place: &Place) -> Result<Outcome, String> {
    let record = place.record;
    let net = Net::free();
    let fail = |error: std::io::Error| error.to_string();
    let store = Store::start(net.at(1, 8742)).map_err(fail)?;
    store.put("op/config", &config(7, &[KEPT, TAKEN_AWAY]));
    let zones = ["tukwila-hall", "hillsboro-hall", "moses-lake-hall"];
    let mut workers = Vec::new();
    for (at, zone) in zones.iter().enumerate() {
        let id = format!("i-records-{}", at + 1);
        let worker = Worker::start(
            record,
            &id,
            "line-records",
            zone,
            net.at(50 + at as u8, 8080),
            6,
            Work::Plain(ms(60)),
        )
        .map_err(fail)?;
        store.put(&format!("servers/{id}"), &worker.entry("ready"));
        workers.push(worker);
    }
    let seeds = [11, 12, 13];
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
    sleep(ms(10_000));
    for one in &fleet {
        for key in [KEPT, TAKEN_AWAY] {
            let answer = send(
                place,
                one.front,
                &one.name,
                &format!("before-{}-{}", one.host, key.0),
                key,
            );
            if answer.status != Some(200) {
                return Err("requests are not served before the disruption".into());
            }
        }
    }
    if place.has_trouble {
        let count = store.silence(record, ms(QUIET_MS));
        record.line(&format!(
            "store: {count} open channels are silent from now on, new ones work"
        ));
    }
    sleep(ms(CONTACT_MS));
    store.put("op/config", &config(12, &[KEPT]));
    let confirmed = Instant::now();
    let confirmed_ms = record.now_ms();
    store.put("servers/i-records-1", &workers[0].entry("draining"));
    record.line("store: confirms that i-records-1 is draining");
    record.line(&format!(
        "store: confirms version 12 of the configuration, without the key of {}",
        TAKEN_AWAY.0
    ));
    sleep(ms(APPLY_MS));
    let mut ran = 0;
    let mut round = 0;
    while confirmed.elapsed() < ms(APPLY_MS + ASK_MS) {
        round += 1;
        for one in &fleet {
            let answer = send(
                place,
                one.front,
                &one.name,
                &format!("after-{}-{round}", one.host),
                TAKEN_AWAY,
            );
            ran += u32::from(answer.status == Some(200) && answer.is_signed);
        }
        sleep(ms(500));
    }
    let served = fleet
        .iter()
        .filter(|one| {
            send(
                place,
                one.front,
                &one.name,
                &format!("kept-{}", one.host),
                KEPT,
            )
            .status
                == Some(200)
        })
        .count();
    record.line(&format!("{ran} of {} requests ran under the key that was taken away; {served} of {} boxes serve the other key", round * fleet.len(), fleet.len()));
    let late = workers[0]
        .runs()
        .into_iter()
        .filter(|run| run.began_ms > confirmed_ms + DRAIN_MS);
    record.line(&format!(
        "not judged: {} requests reached i-records-1 later than drain_ms",
        late.count()
    ));
    if served < fleet.len() {
        return Err("the boxes do not serve the key that is held".into());
    }
    Ok(if ran > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
