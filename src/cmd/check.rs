//! `check`: names every mistake of a settings file.

use crate::cli::CheckOptions;
use crate::cmd::read_file;
use settings::{check_box_file, check_branch, check_fleet_file};
use std::process::ExitCode;

/// Exits with 0 where the file is right, with 1 where it is not.
pub fn run(options: &CheckOptions) -> miette::Result<ExitCode> {
    let name = options.file.display().to_string();
    let text = read_file(&options.file)?;
    let has = |key: &str| text.lines().any(|line| line.starts_with(key));
    let mistakes = match (has("box:"), has("store:")) {
        (true, true) => check_fleet_file(&name, &text),
        (true, false) => check_box_file(&name, &text),
        (false, _) => check_branch(&name, &text),
    };
    match mistakes {
        Some(mistakes) => Err(miette::Report::new(*mistakes)),
        None => {
            println!("{name}: no mistakes");
            Ok(ExitCode::SUCCESS)
        }
    }
}
