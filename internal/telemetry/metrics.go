package telemetry

import (
	"context"
	"net/http"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
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
	answers  metric.Int64Counter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
}

// NewMetrics returns metrics with a registry of their own.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, trace.Wrap(err, "prometheus exporter")
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("basillink")
	m := &Metrics{registry: registry}
	counters := []struct {
		counter *metric.Int64Counter
		name    string
		help    string
	}{
		{&m.answers, "basillink.answers", "Answers passed on from targets."},
		{&m.refusals, "basillink.refusals", "Requests refused or failed, by reason."},
		{&m.retries, "basillink.retries", "Requests sent to a further target, by reason."},
	}
	for _, c := range counters {
		if *c.counter, err = meter.Int64Counter(c.name, metric.WithDescription(c.help)); err != nil {
			return nil, trace.Wrap(err, "counter %s", c.name)
		}
	}
	return m, nil
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
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("reason", why.Name)))
}

// Retried counts a retry.
func (m *Metrics) Retried(service string, why *reason.Reason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("reason", why.Name)))
}
