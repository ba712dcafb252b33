use serde::{Deserialize, Serialize};

/// One measurement at one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlopePoint {
    /// Size, in the line's own unit.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A straight line through measurements at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlopeLine {
    /// What was measured.
    pub name: String,
    /// What the size counts.
    pub per: String,
    /// Unit of the value.
    pub unit: String,
    /// The measurements.
    pub points: Vec<SlopePoint>,
    /// Growth of the value for one more of the size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Share of the variation that the line explains, 0 to 1.
    pub straightness: f64,
}

impl SlopeLine {
    /// Fits a line by least squares.
    pub fn fit(name: &str, per: &str, unit: &str, points: Vec<SlopePoint>) -> Self {
        let count = points.len() as f64;
        let mean = |value: fn(&SlopePoint) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|p| p.size), mean(|p| p.value));
        let spread: f64 = points.iter().map(|p| (p.size - mean_size).powi(2)).sum();
        let shared: f64 =
            points.iter().map(|p| (p.size - mean_size) * (p.value - mean_value)).sum();
        let slope = shared / spread;
        let intercept = mean_value - slope * mean_size;
        let total: f64 = points.iter().map(|p| (p.value - mean_value).powi(2)).sum();
        let left: f64 = points.iter().map(|p| (p.value - intercept - slope * p.size).powi(2)).sum();
        let straightness = if total > 0.0 { 1.0 - left / total } else { 1.0 };
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

    /// The line for people.
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
