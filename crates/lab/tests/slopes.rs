//! Line fit and histogram of the measurements.

use lab::slopes::fit_line;
use rstest::rstest;

/// Guards against a curve that is reported as a straight line.
#[rstest]
#[case::straight(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)], 2.0, 0.0)]
#[case::bent(&[(0.0, 0.0), (1.0, 0.0), (2.0, 6.0)], 3.0, 1.0 / 3.0)]
fn finds_slope_and_deviation(
    #[case] points: &[(f64, f64)],
    #[case] slope: f64,
    #[case] deviation: f64,
) {
    let found = fit_line(points);

    assert!((found.0 - slope).abs() < 1e-9, "{found:?}");
    assert!((found.1 - deviation).abs() < 1e-9, "{found:?}");
}

/// Guards against values above the initial range of a histogram that are recorded as smaller ones.
#[test]
fn samples_keep_large_values() {
    let mut histogram = hdrhistogram::Histogram::new(3).unwrap();

    lab::record_value(&mut histogram, 4_216);

    assert!((4_200..4_230).contains(&histogram.value_at_quantile(0.5)));
}
