//! `shuntpier`: one binary for entry boxes, operators and trials.

mod cli;
mod cmd;
mod logs;

use cli::Command;
use std::process::ExitCode;

fn main() -> miette::Result<ExitCode> {
    match cli::command().run() {
        Command::Serve(options) => cmd::serve::run(&options),
        Command::Relay(options) => cmd::relay::run(&options),
        Command::Standins(options) => cmd::standins::run(&options),
        Command::Check(options) => cmd::check::run(&options),
        Command::Settings(options) => cmd::settings::run(&options),
        Command::Targets(options) => cmd::targets::run(&options),
        Command::Shares(options) => cmd::shares::run(&options),
        Command::Withheld(options) => cmd::withheld::run(&options),
        Command::Burn(options) => cmd::burn::run(&options),
        Command::Explain(options) => cmd::explain::run(&options),
        Command::Losses(options) => cmd::losses::run(&options),
        Command::Spread(options) => cmd::spread::run(&options),
        Command::Demo(options) => cmd::demo::run(&options),
    }
}
