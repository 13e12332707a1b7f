use super::*;

fn engine(backlog_ms: f64) -> PrefillEngine {
    PrefillEngine {
        backlog_ms,
        tokens_per_ms: 10.0,
    }
}

#[test]
fn assigns_each_prompt_to_the_engine_that_is_idle_first() {
    let mut simulation = PrefillSimulation::new(&[engine(0.0), engine(150.0)]);
    assert_eq!(simulation.first_token_ms(1_000), Some(100.0));
    simulation.enqueue(1_000);
    assert_eq!(simulation.first_token_ms(1_000), Some(200.0));
    simulation.enqueue(1_000);
    assert_eq!(simulation.first_token_ms(1_000), Some(250.0));
}

#[test]
fn forecasts_no_first_token_without_engines() {
    let mut simulation = PrefillSimulation::new(&[]);
    simulation.enqueue(1_000);
    assert_eq!(simulation.first_token_ms(1), None);
}
