use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Why metrics cannot be had.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter refused.
    #[snafu(display("metrics cannot be exported: {source}"))]
    Export {
        /// What it said.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
}

/// Where a host's instruments are registered.
#[derive(Clone)]
pub(super) struct MetricRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricRegistry {
    /// An empty registry.
    ///
    /// # Errors
    /// `MetricsError` if the exporter cannot be built.
    pub(super) fn start() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .without_counter_suffixes()
            .without_units()
            .build()
            .context(ExportSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Builds instruments.
    pub(super) fn meter(&self) -> Meter {
        self.provider.meter("hawthornstack")
    }

    /// All metrics in the Prometheus text form.
    pub(super) fn page(&self) -> String {
        let mut bytes = Vec::new();
        // Writing text to memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }
}
