//! What is written, what is left out, and that it is said.

use logs::{Bounded, LINES_A_SECOND, Sampled};
use rstest::rstest;
use slog::{Drain, Logger, Never, OwnedKVList, Record, info, o};
use std::sync::{Arc, Condvar, Mutex};

/// Keeps the messages of lines. Writing waits while it is shut.
#[derive(Clone, Default)]
struct Kept {
    lines: Arc<Mutex<Vec<String>>>,
    shut: Arc<(Mutex<bool>, Condvar)>,
}

impl Kept {
    fn count(&self, message: &str) -> usize {
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|line| *line == message).count()
    }

    fn set_shut(&self, shut: bool) {
        *self.shut.0.lock().unwrap() = shut;
        self.shut.1.notify_all();
    }
}

impl Drain for Kept {
    type Ok = ();
    type Err = Never;

    fn log(&self, line: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let shut = self.shut.0.lock().unwrap();
        drop(self.shut.1.wait_while(shut, |shut| *shut).unwrap());
        self.lines.lock().unwrap().push(line.msg().to_string());
        Ok(())
    }
}

#[rstest]
#[case(true, 500)]
#[case(false, LINES_A_SECOND as usize)]
fn only_lines_that_name_no_request_are_sampled(#[case] named: bool, #[case] least: usize) {
    let kept = Kept::default();
    let log = Logger::root(Sampled::new(kept.clone()).fuse(), o!());
    for at in 0..500 {
        match named {
            true => info!(log, "named"; "id" => at.to_string()),
            false => info!(log, "unnamed"; "box" => at),
        }
    }
    let written = kept.count(if named { "named" } else { "unnamed" });
    assert!(written >= least, "{written} lines");
    // A machine that takes seconds for these lines writes more of them, and says what it left out.
    assert_eq!(
        written == 500,
        named || kept.count("repeated log lines left out") > 20
    );
}

#[test]
fn a_place_that_is_quiet_for_a_second_says_what_it_left_out() {
    let kept = Kept::default();
    let log = Logger::root(Sampled::new(kept.clone()).fuse(), o!());
    for round in 0..2 {
        for _ in 0..100 {
            info!(log, "again");
        }
        if round == 0 {
            std::thread::sleep(std::time::Duration::from_millis(1_100));
        }
    }
    assert!(kept.count("repeated log lines left out") >= 1);
}

#[test]
fn lines_that_find_no_room_are_dropped_and_counted() {
    let kept = Kept::default();
    kept.set_shut(true);
    let log = Logger::root(Bounded::new(kept.clone()).fuse(), o!());
    for _ in 0..20_000 {
        info!(log, "line");
    }
    kept.set_shut(false);
    while kept.count("log lines dropped") == 0 {
        info!(log, "later");
        std::thread::yield_now();
    }
    drop(log);
    assert!(kept.count("line") < 20_000);
}
