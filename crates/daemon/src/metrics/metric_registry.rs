use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Why the metrics could not be set up.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The Prometheus exporter cannot be built.
    #[snafu(display("cannot build the metrics exporter: {source}"))]
    Export {
        /// The SDK's error.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
}

/// Registry of a host's instruments, with the provider that builds them.
#[derive(Clone)]
pub(super) struct MetricRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricRegistry {
    /// Builds an empty registry and its exporter.
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

    /// Meter that builds instruments in this registry.
    pub(super) fn meter(&self) -> Meter {
        self.provider.meter("hawthornstack")
    }

    /// All metrics in the Prometheus text format.
    pub(super) fn page(&self) -> String {
        let mut bytes = Vec::new();
        // Encoding into memory does not fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut bytes);
        String::from_utf8(bytes).unwrap_or_default()
    }
}
