use super::*;

#[test]
fn expires_a_key_older_than_the_retention() {
    let key = "01890a5d-ac96-774b-bcce-b302099a8057";
    let created_ms = key_time_ms(key).unwrap();
    assert_eq!(key_age(key, created_ms + 10, 1000), KeyAge::Kept);
    assert_eq!(key_age(key, created_ms + 2000, 1000), KeyAge::Expired);
}

#[test]
fn treats_a_key_without_a_timestamp_as_kept() {
    assert_eq!(key_age("order-17", u64::MAX / 2, 1000), KeyAge::Kept);
}
