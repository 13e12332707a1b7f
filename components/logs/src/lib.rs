//! Structured logs: a line never holds a request up, lines that repeat are sampled, and what is left out is
//! counted. No key and no prompt is ever written.

mod bounded;
mod level;
mod sampled;

pub use bounded::Bounded;
pub use level::set_level;
pub use sampled::{LINES_A_SECOND, Sampled};

use slog::{Drain, Logger, Never, o};
use std::sync::Mutex;

/// A logger for a person, to standard error.
pub fn to_terminal() -> Logger {
    let decorator = slog_term::TermDecorator::new().stderr().build();
    logger(slog_term::FullFormat::new(decorator).build().fuse())
}

/// A logger that writes a JSON object a line to standard error.
pub fn to_error() -> Logger {
    logger(Mutex::new(slog_json::Json::default(std::io::stderr())).fuse())
}

/// A logger that writes a JSON object a line to standard output.
pub fn to_output() -> Logger {
    logger(Mutex::new(slog_json::Json::default(std::io::stdout())).fuse())
}

fn logger<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = Never> + Send + 'static,
{
    let sampled = Sampled::new(Bounded::new(drain));
    Logger::root(level::Leveled(sampled).fuse(), o!())
}
