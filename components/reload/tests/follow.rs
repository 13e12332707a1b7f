//! Changes of a file are noticed with and without a word, and files that are being written are waited for.

use reload::{Live, follow};
use settings::FleetFile;
use slog::{Drain, Logger, o};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

const TEXT: &str = include_str!("../../../examples/fleet-box.yaml");

static NEXT: AtomicU32 = AtomicU32::new(0);

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A settings file that is followed, in virtual time.
struct Followed {
    path: PathBuf,
    live: Arc<Live<FleetFile>>,
    hung_up: Arc<Notify>,
    lines: Lines,
    task: JoinHandle<()>,
}

impl Followed {
    fn start() -> Self {
        let name = format!(
            "shuntpier-reload-{}-{}.yaml",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::Relaxed)
        );
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, TEXT).unwrap();
        let live = Arc::new(Live::read(TEXT).unwrap());
        let hung_up = Arc::new(Notify::new());
        let lines = Lines::default();
        let drain = Mutex::new(slog_json::Json::default(lines.clone())).fuse();
        let log = Logger::root(drain, o!());
        let followed = (live.clone(), path.clone(), hung_up.clone());
        let task = tokio::spawn(async move {
            let (live, path, hung_up) = followed;
            follow(&live, path, TEXT.to_owned(), &hung_up, &log).await;
        });
        Self {
            path,
            live,
            hung_up,
            lines,
            task,
        }
    }

    fn spare(&self) -> f64 {
        self.live.load().promises.resend_spare
    }

    fn said(&self) -> String {
        String::from_utf8(self.lines.0.lock().unwrap().clone()).unwrap()
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.path, text).unwrap();
    }
}

impl Drop for Followed {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_file(&self.path);
    }
}

fn with_spare(spare: u32) -> String {
    TEXT.replace("resend_spare: 56", &format!("resend_spare: {spare}"))
}

async fn pass(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

#[tokio::test(start_paused = true)]
async fn a_change_without_a_word_is_in_force_within_three_seconds() {
    let followed = Followed::start();
    pass(10).await;
    followed.write(&with_spare(60));
    pass(2_990).await;
    assert_eq!(followed.spare(), 60.0);
    assert!(followed.said().contains("settings in force"));
}

#[tokio::test(start_paused = true)]
async fn a_hang_up_has_a_change_in_force_at_once_and_says_nothing_without_one() {
    let followed = Followed::start();
    pass(10).await;
    for _ in 0..5 {
        followed.hung_up.notify_one();
        pass(20).await;
    }
    assert_eq!(followed.said(), "");
    followed.write(&with_spare(61));
    followed.hung_up.notify_one();
    pass(300).await;
    assert_eq!(followed.spare(), 61.0);
}

#[tokio::test(start_paused = true)]
async fn a_file_that_is_being_written_is_waited_for() {
    let followed = Followed::start();
    let text = with_spare(62);
    pass(10).await;
    for part in 1..=4 {
        // Each of these texts by itself would be refused, or taken with less than it says in the end.
        followed.write(&text[..text.len() * part / 4]);
        followed.hung_up.notify_one();
        pass(100).await;
    }
    pass(400).await;
    assert_eq!(followed.spare(), 62.0);
    assert!(!followed.said().contains("refused"));
}

#[tokio::test(start_paused = true)]
async fn a_file_that_is_away_for_a_moment_changes_nothing() {
    let followed = Followed::start();
    std::fs::remove_file(&followed.path).unwrap();
    pass(5_000).await;
    assert_eq!(followed.said().matches("cannot be read").count(), 1);
    assert_eq!(followed.live.load().generation, 1);
    followed.write(&with_spare(63));
    pass(3_000).await;
    assert_eq!(followed.spare(), 63.0);
}

#[tokio::test(start_paused = true)]
async fn a_rename_in_place_is_a_change() {
    let followed = Followed::start();
    let other = followed.path.with_extension("next");
    std::fs::write(&other, with_spare(64)).unwrap();
    std::fs::rename(&other, &followed.path).unwrap();
    pass(3_000).await;
    assert_eq!(followed.spare(), 64.0);
}

#[tokio::test(start_paused = true)]
async fn a_bad_file_is_named_once_with_its_line_and_a_good_one_follows() {
    let followed = Followed::start();
    followed.write(&TEXT.replace("resend_share: 0.2", "resend_share: 7"));
    pass(9_000).await;
    let said = followed.said();
    assert_eq!(said.matches("settings file refused").count(), 1);
    assert!(said.contains("\"line\":15"), "{said}");
    assert_eq!(followed.live.load().generation, 1);
    followed.write(&with_spare(65));
    pass(3_000).await;
    assert_eq!(followed.spare(), 65.0);
}

#[tokio::test(start_paused = true)]
async fn two_changes_in_a_row_end_with_the_last() {
    let followed = Followed::start();
    for spare in 66..70 {
        followed.write(&with_spare(spare));
        followed.hung_up.notify_one();
        pass(170).await;
    }
    pass(3_000).await;
    assert_eq!(followed.spare(), 69.0);
}
