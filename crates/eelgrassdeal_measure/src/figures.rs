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
