//! Structured logs. No key and no prompt is ever written.

use crate::cli::LogFormat;
use slog::{Drain, Logger, o};
use std::sync::Mutex;

/// Log lines that may wait to be written before further ones are dropped.
const LINES_WAITING: usize = 4096;

/// A logger that writes to standard error.
pub fn logger(format: LogFormat) -> Logger {
    match format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            wrap(drain)
        }
        LogFormat::Json => {
            let drain = Mutex::new(slog_json::Json::default(std::io::stderr())).fuse();
            wrap(drain)
        }
    }
}

/// A logger that writes a JSON object a line to standard output.
pub fn output_logger() -> Logger {
    let drain = Mutex::new(slog_json::Json::default(std::io::stdout())).fuse();
    wrap(drain)
}

fn wrap<D>(drain: D) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(LINES_WAITING)
        .build();
    let leveled = slog::LevelFilter::new(queue.fuse(), slog::Level::Info);
    Logger::root(leveled.fuse(), o!())
}
