use super::*;

/// Number of reads of one box within 10 s while the store refuses all of them. `interval_factor` is that of the fleet's
/// size.
fn read_attempts_during_outage(interval_factor: u32) -> usize {
    let mut backoff = Backoff::with_long_pauses();
    let mut elapsed = Duration::ZERO;
    let mut reads = 0;
    while elapsed < Duration::from_secs(10) {
        reads += 1;
        elapsed += pause_after_failed_read(&mut backoff, interval_factor);
    }
    reads
}

#[test]
fn boxes_of_a_larger_fleet_retry_failed_reads_less_often() {
    assert_eq!(read_attempts_during_outage(1), 7);
    assert!(read_attempts_during_outage(4) <= 5);
    assert!(read_attempts_during_outage(16) <= 3);
}
