//! Percentiles of measured values, and curves fitted to them.

/// The `quantile` (0 to 1) of `values` without interpolation; 0 if `values` is empty. Sorts
/// `values`.
pub(crate) fn percentile(values: &mut [f64], quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (last as f64 * quantile).round() as usize;
    values.get(position).copied().unwrap_or(0.0)
}

/// The 50th and 95th percentile and the maximum. Sorts `values`.
pub(crate) fn p50_p95_max(values: &mut [f64]) -> [f64; 3] {
    [percentile(values, 0.5), percentile(values, 0.95), percentile(values, 1.0)]
}

/// Slope of the line fitted to `points` by least squares.
pub(crate) fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Exponent `e` of the power law `y = c * x^e` fitted to `points` by least squares on logarithmic
/// scales: 0 if `y` does not depend on `x`, 1 if it is proportional to `x`. Points whose `y` is not
/// positive are ignored.
pub(crate) fn exponent(points: &[(f64, f64)]) -> f64 {
    let logarithms: Vec<(f64, f64)> =
        points.iter().filter(|(_, y)| *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
    slope(&logarithms)
}
