//! Fits lines to measured points by linear regression.

/// Returns the intercept and slope of the least-squares line through points. The slope is 0 if all
/// points have the same x.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    (mean_y - slope * mean_x, slope)
}
