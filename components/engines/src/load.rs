//! Parser of the load that engines report: Prometheus text format with vLLM's metric names.

use prelude::TargetIncarnation;
use prometheus_parse::{Scrape, Value};

/// Load of an engine at the time of one poll.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Incarnation of the engine: its process start time in milliseconds.
    pub incarnation: TargetIncarnation,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued at the engine.
    pub waiting: u32,
    /// Share of the KV cache in use, between 0 and 1.
    pub memory_share: f64,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Whether the engine announces that it is shutting down.
    pub leaving: bool,
}

/// Parses a report. Unknown metrics are ignored; unparsable text gives the default report.
pub fn parse_load(text: &str) -> LoadReport {
    // The parser rejects colons in metric names, although Prometheus allows them.
    let lines = text.lines().map(|line| Ok(line.replace("vllm:", "vllm_")));
    let mut report = LoadReport::default();
    let Ok(scrape) = Scrape::parse(lines) else {
        return report;
    };
    for sample in scrape.samples {
        let value = match sample.value {
            Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => value,
            Value::Histogram(_) | Value::Summary(_) => continue,
        };
        match sample.metric.as_str() {
            "process_start_time_seconds" => {
                report.incarnation = TargetIncarnation((value * 1000.0).round() as u64);
            }
            "vllm_num_requests_running" => report.running = value as u32,
            "vllm_num_requests_waiting" => report.waiting = value as u32,
            "vllm_kv_cache_usage_perc" => report.memory_share = value,
            "vllm_num_preemptions_total" => report.preemptions = value as u64,
            "engine_leaving" => report.leaving = value > 0.0,
            _ => {}
        }
    }
    report
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;
