//! Tracing spans of a request, and propagation of the `traceparent` header.

use ntex::http::HeaderMap;
use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, TextMapPropagator},
    trace::{SpanKind, Status, TraceContextExt, Tracer},
};
use opentelemetry_sdk::{propagation::TraceContextPropagator, trace::SdkTracer};

/// Header that carries the trace context (W3C).
pub const TRACEPARENT: &str = "traceparent";

struct Headers<'a>(&'a HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key)?.to_str().ok()
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

/// A tracing span that ends when it is dropped.
#[derive(Clone, Debug)]
pub struct Span {
    context: Context,
}

impl Span {
    /// Starts the server span of a request, as a child of the client's span if the headers name one.
    pub fn server(tracer: &SdkTracer, headers: &HeaderMap) -> Span {
        let parent =
            TraceContextPropagator::new().extract_with_context(&Context::new(), &Headers(headers));
        Span::start(tracer, "request", SpanKind::Server, &parent)
    }

    /// Starts a child span of this one.
    pub fn child(&self, tracer: &SdkTracer, name: &'static str) -> Span {
        Span::start(tracer, name, SpanKind::Client, &self.context)
    }

    fn start(tracer: &SdkTracer, name: &'static str, kind: SpanKind, parent: &Context) -> Span {
        let builder = tracer.span_builder(name).with_kind(kind);
        let span = tracer.build_with_context(builder, parent);
        Span { context: parent.with_span(span) }
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<opentelemetry::Value>) {
        let span = self.context.span();
        if span.is_recording() {
            span.set_attribute(KeyValue::new(key, value.into()));
        }
    }

    /// Marks the span as failed.
    pub fn fail(&self, reason: &'static str) {
        self.context.span().set_status(Status::error(reason));
    }

    /// Ends the span.
    pub fn end(&self) {
        self.context.span().end();
    }

    /// Returns the trace ID in hexadecimal.
    pub fn trace(&self) -> String {
        self.context.span().span_context().trace_id().to_string()
    }

    /// Returns the `traceparent` header that makes the next hop's span a child of this one.
    pub fn traceparent(&self) -> String {
        let span = self.context.span();
        let context = span.span_context();
        let flags = context.trace_flags().to_u8();
        format!("00-{}-{}-{flags:02x}", context.trace_id(), context.span_id())
    }
}
