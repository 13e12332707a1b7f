//! Mechanisms of decision that a box can be run without, to measure what each is worth.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A mechanism of decision. Listed under `without` in a box's settings file, it is off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Mechanism {
    /// An engine's memory is forecast; without it, what is held now counts.
    Forecast,
    /// Lengths of answers are learnt; without it, the prior holds.
    Lengths,
    /// Callers' guesses tell kinds of answers apart.
    Guesses,
    /// Engines near the caller's box go first.
    NearEngines,
    /// Copies go to engines near their source first.
    NearCopies,
    /// One engine has so many prompt tokens waiting at the most.
    ReadingBound,
    /// The reading of prompts is forecast; without it, the bound alone counts.
    ReadingForecast,
    /// The pace of each engine is learnt from its events.
    Pace,
    /// Pauses beyond their callers' goals count where requests are placed.
    PausePlacement,
    /// Who waits is decided by a forecast of the first token; without it, by the pace of grants.
    WaitForecast,
    /// Ten ranks are told apart; without it, the most urgent goes before all others.
    RankOrder,
    /// Room is kept for what the forecast does not know.
    Margin,
    /// Generations leave engines that leave.
    Moves,
    /// Generations leave engines of evacuated data centres.
    EvacuationMoves,
    /// Copies from one engine go one after another.
    Turns,
    /// An engine that failed a generation is on trial for all boxes.
    Trials,
    /// Accounts share by what they had.
    Fairness,
    /// Targets that failed lately are passed over by this box.
    Suspicion,
    /// Plain calls go to targets by their expected time; without it, to the emptiest.
    CallBalance,
    /// Boxes tell each other of plain targets that turn slow or do not answer.
    CallHints,
    /// A box bounds its calls at one target by what that refuses, and lets calls wait for room.
    CallLimits,
    /// A plain call that is late is tried beside its first try; without it, instead of it.
    SecondBeside,
    /// A request under which targets end one after another is withheld from all.
    Quarantine,
    /// What may be repeated is sent a second time.
    SecondSends,
    /// The budget of second sends is divided among the boxes.
    BudgetShares,
    /// Requests wait for what a box that starts learns.
    HeldStarts,
    /// An overrun box is not ready for a while, if others are.
    StandBack,
    /// A stopping box begins what likely ends.
    StopChances,
    /// Refused callers are told a time worked out for them; without it, one second.
    TimesToComeBack,
}
