use super::*;
use crate::placement::ledger::EngineInfo;
use crate::settings::PoolSettings;
use prelude::DataCentreId;

const ENGINE: TargetId = TargetId(1);

#[test]
fn shows_an_engine_of_which_nothing_is_known_as_usual() {
    let mut pool = Pool::new(PoolSettings::default());
    pool.set_engines(&[EngineInfo {
        id: ENGINE,
        capacity_tokens: 10_000,
        data_centre: DataCentreId(0),
        cold_rate_per_s: None,
    }]);
    let shown = pool.pace_of(ENGINE, 0).unwrap();
    assert_eq!(
        (shown.speed, shown.disturbed_share, shown.spared),
        (1.0, 0.0, None)
    );
    assert_eq!(pool.pace_of(TargetId(2), 0), None);
    pool.set_state(ENGINE, EngineState::Leaving);
    let shown = pool.pace_of(ENGINE, 0).unwrap();
    assert_eq!(shown.spared.as_deref(), Some("it takes no new work"));
}
