//! What a move would spare a stream's caller, in pauses beyond the goal.

use crate::pace::chance::Feel;
use crate::pace::felt::PauseView;
use crate::placement::forecast::HORIZONS_TOKENS;
use crate::placement::ledger::{EngineLedger, Stream};
use crate::placement::length::LengthModel;
use crate::placement::upkeep::cost::MovePauses;

/// How long a generation stays where it is until it is moved: the box is told with its next telling, the copy is made.
const UNTIL_MOVED_MS: f64 = 600.0;
/// Streams with fewer tokens left than this end where they are: estimates of so short a rest are mostly noise.
pub(crate) const REST_TOKENS_MIN: f64 = 64.0;
/// Pauses that a move must spare: what is foretold of a pause is not more exact than this.
pub(crate) const GAIN_MIN: f64 = 0.3;
/// Times that a move holds a generation's memory: at both engines until it has ended its copy.
const HELD_TWICE: f64 = 2.0;

/// What pauses are foretold from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GainView<'a> {
    pub(crate) pauses: PauseView<'a>,
    pub(crate) moves: &'a MovePauses,
    pub(crate) lengths: &'a LengthModel,
    /// Tokens of a usual prompt, which may be read beside.
    pub(crate) prompt_tokens: f64,
}

impl GainView<'_> {
    /// How long a stream will run on.
    fn rest_ms(&self, stream: &Stream) -> f64 {
        rest_tokens(self.lengths, stream) / self.pauses.tokens_per_ms
    }

    /// Whether a stream can be moved at all: it makes events, has enough left to make, and was not wished before.
    pub(crate) fn can_move(&self, stream: &Stream) -> bool {
        let begun = stream.generated_tokens > 0 && !stream.is_wished;
        begun && rest_tokens(self.lengths, stream) >= REST_TOKENS_MIN
    }

    /// How events come where a stream runs.
    pub(crate) fn here(&self, ledger: &EngineLedger) -> Option<Feel> {
        let streams = ledger.streams.len() as f64;
        self.pauses.feel_with(ledger, streams, self.prompt_tokens)
    }

    /// How events would come with one stream more.
    pub(crate) fn there(&self, ledger: &EngineLedger) -> Option<Feel> {
        self.pauses.feel(ledger, self.prompt_tokens)
    }

    /// Chance of a pause beyond its goal where a stream stays.
    pub(crate) fn staying(&self, here: &Feel, stream: &Stream) -> f64 {
        stream.goal_left_ms().map_or(0.0, |goal_ms| {
            here.long_pause(f64::from(goal_ms), self.rest_ms(stream))
        })
    }

    /// Chance of one where it moves.
    pub(crate) fn moving(&self, here: &Feel, there: &Feel, stream: &Stream) -> f64 {
        let Some(goal_ms) = stream.goal_left_ms().map(f64::from) else {
            return 0.0;
        };
        let rest_ms = self.rest_ms(stream);
        let until = here.long_pause(goal_ms, rest_ms.min(UNTIL_MOVED_MS));
        let then = there.long_pause(goal_ms, (rest_ms - UNTIL_MOVED_MS).max(0.0));
        let moved = self.moves.beyond(goal_ms, there.event_ms);
        1.0 - (1.0 - until) * (1.0 - then) * (1.0 - moved)
    }

    /// Whether pauses that are spared are worth what moving a stream costs, on the scale on which requests are placed.
    pub(crate) fn is_worth(&self, spared: f64, stream: &Stream) -> bool {
        let settings = self.pauses.settings;
        let each = f64::from(settings.long_pause_ms) * f64::from(settings.reading_tokens_per_ms);
        let held = f64::from(stream.prompt_tokens) + f64::from(stream.generated_tokens);
        spared >= GAIN_MIN && spared * each > held * HELD_TWICE
    }
}

/// Tokens that a stream is expected to make yet, as streams like it did that came so far: those that outlast what was
/// expected of them are the ones that are worth a move.
fn rest_tokens(lengths: &LengthModel, stream: &Stream) -> f64 {
    let survival = stream.survival(lengths, f64::from(stream.generated_tokens));
    let mut from = 0.0;
    let mut expected = 0.0;
    for horizon in HORIZONS_TOKENS {
        let to = f64::from(horizon);
        expected += (to - from) * survival((from + to) / 2.0);
        from = to;
    }
    expected
}
