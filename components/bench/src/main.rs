//! Measures: the path, the decisions, the promises under faults, spread and capacity.

mod capacity;
mod faults;
mod path;
mod placement;
mod process;
mod roles;
mod soak;
mod spread;
mod stats;

use bpaf::Bpaf;
use std::process::ExitCode;

/// Measures shuntpier with its stand-ins on loopback
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options("bench"), generate(command))]
enum Command {
    #[bpaf(command("path"))]
    /// What an entry box adds to a stream, against a direct link and a bare relay
    Path(#[bpaf(external(path::options))] path::Options),

    #[bpaf(command("placement"))]
    /// Which target, when to wait, when to refuse: every policy on the same arrivals
    Placement(#[bpaf(external(placement::options))] placement::Options),

    #[bpaf(command("faults"))]
    /// The promises under faults drawn at random, checked by histories
    Faults(#[bpaf(external(faults::options))] faults::Options),

    #[bpaf(command("soak"))]
    /// The promises of a fleet's boxes under faults, each box a process of its own
    Soak(#[bpaf(external(soak::options))] soak::Options),

    #[bpaf(command("spread"))]
    /// How news reach all boxes
    Spread(#[bpaf(external(spread::options))] spread::Options),

    #[bpaf(command("capacity"))]
    /// The slopes from which docs/CAPACITY.md is worked out
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),

    #[bpaf(command("role"), hide)]
    Role(#[bpaf(external(roles::role))] roles::Role),
}

fn main() -> miette::Result<ExitCode> {
    match command().run() {
        Command::Path(options) => path::run(&options),
        Command::Placement(options) => placement::run(&options),
        Command::Faults(options) => faults::run(&options),
        Command::Soak(options) => soak::run(&options),
        Command::Spread(options) => spread::run(&options),
        Command::Capacity(options) => capacity::run(&options),
        Command::Role(role) => roles::run(&role),
    }
}
