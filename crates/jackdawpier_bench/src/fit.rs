//! Least-squares lines through measured points, with their error.

/// A line through measured points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Root mean square of the relative errors.
    pub relative_error: f64,
}

impl Line {
    /// Fits a line through at least two points, each weighed by one over its value squared, so
    /// that small sizes count as much as large ones.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let sum = |f: fn(f64, f64) -> f64| -> f64 {
            points.iter().map(|(x, y)| f(*x, *y) / y.max(1e-12).powi(2)).sum()
        };
        let (w, wx, wy) = (sum(|_, _| 1.0), sum(|x, _| x), sum(|_, y| y));
        let (wxx, wxy) = (sum(|x, _| x * x), sum(|x, y| x * y));
        let determinant = w * wxx - wx * wx;
        let slope = if determinant.abs() < f64::EPSILON * w * wxx {
            0.0
        } else {
            (w * wxy - wx * wy) / determinant
        };
        let intercept = (wy - slope * wx) / w;
        let squares: f64 =
            points.iter().map(|(x, y)| ((intercept + slope * x - y) / y.max(1e-12)).powi(2)).sum();
        let relative_error = (squares / points.len() as f64).sqrt();
        Self { intercept, slope, relative_error }
    }

    /// Value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
