use super::*;

#[test]
fn finds_a_line() {
    let subject = Subject {
        role: "r",
        quantity: "q",
        per: "p",
    };
    let points = vec![(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)];
    let slope = Slope::fit(subject, points, None, |slope, base| base + 10.0 * slope);
    assert!((slope.slope - 2.0).abs() < 1e-9 && (slope.r2 - 1.0).abs() < 1e-9);
    assert!((slope.at_target_size - 23.0).abs() < 1e-9);
}
