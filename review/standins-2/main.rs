//! Stand-ins and cases of the review. `cases NAME FOLDER` plays one case and leaves `record.txt` in the folder.
//! It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod boxes;
mod calls;
mod json;
mod moved_evacuation;
mod old_view;
mod record;
mod stale_pages;
mod store;
mod wire;
mod worker;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("cases NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let play: fn(&PathBuf, bool) -> i32 = match name.as_str() {
        "moved-evacuation" => moved_evacuation::play,
        "old-view" => old_view::play,
        "stale-pages" => stale_pages::play,
        _ => {
            eprintln!("no case `{name}`");
            std::process::exit(2);
        }
    };
    // Whatever hangs, the case ends.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(118));
        eprintln!("the case did not end in time");
        boxes::kill_all();
        std::process::exit(2);
    });
    let ended = std::panic::catch_unwind(|| play(&folder, trouble)).unwrap_or(2);
    boxes::kill_all();
    std::process::exit(ended);
}
