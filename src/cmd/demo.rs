//! `demo`: stand-ins and two entry boxes in one process on loopback.

use crate::cli::DemoOptions;
use crate::cmd::runtime;
use crate::logs::silent;
use futures::StreamExt;
use miette::{IntoDiagnostic, WrapErr, bail};
use node::{Addresses, Node};
use platform::SETTINGS_PREFIX;
use settings::{
    Account, BoxFile, BoxIdentity, Branch, KeySettings, LimitSettings, PlatformSettings,
    ServiceSettings, TargetKind, TargetSettings, key_sha256,
};
use standins::{
    BoxEntry, BoxList, EngineSettings, Host, StandinEngine, StandinService, StandinStore,
};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

const KEY: &str = "demo-key";
const MODEL: &str = "assistant";
const ENGINES: usize = 3;
const WORKERS: usize = 2;
const BOXES: u32 = 2;
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const READY_TRIES: u32 = 100;
const READY_PAUSE: Duration = Duration::from_millis(50);

struct Demo {
    _engines: Vec<StandinEngine>,
    services: Vec<StandinService>,
    _store: StandinStore,
    _list: BoxList,
    boxes: Vec<(Host, Node, Addresses)>,
}

/// Runs the demo. With `--once` the exit code is 0 only if everything came back right.
pub fn run(options: &DemoOptions) -> miette::Result<ExitCode> {
    operators::install_metrics()
        .into_diagnostic()
        .wrap_err("cannot start metrics")?;
    let demo = start()?;
    runtime()?.block_on(async {
        wait_until_ready(&demo).await?;
        if options.once {
            return once(&demo).await;
        }
        print_hints(&demo);
        let _ = tokio::signal::ctrl_c().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn start() -> miette::Result<Demo> {
    let mut engines = Vec::new();
    for _ in 0..ENGINES {
        let settings = EngineSettings {
            step_base_us: 30_000,
            ..EngineSettings::default()
        };
        engines.push(StandinEngine::start(settings).into_diagnostic()?);
    }
    let mut services = Vec::new();
    for _ in 0..WORKERS {
        let work = Duration::from_millis(20);
        services.push(StandinService::start(ANY_PORT, work).into_diagnostic()?);
    }
    let store = StandinStore::start(ANY_PORT).into_diagnostic()?;
    let list = BoxList::start(ANY_PORT, 1000).into_diagnostic()?;
    let branch = branch(&engines, &services);
    // JSON is YAML too.
    let text = serde_json::to_vec_pretty(&branch).into_diagnostic()?;
    store.seed(&format!("{SETTINGS_PREFIX}{}", branch.partner), &text);
    let mut boxes = Vec::new();
    for id in 1..=BOXES {
        boxes.push(start_box(id, &store, &list)?);
    }
    let entries = boxes
        .iter()
        .zip(1..)
        .map(|((_, _, addresses), id)| BoxEntry::entry_box(id, addresses.peers, "demo-a", "live"));
    list.set(entries.collect());
    Ok(Demo {
        _engines: engines,
        services,
        _store: store,
        _list: list,
        boxes,
    })
}

fn start_box(
    id: u32,
    store: &StandinStore,
    list: &BoxList,
) -> miette::Result<(Host, Node, Addresses)> {
    let file = BoxFile {
        identity: BoxIdentity {
            id,
            data_centre: "demo-a".into(),
            region: "region-1".into(),
            callers_address: ANY_PORT,
            peers_address: ANY_PORT,
            operators_address: ANY_PORT,
        },
        platform: PlatformSettings {
            key_value_urls: vec![store.url()],
            box_list_url: Some(format!("http://{}", list.address())),
            box_list_interval_ms: Some(200),
        },
        keys: KeySettings {
            peer: vec!["demo-peer-key".into()],
            resume: vec!["demo-resume-key".into()],
        },
        limits: LimitSettings::default(),
        branches: Vec::new(),
    };
    let started = Host::start("demo-box", move || node::start(file, silent())).into_diagnostic()?;
    let (host, (node, addresses)) = (started.0, started.1.into_diagnostic()?);
    Ok((host, node, addresses))
}

fn branch(engines: &[StandinEngine], services: &[StandinService]) -> Branch {
    let mut branch = Branch {
        partner: "demo".into(),
        weight: 1.0,
        ..Branch::default()
    };
    branch.nodes.insert(
        "owner".into(),
        settings::Node {
            weight: 1.0,
            ..settings::Node::default()
        },
    );
    let hash = key_sha256(KEY)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    branch.accounts.insert(
        "visitor".into(),
        Account {
            parent: "owner".into(),
            weight: 1.0,
            key_sha256: vec![hash],
            ..Account::default()
        },
    );
    branch
        .models
        .insert(MODEL.into(), policy::PoolSettings::default());
    for (engine, number) in engines.iter().zip(1..) {
        let target = target(TargetKind::Engine, engine.address());
        branch.targets.insert(format!("engine-{number}"), target);
    }
    let mut workers = Vec::new();
    for (service, number) in services.iter().zip(1..) {
        let name = format!("worker-{number}");
        branch
            .targets
            .insert(name.clone(), target(TargetKind::Worker, service.address()));
        workers.push(name);
    }
    let service = ServiceSettings {
        repeatable: false,
        targets: workers,
        key_retention_ms: 3_600_000,
    };
    branch.services.insert("redemption".into(), service);
    branch
}

fn target(kind: TargetKind, address: SocketAddr) -> TargetSettings {
    TargetSettings {
        kind,
        address,
        data_centre: "demo-a".into(),
        region: "region-1".into(),
        models: match kind {
            TargetKind::Engine => vec![MODEL.into()],
            TargetKind::Worker => Vec::new(),
        },
        kv_capacity_tokens: 16_000,
        checks_fences: true,
        leave: false,
    }
}

async fn wait_until_ready(demo: &Demo) -> miette::Result<()> {
    for (_, _, addresses) in &demo.boxes {
        let url = format!("http://{}/readyz", addresses.callers);
        let mut tries = 0;
        while !reqwest::get(&url)
            .await
            .is_ok_and(|answer| answer.status().is_success())
        {
            tries += 1;
            if tries > READY_TRIES {
                bail!("the box at {} does not get ready", addresses.callers);
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
    }
    Ok(())
}

fn print_hints(demo: &Demo) {
    for ((_, _, addresses), id) in demo.boxes.iter().zip(1..) {
        println!(
            "box {id}: callers http://{}  operators http://{}/burn.html",
            addresses.callers, addresses.operators
        );
    }
    let callers = demo.boxes[0].2.callers;
    println!("\nA streamed answer:");
    println!(
        "  curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \
         -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!("A call that may not be repeated (a second time it is answered from memory):");
    println!(
        "  curl -i http://{callers}/services/redemption/redeem -H 'Authorization: Bearer {KEY}' \
         -H 'Idempotency-Key: order-1' -d '{{\"points\":100}}'"
    );
    println!("\nCtrl-C ends it.");
}

async fn once(demo: &Demo) -> miette::Result<ExitCode> {
    let chunks = stream_once(demo.boxes[0].2.callers).await?;
    println!("streamed answer: {chunks} chunks, in order, whole");
    let first = redeem(demo.boxes[0].2.callers).await?;
    let second = redeem(demo.boxes[1].2.callers).await?;
    println!("first call:  {first}");
    println!("second call: {second}");
    let runs: usize = demo
        .services
        .iter()
        .map(|service| service.runs().len())
        .sum();
    println!("the service ran it {runs} time(s)");
    let right = chunks > 0 && first == second && runs == 1;
    Ok(if right {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Streams one answer and checks that its chunks come in order and that it is whole.
async fn stream_once(callers: SocketAddr) -> miette::Result<u64> {
    let body = serde_json::json!({
        "model": MODEL,
        "stream": true,
        "messages": [{"role": "user", "content": "hello demo"}],
    });
    let answer = reqwest::Client::new()
        .post(format!("http://{callers}/v1/chat/completions"))
        .bearer_auth(KEY)
        .json(&body)
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .into_diagnostic()?;
    let mut text = Vec::new();
    let mut pieces = answer.bytes_stream();
    while let Some(piece) = pieces.next().await {
        text.extend_from_slice(&piece.into_diagnostic()?);
    }
    let text = String::from_utf8_lossy(&text).into_owned();
    let mut chunks = 0;
    for id in text.lines().filter_map(|line| line.strip_prefix("id: ")) {
        let index = id
            .rsplit_once('.')
            .and_then(|(_, index)| index.parse().ok());
        if index != Some(chunks) {
            bail!("chunk {chunks} was expected, `{id}` came");
        }
        chunks += 1;
    }
    if !text.contains("data: [DONE]") {
        bail!("the answer ended before it was whole");
    }
    Ok(chunks)
}

async fn redeem(callers: SocketAddr) -> miette::Result<String> {
    let answer = reqwest::Client::new()
        .post(format!("http://{callers}/services/redemption/redeem"))
        .bearer_auth(KEY)
        .header("idempotency-key", "demo-order-1")
        .body("{\"points\":100}")
        .send()
        .await
        .into_diagnostic()?;
    answer.text().await.into_diagnostic()
}
