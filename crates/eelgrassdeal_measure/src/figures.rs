//! Percentiles and fits of measured values.

/// Value below which `share` (0 to 1) of `values` lie; 0 if there are none.
pub(crate) fn percentile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let position = (last as f64 * share).round() as usize;
    values.get(position).copied().unwrap_or(0.0)
}

/// The 50th and 95th percentile and the maximum.
pub(crate) fn spread(values: &mut [f64]) -> [f64; 3] {
    [percentile(values, 0.5), percentile(values, 0.95), percentile(values, 1.0)]
}

/// Slope of the straight line closest to the points.
pub(crate) fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}

/// Exponent `e` of the curve `y = c * x^e` closest to the points on logarithmic scales: 0 for a
/// figure that does not grow, 1 for one that grows in proportion.
pub(crate) fn exponent(points: &[(f64, f64)]) -> f64 {
    let logarithms: Vec<(f64, f64)> =
        points.iter().filter(|(_, y)| *y > 0.0).map(|(x, y)| (x.ln(), y.ln())).collect();
    slope(&logarithms)
}
