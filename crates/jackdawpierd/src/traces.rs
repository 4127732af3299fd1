//! OpenTelemetry traces with a span for each hop, exported to a collector or a file.

use std::{
    fs::{File, OpenOptions},
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use async_trait::async_trait;
use jackdawpier_kernel::trace::TraceContext;
use jackdawpier_settings::settings::Settings;
use opentelemetry::{
    Context, KeyValue, SpanId, TraceFlags, TraceId,
    trace::{
        Span as _, SpanContext, SpanKind, TraceContextExt, TraceState, Tracer as _,
        TracerProvider as _,
    },
};
use opentelemetry_http::{Bytes, HttpClient, HttpError, Request, Response};
use opentelemetry_otlp::{WithExportConfig, WithHttpConfig};
use opentelemetry_sdk::{
    Resource,
    error::{OTelSdkError, OTelSdkResult},
    trace::{Sampler, SdkTracer, SdkTracerProvider, Span, SpanData, SpanExporter},
};

const EXPORT_TIMEOUT: Duration = Duration::from_secs(2);
const FLAG_SAMPLED: u8 = 1;

/// The tracer; `None` if the settings name neither a collector nor a file.
pub(crate) struct Traces {
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
    entry: String,
}

/// A started span.
pub(crate) struct ActiveSpan {
    span: Option<Span>,
    fallback: Option<TraceContext>,
}

impl Traces {
    pub(crate) fn new(settings: &Settings) -> Self {
        let provider = build_provider(settings).unwrap_or_else(|error| {
            log::error!(event = "traces_off"; "{error}");
            None
        });
        let tracer = provider.as_ref().map(|provider| provider.tracer("jackdawpierd"));
        Self { provider, tracer, entry: settings.entry.to_string() }
    }

    /// Starts a span under `parent`, or none if there is no parent.
    pub(crate) fn start(
        &self,
        name: &'static str,
        parent: Option<TraceContext>,
        attributes: &[(&'static str, &str)],
    ) -> ActiveSpan {
        let span = parent.and_then(|parent| self.build_span(name, Some(parent), attributes));
        ActiveSpan { span, fallback: parent }
    }

    /// Starts a span under `parent`, or a new trace, subject to sampling.
    pub(crate) fn start_root(
        &self,
        name: &'static str,
        parent: Option<TraceContext>,
        attributes: &[(&'static str, &str)],
    ) -> ActiveSpan {
        ActiveSpan { span: self.build_span(name, parent, attributes), fallback: parent }
    }

    fn build_span(
        &self,
        name: &'static str,
        parent: Option<TraceContext>,
        attributes: &[(&'static str, &str)],
    ) -> Option<Span> {
        let tracer = self.tracer.as_ref()?;
        let mut all: Vec<KeyValue> = attributes
            .iter()
            .map(|(key, value)| KeyValue::new(*key, (*value).to_owned()))
            .collect();
        all.push(KeyValue::new("entry", self.entry.clone()));
        let builder = tracer.span_builder(name).with_kind(SpanKind::Server).with_attributes(all);
        let context = parent.map_or_else(Context::new, |parent| {
            Context::new().with_remote_span_context(SpanContext::new(
                TraceId::from_bytes(parent.trace_id.to_be_bytes()),
                SpanId::from_bytes(parent.span_id.to_be_bytes()),
                TraceFlags::new(parent.flags),
                true,
                TraceState::default(),
            ))
        });
        Some(tracer.build_with_context(builder, &context))
    }

    /// Exports the remaining spans and shuts down; blocks for a bounded time.
    pub(crate) fn flush(&self) {
        if let Some(provider) = &self.provider
            && let Err(error) = provider.shutdown()
        {
            log::warn!(event = "traces_not_flushed"; "{error}");
        }
    }
}

impl ActiveSpan {
    /// Returns the context for the next hop.
    pub(crate) fn context(&self) -> Option<TraceContext> {
        let Some(span) = &self.span else { return self.fallback };
        let context = span.span_context();
        let own = TraceContext {
            trace_id: u128::from_be_bytes(context.trace_id().to_bytes()),
            span_id: u64::from_be_bytes(context.span_id().to_bytes()),
            flags: u8::from(context.is_sampled()) * FLAG_SAMPLED,
        };
        (own.flags == FLAG_SAMPLED).then_some(own).or(self.fallback)
    }

    /// Ends the span and records the outcome of its hop.
    pub(crate) fn end(mut self, outcome: &str) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new("outcome", outcome.to_owned()));
            span.end();
        }
    }
}

fn build_provider(settings: &Settings) -> Result<Option<SdkTracerProvider>, String> {
    let traces = &settings.traces;
    let sampled_fraction = f64::from(traces.sampled_permille) / 1000.0;
    let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(sampled_fraction)));
    let resource = Resource::builder().with_service_name("jackdawpierd").build();
    let builder = SdkTracerProvider::builder().with_sampler(sampler).with_resource(resource);
    if let Some(url) = &traces.collector_url {
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_http_client(CollectorClient::new())
            .with_endpoint(url)
            .with_timeout(EXPORT_TIMEOUT)
            .build()
            .map_err(|error| error.to_string())?;
        return Ok(Some(builder.with_batch_exporter(exporter).build()));
    }
    let Some(path) = &traces.span_file else { return Ok(None) };
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|error| format!("{path}: {error}"))?;
    let exporter = FileExporter { file: Arc::new(Mutex::new(file)) };
    Ok(Some(builder.with_batch_exporter(exporter).build()))
}

/// HTTP client for the collector, based on `ureq`; runs on the exporter's own thread.
#[derive(Debug)]
struct CollectorClient {
    agent: ureq::Agent,
}

impl CollectorClient {
    fn new() -> Self {
        let agent = ureq::Agent::config_builder()
            .timeout_global(Some(EXPORT_TIMEOUT))
            .http_status_as_error(false)
            .build()
            .new_agent();
        Self { agent }
    }
}

#[async_trait]
impl HttpClient for CollectorClient {
    async fn send_bytes(&self, request: Request<Bytes>) -> Result<Response<Bytes>, HttpError> {
        let (parts, body) = request.into_parts();
        let request = Request::from_parts(parts, body.to_vec());
        let mut response = self.agent.run(request)?;
        let status = response.status();
        let body = response.body_mut().read_to_vec()?;
        Ok(Response::builder().status(status).body(Bytes::from(body))?)
    }
}

/// Writes spans as JSON, one object a line.
#[derive(Debug)]
struct FileExporter {
    file: Arc<Mutex<File>>,
}

fn unix_micros(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut lines = String::new();
        for span in batch {
            let attributes: serde_json::Map<String, serde_json::Value> = span
                .attributes
                .iter()
                .map(|pair| (pair.key.to_string(), pair.value.to_string().into()))
                .collect();
            let line = serde_json::json!({
                "trace_id": span.span_context.trace_id().to_string(),
                "span_id": span.span_context.span_id().to_string(),
                "parent_span_id": span.parent_span_id.to_string(),
                "name": span.name,
                "start_us": unix_micros(span.start_time),
                "end_us": unix_micros(span.end_time),
                "attributes": attributes,
            });
            lines.push_str(&line.to_string());
            lines.push('\n');
        }
        let mut file = self.file.lock().expect("no holder of this lock panics");
        file.write_all(lines.as_bytes())
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))
    }
}
