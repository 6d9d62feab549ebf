package credit

import (
	"math"
	"time"
)

// demandMemory is the time over which the rate of requests is averaged. It is some lifetimes of a credit.
const demandMemory = 500 * time.Millisecond

// demand estimates the rate of the requests of one key. The zero value is ready to use.
type demand struct {
	count float64
	at    time.Duration
}

// add counts a request.
func (d *demand) add(now time.Duration) {
	d.count = d.decayed(now) + 1
	d.at = now
}

// expected returns the number of requests that are expected within a period.
func (d *demand) expected(now, period time.Duration) float64 {
	return d.decayed(now) * float64(period) / float64(demandMemory)
}

func (d *demand) decayed(now time.Duration) float64 {
	return d.count * math.Exp(-float64(max(now-d.at, 0))/float64(demandMemory))
}
