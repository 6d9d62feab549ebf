package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/basillink/basillink/internal/reason"
)

// Metrics counts outcomes, refusals and retries. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter
	answers  metric.Int64Counter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	denials  metric.Int64Counter
	added    metric.Float64Histogram
	total    metric.Float64Histogram
	waited   metric.Float64Histogram
}

// addedBounds are the bucket bounds of the time added by the instance, in seconds. They are close together around
// the stated target of 0.7 ms.
var addedBounds = []float64{
	25e-6, 50e-6, 100e-6, 200e-6, 300e-6, 400e-6, 500e-6, 600e-6, 700e-6, 800e-6, 1e-3, 1.5e-3, 2e-3, 5e-3, 10e-3, 50e-3, 1,
}

// requestBounds are the bucket bounds of the time of whole requests, in seconds. Latency objectives lie between 0.1 and 3 s.
var requestBounds = []float64{5e-3, 10e-3, 25e-3, 50e-3, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 5, 12}

// NewMetrics returns metrics with a registry of their own. Each reason's counter exists with value 0, so that a rate
// over it is defined before the first occurrence.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, trace.Wrap(err, "prometheus exporter")
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("basillink")
	m := &Metrics{registry: registry, meter: meter}
	counters := []struct {
		counter *metric.Int64Counter
		name    string
		help    string
	}{
		{&m.answers, "basillink.answers", "Answers passed on from targets."},
		{&m.refusals, "basillink.refusals", "Requests refused or failed, by reason."},
		{&m.retries, "basillink.retries", "Requests sent to a further target, by reason."},
		{&m.denials, "basillink.claims_denied", "Claims of targets that the reader of the target's zone denied, by service."},
	}
	for _, c := range counters {
		if *c.counter, err = meter.Int64Counter(c.name, metric.WithDescription(c.help)); err != nil {
			return nil, trace.Wrap(err, "counter %s", c.name)
		}
	}
	m.added, err = meter.Float64Histogram("basillink.added_time", metric.WithUnit("s"),
		metric.WithDescription("Time that the instance added to a request: all time except waiting for targets."),
		metric.WithExplicitBucketBoundaries(addedBounds...))
	if err != nil {
		return nil, trace.Wrap(err, "histogram of the added time")
	}
	m.total, err = meter.Float64Histogram("basillink.request_time", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a routed request to its answer."),
		metric.WithExplicitBucketBoundaries(requestBounds...))
	if err != nil {
		return nil, trace.Wrap(err, "histogram of the request time")
	}
	m.waited, err = meter.Float64Histogram("basillink.wait_time", metric.WithUnit("s"),
		metric.WithDescription("Time that a routed request waited for a free slot of a target."),
		metric.WithExplicitBucketBoundaries(requestBounds...))
	if err != nil {
		return nil, trace.Wrap(err, "histogram of the wait time")
	}
	m.declareReasons()
	return m, nil
}

func (m *Metrics) declareReasons() {
	for _, r := range reason.All() {
		counter := m.refusals
		if r.Kind == reason.Retry {
			counter = m.retries
		}
		counter.Add(context.Background(), 0, reasonAttributes("", r))
	}
}

// Handler serves the metrics in Prometheus format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Answered counts an answer passed on from a target.
func (m *Metrics) Answered(service, class string) {
	m.answers.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("class", class)))
}

// Refused counts a refusal or failure.
func (m *Metrics) Refused(service string, why *reason.Reason) {
	m.refusals.Add(context.Background(), 1, reasonAttributes(service, why))
}

// Retried counts a retry.
func (m *Metrics) Retried(service string, why *reason.Reason) {
	m.retries.Add(context.Background(), 1, reasonAttributes(service, why))
}

// Denied counts the claims of targets that were denied before a request was sent.
func (m *Metrics) Denied(service string, claims int) {
	m.denials.Add(context.Background(), int64(claims), metric.WithAttributes(attribute.String("service", service)))
}

// AddedLatency records the time that the instance added to a request.
func (m *Metrics) AddedLatency(d time.Duration) {
	m.added.Record(context.Background(), d.Seconds())
}

// reasonAttributes leaves out a service name that is not known to exist: callers choose it, and each value would
// become a time series.
func reasonAttributes(service string, why *reason.Reason) metric.MeasurementOption {
	if why == reason.UnknownService || why == reason.NotReady {
		service = ""
	}
	return metric.WithAttributes(attribute.String("service", service), attribute.String("reason", why.Name))
}

// Served records the time of a routed request and the part of it that the request waited for a target.
func (m *Metrics) Served(route string, total, waited time.Duration) {
	attributes := metric.WithAttributes(attribute.String("route", route))
	m.total.Record(context.Background(), total.Seconds(), attributes)
	m.waited.Record(context.Background(), waited.Seconds(), attributes)
}
