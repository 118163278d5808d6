//! Metrics and trace spans.
//!
//! Nothing here can delay a request: counters are kept in memory, and spans go through a bounded queue that
//! drops and counts what does not fit.

use std::{
    collections::VecDeque,
    fmt,
    sync::{Arc, Mutex},
    time::Duration,
};

use drumusher_schedule::{order::Order, reuse};
use opentelemetry::{
    Context, KeyValue,
    metrics::{Counter, Gauge, Histogram, Meter, MeterProvider},
    trace::TracerProvider,
};
use opentelemetry_otlp::{Protocol, WithExportConfig};
use opentelemetry_sdk::{
    Resource,
    error::OTelSdkResult,
    metrics::{PeriodicReader, SdkMeterProvider},
    trace::{Sampler, SdkTracer, SdkTracerProvider, Span, SpanData, SpanProcessor},
};
use prometheus::{Encoder, Registry, TextEncoder};

use crate::settings::Settings;

/// Number of ended spans kept for `show request`.
const MAX_RECENT_SPANS: usize = 4_096;

/// Metrics and trace spans of one process.
pub struct Telemetry {
    registry: Registry,
    meter: Meter,
    counters: Mutex<std::collections::HashMap<&'static str, Counter<u64>>>,
    gauges: Mutex<std::collections::HashMap<&'static str, Gauge<u64>>>,
    /// Requests by class and outcome.
    requests: Counter<u64>,
    /// Relayed tokens by class.
    tokens: Counter<u64>,
    /// Prompt tokens by how they were obtained.
    prompt_tokens: Counter<u64>,
    /// Time to the first token, in seconds.
    first_token: Histogram<f64>,
    /// Actual over expected time of the first event.
    first_event_error: Histogram<f64>,
    /// Requests that wait at this dispatcher, by tier.
    waiting: Gauge<u64>,
    orders: Counter<u64>,
    tracer: SdkTracer,
    spans: Recent,
    _meters: SdkMeterProvider,
    traces: SdkTracerProvider,
}

/// The most recently ended spans, in memory.
#[derive(Clone, Default)]
struct Recent(Arc<Mutex<VecDeque<SpanData>>>);

impl fmt::Debug for Recent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Recent")
    }
}

impl SpanProcessor for Recent {
    fn on_start(&self, _: &mut Span, _: &Context) {}

    fn on_end(&self, span: SpanData) {
        let mut spans = self.0.lock().expect("no holder panics");
        if spans.len() == MAX_RECENT_SPANS {
            spans.pop_front();
        }
        spans.push_back(span);
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _: Duration) -> OTelSdkResult {
        Ok(())
    }
}

