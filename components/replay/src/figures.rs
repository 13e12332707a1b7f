//! What a load pattern came to under a policy.

use crate::load::{Kind, Load};
use crate::request::{Phase, Request, Story};
use hdrhistogram::Histogram;

/// Share of the goal within which a refusal is early: its caller may still be served in time when it comes back.
const EARLY_SHARE: f64 = 0.25;

/// What a caller loses who came back after a refusal and is refused again, as a share of the worth.
const IN_VAIN_SHARE: f64 = 0.3;
/// What a caller loses who is held for the whole goal and then refused, and the share of the goal for which nothing is
/// lost.
const HELD_SHARE: f64 = 0.7;
const HELD_FREE_SHARE: f64 = 0.125;

/// Figures of one kind of requests.
#[derive(Clone, Debug)]
pub struct KindFigures {
    /// Its name.
    pub name: String,
    /// Requests that were counted.
    pub asked: u64,
    /// Served in time, without a pause that is too long.
    pub in_time: u64,
    /// Whole, and late or paused.
    pub late: u64,
    /// Refused for good.
    pub refused: u64,
    /// Lost with an engine.
    pub lost: u64,
    /// Neither, when the day was over.
    pub unfinished: u64,
    /// What was earned, less what refusals cost, as a share of what could be.
    pub worth: f64,
    first_ms: Histogram<u64>,
}

/// Figures of one account.
#[derive(Clone, Debug)]
pub struct AccountFigures {
    /// Requests that were counted.
    pub asked: u64,
    /// Whole answers.
    pub served: u64,
    first_ms: Histogram<u64>,
}

impl AccountFigures {
    fn new() -> Self {
        Self {
            asked: 0,
            served: 0,
            first_ms: histogram(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.served += other.served;
        // Both histograms have the same bounds.
        let _ = self.first_ms.add(&other.first_ms);
    }

    fn take(&mut self, request: &Request, story: &Story) {
        self.asked += 1;
        self.served += u64::from(matches!(story.phase, Phase::Whole));
        if let Some(at_ms) = story.first_ms {
            self.first_ms.saturating_record(at_ms - request.at_ms);
        }
    }

    /// Whole answers as a share of what was asked.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }

    /// Time to the first token at a quantile, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> u64 {
        self.first_ms.value_at_quantile(quantile)
    }
}

/// Figures of a day.
#[derive(Clone, Debug)]
pub struct Figures {
    /// By account, in the order of their numbers.
    pub accounts: Vec<AccountFigures>,
    /// By kind, in the order of the load pattern.
    pub kinds: Vec<KindFigures>,
    /// What was earned, as a share of what could be, over all kinds.
    pub worth: f64,
    /// Requests that were preempted.
    pub preempted: u64,
    /// Tokens that were read once more, after a preemption.
    pub read_again_tokens: u64,
    /// Generations that went on at another engine.
    pub moved: u64,
    /// Refusals, first and second ones.
    pub refusals: u64,
    /// Those of them that came early.
    pub early_refusals: u64,
    /// Whole answers with a pause that was too long.
    pub paused: u64,
    first_ms: Histogram<u64>,
}

impl KindFigures {
    fn new(kind: &Kind) -> Self {
        Self {
            name: kind.name.clone(),
            asked: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            lost: 0,
            unfinished: 0,
            worth: 0.0,
            first_ms: histogram(),
        }
    }

    /// Time to the first token at a quantile, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> u64 {
        self.first_ms.value_at_quantile(quantile)
    }
}

fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, 3_600_000, 3);
    made.unwrap_or_else(|_| unreachable!("the bounds are constants"))
}

/// What the world counted beside the stories of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub preempted: u64,
    pub read_again_tokens: u64,
    pub moved: u64,
    pub refusals: u64,
    pub early_refusals: u64,
}

/// Whether a refusal comes early.
pub fn is_early(kind: &Kind, after_ms: u64) -> bool {
    after_ms as f64 <= kind.goal_ms as f64 * EARLY_SHARE
}

fn payoff(load: &Load, request: &Request, means: &[f64]) -> f64 {
    let size = f64::from(request.prompt_tokens + 10 * request.length_tokens);
    let kind = &load.kinds[request.kind];
    kind.worth * (0.3 + 0.7 * size / means[request.kind]).min(4.0)
}

