//! Least-squares fit of a line.

/// Returns the slope of the least-squares line through `(size, value)` points.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
    let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
    let deviation_product = |(size, value): &(f64, f64)| (size - mean_size) * (value - mean_value);
    let squared_deviation = |(size, _): &(f64, f64)| (size - mean_size).powi(2);
    points.iter().map(deviation_product).sum::<f64>()
        / points.iter().map(squared_deviation).sum::<f64>()
}
