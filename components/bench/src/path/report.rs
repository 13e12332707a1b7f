//! The figures of `path`.

use super::load::Measured;
use serde::Serialize;

/// A phase through a process.
pub struct Phase {
    /// Processor time that the process took.
    pub cpu_us: f64,
    /// What the callers saw.
    pub measured: Measured,
}

/// Memory of a process with many streams open.
pub struct Memory {
    /// Streams open.
    pub open_streams: u64,
    /// Memory then.
    pub rss_bytes: u64,
    /// Memory before.
    pub before_bytes: u64,
}

/// All phases.
pub struct Report {
    pub direct: Measured,
    pub relay: Phase,
    pub through_box: Phase,
    pub beside_slow_readers: Measured,
    pub relay_memory: Memory,
    pub box_memory: Memory,
}

#[derive(Serialize)]
struct Figures {
    direct_first_token_p50_ms: f64,
    direct_first_token_p99_ms: f64,
    added_first_token_p50_ms: f64,
    added_first_token_p99_ms: f64,
    added_token_gap_p99_ms: f64,
    cpu_us_per_token: f64,
    open_streams: u64,
    rss_mib: f64,
    bytes_per_stream: f64,
    slow_reader_gap_p99_ratio: f64,
    failed: u64,
    tokens: u64,
    relay_added_first_token_p50_ms: f64,
    relay_added_first_token_p99_ms: f64,
    relay_added_token_gap_p99_ms: f64,
    relay_cpu_us_per_token: f64,
    relay_open_streams: u64,
    relay_rss_mib: f64,
}

const MIB: f64 = 1024.0 * 1024.0;

impl Report {
    fn figures(&self) -> Figures {
        let direct = &self.direct;
        let added =
            |of: &Measured, percentile| of.first.ms(percentile) - direct.first.ms(percentile);
        let added_gap = |of: &Measured| of.gaps.ms(99.0) - direct.gaps.ms(99.0);
        let per_token = |phase: &Phase| phase.cpu_us / phase.measured.tokens.max(1) as f64;
        let (near, relay) = (&self.through_box, &self.relay);
        let memory = &self.box_memory;
        let grown = memory.rss_bytes.saturating_sub(memory.before_bytes) as f64;
        Figures {
            direct_first_token_p50_ms: direct.first.ms(50.0),
            direct_first_token_p99_ms: direct.first.ms(99.0),
            added_first_token_p50_ms: added(&near.measured, 50.0),
            added_first_token_p99_ms: added(&near.measured, 99.0),
            added_token_gap_p99_ms: added_gap(&near.measured),
            cpu_us_per_token: per_token(near),
            open_streams: memory.open_streams,
            rss_mib: memory.rss_bytes as f64 / MIB,
            bytes_per_stream: grown / memory.open_streams.max(1) as f64,
            slow_reader_gap_p99_ratio: self.beside_slow_readers.gaps.ms(99.0)
                / near.measured.gaps.ms(99.0),
            failed: direct.failed + near.measured.failed + relay.measured.failed,
            tokens: near.measured.tokens,
            relay_added_first_token_p50_ms: added(&relay.measured, 50.0),
            relay_added_first_token_p99_ms: added(&relay.measured, 99.0),
            relay_added_token_gap_p99_ms: added_gap(&relay.measured),
            relay_cpu_us_per_token: per_token(relay),
            relay_open_streams: self.relay_memory.open_streams,
            relay_rss_mib: self.relay_memory.rss_bytes as f64 / MIB,
        }
    }

    /// Prints the figures, as JSON or a line each.
    pub fn print(&self, json: bool) {
        let figures = serde_json::to_value(self.figures()).unwrap_or_default();
        if json {
            println!("{figures}");
        } else {
            crate::stats::print_lines(&figures);
        }
    }
}
