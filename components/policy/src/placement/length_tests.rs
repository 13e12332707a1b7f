use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CLASS: LengthClass = LengthClass {
    account: AccountId(1),
    kind: 0,
};

/// Records answers of exponentially distributed length with mean `mean`, censored at `cut` tokens
/// if given.
fn train(model: &mut LengthModel, class: LengthClass, mean: f64, cut: Option<u32>, count: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..count {
        let length = (-mean * rng.random::<f64>().max(1e-9).ln()).ceil() as u32;
        let (tokens, end) = match cut {
            Some(cut) if length > cut => (cut, StreamEnd::Censored),
            _ => (length, StreamEnd::Finished),
        };
        model.record_growth(class, 0, tokens);
        model.record_end(class, tokens, end);
    }
}

#[test]
fn estimates_survival_from_finished_answers() {
    let mut model = LengthModel::default();
    train(&mut model, CLASS, 200.0, None, 4000);
    let survival = model.survival(CLASS, 0.0, 200.0);
    assert!((survival - 0.368).abs() < 0.04, "{survival}");
}

#[test]
fn censored_answers_do_not_bias_the_estimate_short() {
    let mut model = LengthModel::default();
    train(&mut model, CLASS, 200.0, Some(100), 4000);
    let survival = model.survival(CLASS, 0.0, 90.0);
    assert!((survival - 0.638).abs() < 0.05, "{survival}");
}

#[test]
fn running_answers_count_as_reached() {
    let mut model = LengthModel::default();
    train(&mut model, CLASS, 20.0, None, 500);
    let before = model.survival(CLASS, 0.0, 200.0);
    for _ in 0..500 {
        model.record_growth(CLASS, 0, 400);
    }
    model.record_end(CLASS, 1, StreamEnd::Finished);
    assert!(model.survival(CLASS, 0.0, 200.0) > before + 0.2);
}

#[test]
fn an_unknown_class_uses_the_estimate_of_the_pool() {
    let mut model = LengthModel::default();
    train(&mut model, CLASS, 50.0, None, 2000);
    let other = LengthClass {
        account: AccountId(2),
        kind: 0,
    };
    let known = model.survival(CLASS, 0.0, 50.0);
    assert!((model.survival(other, 0.0, 50.0) - known).abs() < 0.05);
}

#[test]
fn adapts_to_a_shift_of_lengths() {
    let mut model = LengthModel::default();
    train(&mut model, CLASS, 50.0, None, 4000);
    let short = model.survival(CLASS, 0.0, 200.0);
    train(&mut model, CLASS, 400.0, None, 4000);
    assert!(model.survival(CLASS, 0.0, 200.0) > short + 0.25);
}

#[test]
fn bins_lie_between_their_bounds() {
    for bin in 0..BINS {
        assert_eq!(bin_of(bin_start(bin) * 1.001), bin);
        assert_eq!(bin_of(bin_start(bin + 1) * 0.999), bin);
    }
    for (tokens, bin) in [
        (0.0, 0),
        (f64::NAN, 0),
        (f64::INFINITY, BINS - 1),
        (1e300, BINS - 1),
    ] {
        assert_eq!(bin_of(tokens), bin);
    }
}