impl Telemetry {
    /// Sets up metrics and spans, and exports them if the settings name a collector.
    ///
    /// # Errors
    ///
    /// A message for the operator if an exporter cannot be created.
    pub fn new(settings: &Settings) -> Result<Self, String> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| e.to_string())?;
        let resource = Resource::builder()
            .with_service_name("drumusher")
            .with_attribute(KeyValue::new("service.instance.id", settings.name.clone()))
            .with_attribute(KeyValue::new(
                "cloud.availability_zone",
                settings.availability_zone.clone(),
            ))
            .build();
        let mut meters =
            SdkMeterProvider::builder().with_resource(resource.clone()).with_reader(reader);
        let spans = Recent::default();
        let mut traces = SdkTracerProvider::builder()
            .with_resource(resource)
            .with_sampler(Sampler::ParentBased(Box::new(sampler(settings))))
            .with_span_processor(spans.clone());
        if let Some(base) = &settings.telemetry.otlp {
            meters = meters.with_reader(metric_reader(base)?);
            traces = traces.with_batch_exporter(span_exporter(base)?);
        }
        let (meters, traces) = (meters.build(), traces.build());
        let meter = meters.meter("drumusher");
        Ok(Telemetry {
            registry,
            counters: Mutex::default(),
            gauges: Mutex::default(),
            requests: meter.u64_counter("drumusher.requests").build(),
            tokens: meter.u64_counter("drumusher.tokens").build(),
            prompt_tokens: meter.u64_counter("drumusher.prompt.tokens").build(),
            first_token: meter
                .f64_histogram("gen_ai.server.time_to_first_token")
                .with_unit("s")
                .with_boundaries(vec![0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0, 30.0])
                .build(),
            first_event_error: meter
                .f64_histogram("drumusher.first_event_error")
                .with_boundaries(vec![0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2.0, 4.0, 8.0])
                .build(),
            waiting: meter.u64_gauge("drumusher.waiting").build(),
            orders: meter.u64_counter("drumusher.dispatch.orders").build(),
            meter,
            tracer: traces.tracer("drumusher"),
            spans,
            _meters: meters,
            traces,
        })
    }

    /// Adds one to a counter. Looks it up under a lock, so this is not for the path of every request.
    pub fn count(&self, name: &'static str, attributes: &[(&'static str, &str)]) {
        self.count_many(name, attributes, 1);
    }

    /// Like [`Self::count`], adding `number`.
    pub fn count_many(&self, name: &'static str, attributes: &[(&'static str, &str)], number: u64) {
        let attributes: Vec<KeyValue> =
            attributes.iter().map(|(key, value)| KeyValue::new(*key, value.to_string())).collect();
        let mut counters = self.counters.lock().expect("no holder panics");
        let make = || self.meter.u64_counter(name).build();
        counters.entry(name).or_insert_with(make).add(number, &attributes);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let mut gauges = self.gauges.lock().expect("no holder panics");
        let make = || self.meter.u64_gauge(name).build();
        gauges.entry(name).or_insert_with(make).record(value, &[]);
    }

    /// Counts an order of the dispatcher by kind.
    pub fn count_order(&self, order: &Order) {
        let kind = match order {
            Order::Grant { .. } => "grant",
            Order::Refuse { .. } => "refuse",
            Order::Preempt { .. } => "preempt",
        };
        self.orders.add(1, &[KeyValue::new("order", kind)]);
    }

    /// Counts tokens of prompts by how their engines obtain them.
    pub fn count_prompt_tokens(&self, counts: &reuse::Counts) {
        for (how, tokens) in counts.iter() {
            self.prompt_tokens.add(tokens, &[KeyValue::new("how", how.word())]);
        }
    }

    /// Counts a finished request by class and outcome, and its tokens by class.
    pub fn count_request(&self, class: &str, outcome: &'static str, tokens: u64) {
        let class = KeyValue::new("class", class.to_string());
        self.requests.add(1, &[class.clone(), KeyValue::new("outcome", outcome)]);
        self.tokens.add(tokens, &[class]);
    }

    /// Records a time to the first token, in seconds.
    pub fn record_first_token(&self, class: &str, seconds: f64) {
        self.first_token.record(seconds, &[KeyValue::new("class", class.to_string())]);
    }

    /// Sets the number of requests of a tier that wait at this dispatcher.
    pub fn set_waiting(&self, tier: u8, requests: u64) {
        self.waiting.record(requests, &[KeyValue::new("tier", i64::from(tier))]);
    }

    /// Records the actual time to the first event of an attempt, as a multiple of the time that the dispatcher expected.
    pub fn record_first_event_error(&self, class: &str, ratio: f64) {
        self.first_event_error.record(ratio, &[KeyValue::new("class", class.to_string())]);
    }

    /// The tracer that creates spans.
    pub fn tracer(&self) -> &SdkTracer {
        &self.tracer
    }

    /// The kept spans of a trace, whose ID is given in hexadecimal as callers see it.
    pub fn spans_of(&self, trace: &str) -> Vec<SpanData> {
        let spans = self.spans.0.lock().expect("no holder panics");
        let of_trace = |span: &&SpanData| span.span_context.trace_id().to_string() == trace;
        spans.iter().filter(of_trace).cloned().collect()
    }

    /// The metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let written = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        if let Err(error) = written {
            return format!("# {error}\n");
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }

    /// Exports the spans that are still queued.
    pub fn flush(&self) {
        let _ = self.traces.force_flush();
    }
}

fn sampler(settings: &Settings) -> Sampler {
    match settings.telemetry.sample_every {
        0 => Sampler::AlwaysOff,
        1 => Sampler::AlwaysOn,
        every => Sampler::TraceIdRatioBased(1.0 / f64::from(every)),
    }
}

fn span_exporter(base: &str) -> Result<opentelemetry_otlp::SpanExporter, String> {
    opentelemetry_otlp::SpanExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(format!("{base}/v1/traces"))
        .build()
        .map_err(|e| e.to_string())
}

fn metric_reader(base: &str) -> Result<PeriodicReader<opentelemetry_otlp::MetricExporter>, String> {
    let exporter = opentelemetry_otlp::MetricExporter::builder()
        .with_http()
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(format!("{base}/v1/metrics"))
        .build()
        .map_err(|e| e.to_string())?;
    Ok(PeriodicReader::builder(exporter).build())
}
