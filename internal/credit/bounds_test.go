package credit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// quotaBounds and coldBounds are the bounds of docs/design/credit.md.
var (
	quotaBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	coldBounds  = Bounds{Window: time.Second, Overage: 0.5, Slack: 8}
)

func bothBounds() map[Kind]Bounds {
	return map[Kind]Bounds{WorkspaceQuota: quotaBounds, ColdTarget: coldBounds}
}

// Guards against a bucket that admits more than a window may hold, for any limit and bounds.
func TestShapeFitsIntoBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100_000 {
		b := Bounds{Window: time.Duration(1+rng.IntN(20_000)) * time.Millisecond, Overage: rng.Float64() * float64(rng.IntN(3)),
			Slack: float64(rng.IntN(30))}
		l := Limit{Rate: math.Exp(rng.Float64()*20 - 8), Burst: float64(rng.IntN(3)) * math.Exp(rng.Float64()*8)}
		lifetime, s := b.Lifetime(l), b.shape(l)
		if lifetime <= 0 || lifetime > 500*time.Millisecond {
			t.Fatalf("%+v: lifetime %v", b, lifetime)
		}
		used := s.rate*(b.Window+lifetime).Seconds() + s.capacity + s.initial
		if allowed := b.allowed(l); used > allowed*(1+1e-9) || s.rate < 0 || s.capacity < 0 || s.initial < 0 {
			t.Fatalf("%+v %+v: %+v uses %v of %v", b, l, s, used, allowed)
		}
	}
}

// Guards against buckets that refuse requests at the limit although the tolerated overage has room for them.
func TestShapeServesLimitWhereToleranceAllows(t *testing.T) {
	for _, bounds := range bothBounds() {
		for _, rate := range []float64{1.0 / 60, 0.5, 3, 20, 400, 20_000} {
			for _, burst := range []float64{0, 1, 30, 1000} {
				l := Limit{Rate: rate, Burst: burst}
				if s := bounds.shape(l); s.rate < rate || s.capacity < max(burst, 1) || bounds.startLevel(l, -1) < 2 {
					t.Errorf("%+v %+v: %+v", bounds, l, s)
				}
			}
		}
	}
}

// Guards against bounds that are not numbers, which would make every comparison false and every bucket full.
func TestBoundsIgnoreInvalidNumbers(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		b := Bounds{Window: time.Second, Overage: x, Slack: x}
		if got := b.allowed(Limit{Rate: 10, Burst: 5}); got != 15 {
			t.Errorf("bounds of %v allow %v", x, got)
		}
	}
}

// Guards against a credit that is spent after a suspension of the process.
func TestGrantExpires(t *testing.T) {
	g := Grant{ID: 1, ExpiresAt: time.Second}
	if !g.Valid(time.Second-1) || g.Valid(time.Second) {
		t.Error("a credit is not valid exactly until it expires")
	}
	if !(Grant{}).Valid(time.Hour) {
		t.Error("a grant that needs no credit expired")
	}
}

// Guards against owners in quick succession that start with more credit in all than is set aside for them, at any spacing.
func TestSuccessiveStartsShareInitialCredit(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		l := Limit{Rate: math.Exp(rng.Float64()*10 - 4), Burst: rng.Float64() * 50}
		for _, b := range bothBounds() {
			span, sum := b.span(l), b.startLevel(l, time.Hour)
			for at := time.Duration(0); ; {
				gap := time.Duration(rng.Float64() * rng.Float64() * float64(span))
				if at += gap; at >= span {
					break
				}
				sum += b.startLevel(l, gap)
			}
			if initial := b.shape(l).initial; sum > initial*(1+1e-9) {
				t.Fatalf("%+v %+v: starts with %v of %v in all", b, l, sum, initial)
			}
		}
	}
}
