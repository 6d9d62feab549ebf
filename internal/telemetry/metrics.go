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

// Metrics holds the metrics of an instance. It is safe for concurrent use.
type Metrics struct {
	registry    *prometheus.Registry
	meter       metric.Meter
	answers     metric.Int64Counter
	refusals    metric.Int64Counter
	retries     metric.Int64Counter
	denials     metric.Int64Counter
	splits      metric.Int64Counter
	addedTime   metric.Float64Histogram
	requestTime metric.Float64Histogram
	waitTime    metric.Float64Histogram
}

// addedTimeBuckets are the bucket boundaries, in seconds, of the time that the instance adds to a request. They are close
// together around the objective of 0.7 ms.
var addedTimeBuckets = []float64{
	25e-6, 50e-6, 100e-6, 200e-6, 300e-6, 400e-6, 500e-6, 600e-6, 700e-6, 800e-6, 1e-3, 1.5e-3, 2e-3, 5e-3, 10e-3, 50e-3, 1,
}

// requestTimeBuckets are the bucket boundaries, in seconds, of the duration of requests and of their time waiting for a
// target. Latency objectives are between 0.1 and 3 s.
var requestTimeBuckets = []float64{5e-3, 10e-3, 25e-3, 50e-3, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2.5, 5, 12}

// NewMetrics returns metrics with their own registry. The counter of each reason is created with the value 0, so that its
// first increase is visible in a rate.
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
		{&m.splits, "basillink.split_requests", "Requests for which the weighted split of their route chose a service."},
	}
	for _, c := range counters {
		if *c.counter, err = meter.Int64Counter(c.name, metric.WithDescription(c.help)); err != nil {
			return nil, trace.Wrap(err, "counter %s", c.name)
		}
	}
	m.addedTime, err = meter.Float64Histogram("basillink.added_time", metric.WithUnit("s"),
		metric.WithDescription("Time that the instance added to a request: all time except waiting for targets."),
		metric.WithExplicitBucketBoundaries(addedTimeBuckets...))
	if err != nil {
		return nil, trace.Wrap(err, "histogram basillink.added_time")
	}
	m.requestTime, err = meter.Float64Histogram("basillink.request_time", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a routed request to its answer."),
		metric.WithExplicitBucketBoundaries(requestTimeBuckets...))
	if err != nil {
		return nil, trace.Wrap(err, "histogram basillink.request_time")
	}
	m.waitTime, err = meter.Float64Histogram("basillink.wait_time", metric.WithUnit("s"),
		metric.WithDescription("Time that a routed request waited for a free slot of a target."),
		metric.WithExplicitBucketBoundaries(requestTimeBuckets...))
	if err != nil {
		return nil, trace.Wrap(err, "histogram basillink.wait_time")
	}
	m.initReasonCounters()
	return m, nil
}

// initReasonCounters creates the counter of each reason with the value 0.
func (m *Metrics) initReasonCounters() {
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

// Answered counts an answer forwarded from a target.
func (m *Metrics) Answered(service, class string) {
	m.answers.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("class", class)))
}

// Refused counts a refused or failed request.
func (m *Metrics) Refused(service string, r *reason.Reason) {
	m.refusals.Add(context.Background(), 1, reasonAttributes(service, r))
}

// Retried counts a retry.
func (m *Metrics) Retried(service string, r *reason.Reason) {
	m.retries.Add(context.Background(), 1, reasonAttributes(service, r))
}

// Denied adds the number of claims that were denied before a request was sent.
func (m *Metrics) Denied(service string, claims int) {
	m.denials.Add(context.Background(), int64(claims), metric.WithAttributes(attribute.String("service", service)))
}

// SplitChosen counts a request for which the split of its route has chosen a service.
func (m *Metrics) SplitChosen(route, service string) {
	m.splits.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route), attribute.String("service", service)))
}

// AddedLatency records the time that the instance added to a request.
func (m *Metrics) AddedLatency(d time.Duration) {
	m.addedTime.Record(context.Background(), d.Seconds())
}

// reasonAttributes returns the labels of a refusal or retry. The service is empty if it may not exist, because callers
// choose the name and each value would create a time series.
func reasonAttributes(service string, r *reason.Reason) metric.MeasurementOption {
	if r == reason.UnknownService || r == reason.NotReady {
		service = ""
	}
	return metric.WithAttributes(attribute.String("service", service), attribute.String("reason", r.Name))
}

// Served records the total time of a routed request and the time that it waited for a free slot of a target.
func (m *Metrics) Served(route string, total, waited time.Duration) {
	attributes := metric.WithAttributes(attribute.String("route", route))
	m.requestTime.Record(context.Background(), total.Seconds(), attributes)
	m.waitTime.Record(context.Background(), waited.Seconds(), attributes)
}
