package admission

import "time"

// Parameters of the adaptive limit.
const (
	// decreaseFactor and decreasePause lower the limit by a tenth at most ten times a second, because the
	// rejections of one overload arrive together.
	decreaseFactor = 0.9
	decreasePause  = 100 * time.Millisecond
	// increaseStep raises the limit by one for each full limit of answers.
	increaseStep = 1.0
)

// limit is the number of requests that an instance keeps at a service's targets at once. It falls when targets
// shed requests and grows while they answer.
type limit struct {
	current  float64
	lowest   float64
	highest  float64
	lowered  time.Duration
	hasLower bool
}

func newLimit(lowest, highest int) limit {
	return limit{current: float64(highest), lowest: float64(lowest), highest: float64(highest)}
}

func (l *limit) allows(inFlight int) bool { return float64(inFlight) < l.current }

func (l *limit) answered() {
	l.current = min(l.highest, l.current+increaseStep/l.current)
}

func (l *limit) shed(now time.Duration) {
	if l.hasLower && now-l.lowered < decreasePause {
		return
	}
	l.hasLower = true
	l.lowered = now
	l.current = max(l.lowest, l.current*decreaseFactor)
}

// resize adopts a new highest value and keeps the current one within it.
func (l *limit) resize(lowest, highest int) {
	grown := l.current == l.highest
	l.lowest, l.highest = float64(lowest), float64(highest)
	l.current = min(l.current, l.highest)
	if grown {
		l.current = l.highest
	}
	l.current = max(l.current, l.lowest)
}
