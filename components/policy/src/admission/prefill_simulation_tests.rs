use super::*;

fn reader(left_ms: f64) -> PrefillEngine {
    PrefillEngine {
        left_ms,
        tokens_per_ms: 10.0,
    }
}

#[test]
fn each_prompt_goes_to_the_engine_that_is_free_first() {
    let mut run = PrefillSimulation::new(&[reader(0.0), reader(150.0)]);
    assert_eq!(run.first_token_ms(1_000), Some(100.0));
    run.read(1_000);
    assert_eq!(run.first_token_ms(1_000), Some(200.0));
    run.read(1_000);
    assert_eq!(run.first_token_ms(1_000), Some(250.0));
}

#[test]
fn a_pool_without_engines_reads_nothing() {
    let mut run = PrefillSimulation::new(&[]);
    run.read(1_000);
    assert_eq!(run.first_token_ms(1), None);
}