impl Figures {
    /// The figures of the requests that are counted.
    pub fn of(load: &Load, requests: &[Request], stories: &[Story], counts: Counts) -> Self {
        let mut kinds: Vec<KindFigures> = load.kinds.iter().map(KindFigures::new).collect();
        let mut owed = vec![0.0; kinds.len()];
        let mut earned = vec![0.0; kinds.len()];
        let means = mean_sizes(load, requests);
        let mut first_ms = histogram();
        let mut paused = 0;
        let mut accounts = vec![AccountFigures::new(); load.accounts as usize];
        for (request, story) in requests.iter().zip(stories) {
            if request.at_ms < load.counted_from_ms {
                continue;
            }
            let kind = &load.kinds[request.kind];
            let figures = &mut kinds[request.kind];
            let whole = payoff(load, request, &means);
            accounts[request.account as usize].take(request, story);
            figures.asked += 1;
            owed[request.kind] += whole;
            if let Some(at_ms) = story.first_ms {
                first_ms.saturating_record(at_ms - request.at_ms);
                figures.first_ms.saturating_record(at_ms - request.at_ms);
            }
            match story.phase {
                Phase::Whole => {
                    let share = share_of(kind, request, story);
                    earned[request.kind] += whole * share;
                    figures.in_time += u64::from(share >= 1.0);
                    figures.late += u64::from(share < 1.0);
                    paused += u64::from(story.pause_ms > kind.pause_goal_ms);
                }
                Phase::Refused => {
                    figures.refused += 1;
                    earned[request.kind] -= whole * cost_share(kind, story);
                }
                Phase::Lost => figures.lost += 1,
                Phase::Away | Phase::Waits | Phase::AtEngine(_) => figures.unfinished += 1,
            }
        }
        for (at, figures) in kinds.iter_mut().enumerate() {
            figures.worth = earned[at] / owed[at].max(f64::MIN_POSITIVE);
        }
        Self {
            accounts,
            worth: earned.iter().sum::<f64>() / owed.iter().sum::<f64>().max(f64::MIN_POSITIVE),
            kinds,
            preempted: counts.preempted,
            read_again_tokens: counts.read_again_tokens,
            moved: counts.moved,
            refusals: counts.refusals,
            early_refusals: counts.early_refusals,
            paused,
            first_ms,
        }
    }

    /// Time to the first token at a quantile, in milliseconds, over all kinds.
    pub fn first_token_ms(&self, quantile: f64) -> u64 {
        self.first_ms.value_at_quantile(quantile)
    }

    /// The figures of all accounts but one.
    pub fn all_but(&self, account: usize) -> AccountFigures {
        let mut others = AccountFigures::new();
        for (at, figures) in self.accounts.iter().enumerate() {
            if at != account {
                others.add(figures);
            }
        }
        others
    }

    /// The served share of the tenth of the accounts that were served worst, one at the least.
    pub fn worst_tenth_served(&self) -> f64 {
        let asked = self.accounts.iter().filter(|account| account.asked > 0);
        let mut shares: Vec<f64> = asked.map(AccountFigures::served_share).collect();
        shares.sort_by(f64::total_cmp);
        let count = shares.len().div_ceil(10);
        shares.iter().take(count).sum::<f64>() / count.max(1) as f64
    }

    /// The figures of a kind.
    pub fn kind(&self, name: &str) -> Option<&KindFigures> {
        self.kinds.iter().find(|kind| kind.name == name)
    }
}

fn mean_sizes(load: &Load, requests: &[Request]) -> Vec<f64> {
    let mut sums = vec![(0.0, 0.0); load.kinds.len()];
    for request in requests {
        let size = f64::from(request.prompt_tokens + 10 * request.length_tokens);
        sums[request.kind].0 += size;
        sums[request.kind].1 += 1.0;
    }
    let mean = |(sum, count): &(f64, f64)| sum / count.max(1.0);
    sums.iter().map(mean).collect()
}

/// What a request costs that was refused for good, as a share of its worth: that its caller came back in vain, and how
/// long it was held.
fn cost_share(kind: &Kind, story: &Story) -> f64 {
    let held = story.held_ms as f64 / kind.goal_ms as f64;
    let held = ((held - HELD_FREE_SHARE) / (1.0 - HELD_FREE_SHARE)).clamp(0.0, 1.0);
    IN_VAIN_SHARE + held * HELD_SHARE
}

/// The share of its worth that a whole answer earned.
fn share_of(kind: &Kind, request: &Request, story: &Story) -> f64 {
    let Some(first_ms) = story.first_ms else {
        return 0.0;
    };
    let in_time =
        |since_ms: u64| first_ms - since_ms <= kind.goal_ms && story.pause_ms <= kind.pause_goal_ms;
    if in_time(request.at_ms) {
        return 1.0;
    }
    let refused_early = story
        .refused_after_ms
        .is_some_and(|after_ms| is_early(kind, after_ms));
    match refused_early && in_time(story.tried_ms) {
        true => (1.0 + kind.late_share) / 2.0,
        false => kind.late_share,
    }
}
