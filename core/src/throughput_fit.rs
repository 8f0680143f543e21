//! A parabola fitted to throughput over concurrency.

/// Least squares with fading memory on a + b m + c m².
#[derive(Debug)]
pub struct ThroughputFit {
    theta: [f64; 3],
    cov: [[f64; 3]; 3],
}

impl Default for ThroughputFit {
    fn default() -> Self {
        Self {
            theta: [0.0; 3],
            cov: std::array::from_fn(|i| std::array::from_fn(|j| if i == j { 1e3 } else { 0.0 })),
        }
    }
}

impl ThroughputFit {
    /// Learns that `m` in flight gave `throughput`; `forget` is what is left of the memory after each lesson.
    pub fn record(&mut self, m: f64, throughput: f64, forget: f64) {
        let x = [1.0, m / 10.0, m * m / 100.0]; // scaled, so that the three columns are of like size
        let px: [f64; 3] = std::array::from_fn(|i| (0..3).map(|j| self.cov[i][j] * x[j]).sum());
        let denominator = forget + (0..3).map(|i| x[i] * px[i]).sum::<f64>();
        let error = throughput - (0..3).map(|i| x[i] * self.theta[i]).sum::<f64>();
        for (i, p) in px.iter().enumerate() {
            self.theta[i] += p / denominator * error;
            for (j, q) in px.iter().enumerate() {
                self.cov[i][j] = (self.cov[i][j] - p * q / denominator) / forget;
            }
            self.cov[i][i] = self.cov[i][i].clamp(1e-9, 1e6); // no wind-up while the load stands still
        }
    }

    /// The vertex, where the parabola has a peak.
    pub fn vertex(&self) -> Option<f64> {
        let [_, b, c] = self.theta;
        (c < -1e-9 && b > 0.0).then(|| 10.0 * -b / (2.0 * c))
    }
}
