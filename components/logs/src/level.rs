//! The least level that is logged, which may change while the process runs.

use slog::{Drain, Level, Never, OwnedKVList, Record};
use std::sync::atomic::{AtomicUsize, Ordering};

static LEAST: AtomicUsize = AtomicUsize::new(Level::Info as usize);

/// Sets the least level that loggers of this process write from now on.
pub fn set_level(level: Level) {
    LEAST.store(level.as_usize(), Ordering::Relaxed);
}

/// A drain that drops what is below the level in force.
pub(crate) struct Leveled<D>(pub D);

impl<D: Drain<Ok = (), Err = Never>> Drain for Leveled<D> {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match line.level().as_usize() <= LEAST.load(Ordering::Relaxed) {
            true => self.0.log(line, values),
            false => Ok(()),
        }
    }
}
