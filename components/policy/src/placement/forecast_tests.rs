use super::*;

#[test]
fn frees_the_memory_of_streams_that_end() {
    let mut forecast = Forecast::default();
    forecast.add(100.0, |horizon| if horizon < 20.0 { 1.0 } else { 0.0 });
    assert_eq!(forecast.peak_tokens(3.0), 116.0);
}

#[test]
fn the_margin_raises_the_peak_of_an_uncertain_forecast() {
    let mut forecast = Forecast::default();
    forecast.add(100.0, |_| 0.5);
    assert!(forecast.peak_tokens(2.0) > forecast.peak_tokens(0.0));
}
