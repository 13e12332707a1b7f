//! `check`: names every mistake of a settings file.

use crate::cli::CheckOptions;
use crate::cmd::read_file;
use miette::miette;
use settings::{
    BoxFile, FleetFile, LiveSettings, check_box_file, check_branch, check_fleet_file, given_paths,
};
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
        None if options.explain => explain(&name, &text),
        None => {
            println!("{name}: no mistakes");
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Prints each field of a box's settings file with its value and how a change of it is taken over.
fn explain(name: &str, text: &str) -> miette::Result<ExitCode> {
    let fields = FleetFile::read(text).map(|file| file.fields());
    let fields = fields.or_else(|_| BoxFile::read(text).map(|file| file.fields()));
    let fields = fields.map_err(|_| miette!("{name} is no settings file of a box"))?;
    let given = given_paths(text, &fields);
    for field in &fields {
        let from = if given.contains(field.path) {
            "file"
        } else {
            "default"
        };
        println!(
            "{:28} {:18} {:8} {}  # {}",
            field.path,
            field.takes.as_str(),
            from,
            field.value,
            field.about
        );
    }
    Ok(ExitCode::SUCCESS)
}
