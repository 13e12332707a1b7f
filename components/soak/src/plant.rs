//! Promises broken on purpose, to show that each check finds what it is for.

use std::fmt;
use std::str::FromStr;

/// What is broken, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// A target runs each unrepeatable call twice.
    Twice,
    /// A target runs a call and says that it did not.
    NotRun,
    /// A target answers with what belongs to another call.
    Mixed,
    /// An engine leaves an event out.
    Order,
    /// An engine runs what it begins twice.
    TwoRuns,
    /// The store is told 4 s late that a target leaves.
    LateWork,
    /// The store is not told that a data centre is evacuated.
    Evacuation,
    /// The births of targets that start again under their names are not told.
    Lives,
    /// Entries that are said not to be readable are.
    Unreadable,
    /// The store does not tell that its era rose.
    Era,
    /// Planned stops are kills.
    Cut,
    /// A key that is said to be taken away is not.
    Config,
    /// Boxes may send anything a second time.
    Budget,
    /// Targets announce a higher rate limit than is noted.
    Limit,
    /// Targets do not say in their answers that they leave.
    Leaving,
    /// Targets do not ask for the pauses that are noted.
    Pause,
    /// Boxes withhold nothing that crashes engines.
    FatalPart,
    /// Boxes are not started again after the loss of all.
    Recovery,
}

/// All of them, with the promise whose check finds each.
pub const PLANTS: [(Plant, &str, &str); 18] = [
    (Plant::Twice, "twice", "at most once"),
    (Plant::NotRun, "not-run", "not run is true"),
    (Plant::Mixed, "mixed", "its own whole answer"),
    (Plant::Order, "order", "each event once, in order"),
    (Plant::TwoRuns, "two-runs", "one generation"),
    (Plant::LateWork, "late-work", "no work to a leaving target"),
    (
        Plant::Evacuation,
        "evacuation",
        "no work to an evacuated data centre",
    ),
    (Plant::Lives, "lives", "the next life takes work"),
    (
        Plant::Unreadable,
        "unreadable",
        "no work to an unreadable entry",
    ),
    (Plant::Era, "era", "no work to a leaving target"),
    (Plant::Cut, "cut", "a planned stop cuts nothing"),
    (Plant::Config, "config", "declarations in force"),
    (Plant::Budget, "budget", "budget of second sends"),
    (Plant::Limit, "limit", "rate limits"),
    (
        Plant::Leaving,
        "leaving",
        "no work to a target that says it leaves",
    ),
    (Plant::Pause, "pause", "pauses that targets ask for"),
    (
        Plant::FatalPart,
        "fatal-part",
        "a part that crashes engines is withheld",
    ),
    (Plant::Recovery, "recovery", "serves again"),
];

impl Plant {
    /// The promise whose check finds it.
    pub fn promise(self) -> &'static str {
        let found = PLANTS.iter().find(|(plant, _, _)| *plant == self);
        found.map_or("", |(_, _, promise)| promise)
    }
}

impl FromStr for Plant {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = PLANTS.iter().find(|(_, name, _)| *name == text);
        let names = PLANTS.map(|(_, name, _)| name).join(", ");
        found
            .map(|(plant, _, _)| *plant)
            .ok_or_else(|| format!("`{text}` is none of {names}"))
    }
}

impl fmt::Display for Plant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let found = PLANTS.iter().find(|(plant, _, _)| plant == self);
        f.write_str(found.map_or("", |(_, name, _)| name))
    }
}
