//! Stand-ins and clients of the scripts in this folder: `standins CASE RECORD FOLDER`, run at the root of the repository.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod base;
mod store;
mod worker;

mod blind_watch;
mod cut_off_stream;
mod leaving_target;
mod planned_stop;

use base::Record;
use std::path::Path;
use std::process::ExitCode;

/// The result of a case.
pub enum Outcome {
    Held,
    Broken,
}

pub struct Place<'a> {
    pub record: &'a Record,
    pub folder: &'a Path,
    pub has_trouble: bool,
}

pub const HOST: &str = "ficu95.example";

/// The operator's configuration: a plain service and model workers, with one tenant for each key.
pub fn config(version: u64, keys: &[(&str, &str)]) -> String {
    let tenants: Vec<String> = keys
        .iter()
        .map(|(name, key)| {
            format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1}}")
        })
        .collect();
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 timeout_ms: u32,
                 goal_ms: u32,
                 service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
             \"target_latency_ms\":{goal_ms},\"priority\":1,\"service\":\"{service}\",\"max_attempts\":1,\"allow_anonymous\":false,\
             \"session_affinity\":true,\"stream_resumption\":false,\"gap_aim_ms\":180}}"
        )
    };
    let routes = [
        route(
            "port-status",
            "/status/",
            "unsafe",
            3000,
            300,
            "line-records",
        ),
        route(
            "activation-chat",
            "/chat/",
            "streaming",
            39_000,
            1800,
            "activation-lm",
        ),
        route(
            "plan-summary",
            "/summary/",
            "streaming",
            6000,
            1500,
            "activation-lm",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"activation-lm\",\"health_check_path\":\"/health\",\
         \"max_connections\":442,\"protocol\":\"h1\",\"transport_security\":false,\"engine\":{{\"slots\":64,\"cache_tokens\":34545,\
         \"token_cache_bytes\":18432,\"link_mbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\
         \"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"line-records\",\
         \"health_check_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"transport_security\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = args.as_slice() else {
        eprintln!("standins CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    base::end_after(base::ms(100_000));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let place = Place {
        record: &record,
        folder: Path::new(folder),
        has_trouble,
    };
    record.line(&format!(
        "case {case}, {}",
        if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let outcome = match case.as_str() {
        "blind_watch" => blind_watch::play(&place),
        "cut_off_stream" => cut_off_stream::play(&place),
        "leaving_target" => leaving_target::play(&place),
        "planned_stop" => planned_stop::play(&place),
        _ => Err("no such case".into()),
    };
    match outcome {
        Ok(Outcome::Held) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(why) => {
            record.line(&format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
