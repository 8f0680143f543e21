//! Fits a parabola to throughput over concurrency by recursive least squares with exponential forgetting.

/// Upper bound of each variance. It prevents covariance wind-up while the concurrency is constant.
const MAX_VARIANCE: f64 = 1e6;
/// Lower bound of each variance. It keeps the fit able to adapt.
const MIN_VARIANCE: f64 = 1e-9;
/// Variance of each coefficient before the first observation.
const INITIAL_VARIANCE: f64 = 1e3;
/// Divisor of the concurrency, which gives the regressors similar magnitudes.
const CONCURRENCY_SCALE: f64 = 10.0;
/// Divisor of the squared concurrency, for the same reason.
const SQUARED_SCALE: f64 = CONCURRENCY_SCALE * CONCURRENCY_SCALE;
/// Upper bound of the quadratic coefficient of a parabola with a peak.
const MAX_QUADRATIC_COEFFICIENT: f64 = -1e-9;

/// Coefficients of a + b x + c x² and their covariance, where x is the concurrency divided by
/// `CONCURRENCY_SCALE`.
#[derive(Debug)]
pub struct ThroughputFit {
    coefficients: [f64; 3],
    covariance: [[f64; 3]; 3],
}

impl Default for ThroughputFit {
    fn default() -> Self {
        let variance = |row, column| if row == column { INITIAL_VARIANCE } else { 0.0 };
        Self {
            coefficients: [0.0; 3],
            covariance: std::array::from_fn(|row| std::array::from_fn(|column| variance(row, column))),
        }
    }
}

impl ThroughputFit {
    /// Records the `throughput` that was observed with `concurrency` attempts in flight. The weight of
    /// earlier observations is multiplied by `forgetting_factor`.
    pub fn record(&mut self, concurrency: f64, throughput: f64, forgetting_factor: f64) {
        let regressors = [1.0, concurrency / CONCURRENCY_SCALE, concurrency * concurrency / SQUARED_SCALE];
        let projection: [f64; 3] = std::array::from_fn(|row| dot(&self.covariance[row], &regressors));
        let denominator = forgetting_factor + dot(&regressors, &projection);
        let error = throughput - dot(&regressors, &self.coefficients);
        for row in 0..3 {
            self.coefficients[row] += projection[row] / denominator * error;
            for column in 0..3 {
                let correction = projection[row] * projection[column] / denominator;
                self.covariance[row][column] =
                    (self.covariance[row][column] - correction) / forgetting_factor;
            }
            self.covariance[row][row] = self.covariance[row][row].clamp(MIN_VARIANCE, MAX_VARIANCE);
        }
    }

    /// Returns the concurrency with the highest throughput, or `None` if the parabola has no peak at a
    /// positive concurrency.
    pub fn vertex(&self) -> Option<f64> {
        let [_, linear, quadratic] = self.coefficients;
        let has_peak = quadratic < MAX_QUADRATIC_COEFFICIENT && linear > 0.0;
        has_peak.then(|| CONCURRENCY_SCALE * -linear / (2.0 * quadratic))
    }
}

fn dot(left: &[f64; 3], right: &[f64; 3]) -> f64 {
    (0..3).map(|index| left[index] * right[index]).sum()
}
