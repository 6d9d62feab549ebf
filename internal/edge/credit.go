package edge

import (
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/gravitational/trace"

	"github.com/basillink/basillink/internal/credit"
	"github.com/basillink/basillink/internal/fleet"
	"github.com/basillink/basillink/internal/settings"
	"github.com/basillink/basillink/internal/telemetry"
)

// coldTargetWindow is the length of the window in which requests to a cold target are counted.
const coldTargetWindow = time.Second

// coldCreditSlackShare is the share of the slack of cold targets that credits may use. The rest covers requests that are sent
// before it is known that a target turned cold.
const coldCreditSlackShare = 0.25

// creditBounds returns what the platform tolerates beyond the limits that all instances share.
func creditBounds(b *settings.EdgeBounds) map[credit.Kind]credit.Bounds {
	return map[credit.Kind]credit.Bounds{
		credit.WorkspaceQuota: {Window: b.QuotaWindow(), Overage: b.QuotaOverage, Slack: b.QuotaSlack},
		credit.ColdTarget:     {Window: coldTargetWindow, Overage: b.WarmupOverage - 1, Slack: b.WarmupSlack * coldCreditSlackShare},
	}
}

// observeCredit exports what an instance does as the owner of the shared limits.
func observeCredit(m *telemetry.Metrics, stats func() fleet.CreditStats) error {
	one := func(value func(fleet.CreditStats) int64) func() []telemetry.LabeledValue {
		return func() []telemetry.LabeledValue { return []telemetry.LabeledValue{{Value: value(stats())}} }
	}
	counters := []struct {
		name, help string
		read       func() []telemetry.LabeledValue
	}{
		{"basillink.credits_granted", "Credits that this instance granted as the owner of the shared limits, by kind of limit.", func() []telemetry.LabeledValue {
			return labeledKinds(stats().Granted)
		}},
		{"basillink.credits_denied", "Credits that this instance refused as the owner of the shared limits, by kind of limit.", func() []telemetry.LabeledValue {
			return labeledKinds(stats().Denied)
		}},
		{"basillink.credits_refunded", "Credits that came back to this instance.", one(func(s fleet.CreditStats) int64 { return s.Refunded })},
		{"basillink.credit_asks_misdirected", "Asks for credits that reached this instance while it was not the owner.", one(func(s fleet.CreditStats) int64 { return s.NotOwner })},
		{"basillink.credit_takeovers", "How often this instance became the owner of the shared limits.", one(func(s fleet.CreditStats) int64 { return s.Takeovers })},
	}
	for _, c := range counters {
		if err := m.RegisterObservableCounter(c.name, c.help, c.read); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(m.RegisterObservableGauge("basillink.credit_owner", "1 while this instance is the owner of the shared limits.", func() int64 {
		if stats().Owns {
			return 1
		}
		return 0
	}))
}

// labeledKinds returns one value of each kind of limit, labeled with the kind.
func labeledKinds(counts [credit.NumKinds]int64) []telemetry.LabeledValue {
	values := make([]telemetry.LabeledValue, 0, len(counts))
	for kind, count := range counts {
		labels := []attribute.KeyValue{attribute.String("kind", credit.Kind(kind).String())}
		values = append(values, telemetry.LabeledValue{Labels: labels, Value: count})
	}
	return values
}
