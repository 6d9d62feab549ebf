package admission

import "time"

// Parameters of the adaptive limit.
const (
	// decreaseFactor lowers the limit by a tenth, at most once per decreaseInterval, because the rejections of one overload
	// arrive together.
	decreaseFactor   = 0.9
	decreaseInterval = 100 * time.Millisecond
	// increaseStep is how much the limit grows after as many answers as the limit allows in flight.
	increaseStep = 1.0
)

// limit is the adaptive limit on the requests that an instance has in flight on the targets of a service. It decreases
// multiplicatively when targets shed requests and increases additively while they answer. It stays between lowest and
// highest.
type limit struct {
	current    float64
	lowest     float64
	highest    float64
	loweredAt  time.Duration
	hasLowered bool
}

func newLimit(lowest, highest int) limit {
	return limit{current: float64(highest), lowest: float64(lowest), highest: float64(highest)}
}

func (l *limit) allows(inFlight int) bool { return float64(inFlight) < l.current }

func (l *limit) onAnswered() {
	l.current = min(l.highest, l.current+increaseStep/l.current)
}

func (l *limit) onShed(now time.Duration) {
	if l.hasLowered && now-l.loweredAt < decreaseInterval {
		return
	}
	l.hasLowered = true
	l.loweredAt = now
	l.current = max(l.lowest, l.current*decreaseFactor)
}

// resize sets new bounds and moves the current limit into them. A limit at the highest value stays there.
func (l *limit) resize(lowest, highest int) {
	atHighest := l.current == l.highest
	l.lowest, l.highest = float64(lowest), float64(highest)
	l.current = min(l.current, l.highest)
	if atHighest {
		l.current = l.highest
	}
	l.current = max(l.current, l.lowest)
}
