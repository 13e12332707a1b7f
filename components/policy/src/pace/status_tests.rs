use super::*;
use crate::placement::ledger::EngineInfo;
use crate::settings::PoolSettings;
use prelude::DataCentreId;

const ENGINE: TargetId = TargetId(1);

#[test]
fn shows_an_engine_without_observations_at_the_baseline() {
    let mut pool = Pool::new(PoolSettings::default());
    pool.set_engines(&[EngineInfo {
        id: ENGINE,
        capacity_tokens: 10_000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    }]);
    let status = pool.pace_status(ENGINE, 0).unwrap();
    assert_eq!(
        (status.speed, status.disturbed_share, status.spared),
        (1.0, 0.0, None)
    );
    assert_eq!(pool.pace_status(TargetId(2), 0), None);
    pool.set_state(ENGINE, EngineState::Leaving);
    let status = pool.pace_status(ENGINE, 0).unwrap();
    assert_eq!(status.spared.as_deref(), Some("it accepts no new requests"));
}
