use super::*;

#[test]
fn parses_engine_metrics() {
    let text = "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running 12\n\
                # TYPE vllm:num_preemptions_total counter\nvllm:num_preemptions_total 3\n\
                vllm:kv_cache_usage_perc{model=\"m\"} 0.5\nprocess_start_time_seconds 1.5\n";
    let report = parse_load(text);
    assert_eq!(report.running, 12);
    assert_eq!(report.preemptions, 3);
    assert_eq!(report.memory_share, 0.5);
    assert_eq!(report.incarnation, TargetIncarnation(1500));
}

#[test]
fn returns_the_default_report_for_unparsable_text() {
    assert_eq!(parse_load("\u{0}{{{ not 1 2 3"), LoadReport::default());
}
