use serde::{Deserialize, Serialize};

/// One measurement at one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlopePoint {
    /// Size, in the unit that `SlopeLine::per` names.
    pub size: f64,
    /// Measured value, in the unit of the line.
    pub value: f64,
}

/// A straight line fitted to measurements at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlopeLine {
    /// What was measured.
    pub name: String,
    /// Unit of the size.
    pub per: String,
    /// Unit of the value.
    pub unit: String,
    /// The measurements.
    pub points: Vec<SlopePoint>,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value of the line at size zero.
    pub intercept: f64,
    /// Coefficient of determination (r²), 0 to 1.
    pub straightness: f64,
}

impl SlopeLine {
    /// Fits a line by least squares.
    pub fn fit(name: &str, per: &str, unit: &str, points: Vec<SlopePoint>) -> Self {
        let count = points.len() as f64;
        let mean = |value: fn(&SlopePoint) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|p| p.size), mean(|p| p.value));
        let sum_xx: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let sum_xy: f64 =
            points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
        let slope = sum_xy / sum_xx;
        let intercept = mean_value - slope * mean_size;
        let total_squares: f64 = points.iter().map(|p| (p.value - mean_value).powi(2)).sum();
        let residual_squares: f64 =
            points.iter().map(|p| (p.value - intercept - slope * p.size).powi(2)).sum();
        let straightness =
            if total_squares > 0.0 { 1.0 - residual_squares / total_squares } else { 1.0 };
        Self {
            name: name.to_owned(),
            per: per.to_owned(),
            unit: unit.to_owned(),
            points,
            slope,
            intercept,
            straightness,
        }
    }

    /// Formats the line and its measurements as two lines of text.
    pub fn to_text(&self) -> String {
        let points: Vec<String> =
            self.points.iter().map(|p| format!("{}: {:.4}", p.size, p.value)).collect();
        format!(
            "{:<44} {:>12.4} {} per {} (+ {:.4}), r2 {:.3}\n    {}",
            self.name,
            self.slope,
            self.unit,
            self.per,
            self.intercept,
            self.straightness,
            points.join(", ")
        )
    }
}
