//! Which logger a command writes to.

use crate::cli::LogFormat;
use slog::Logger;

/// A logger that writes to standard error.
pub fn logger(format: LogFormat) -> Logger {
    match format {
        LogFormat::Terminal => logs::to_terminal(),
        LogFormat::Json => logs::to_error(),
    }
}
