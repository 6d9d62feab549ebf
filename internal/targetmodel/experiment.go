package targetmodel

import (
	"math"
	"runtime"
	"sync"
	"time"
)

// Summary is a figure over several seeds.
type Summary struct {
	Mean, StdDev float64
}

// Row is the outcome of one setting over several seeds. Latencies are in milliseconds.
type Row struct {
	P50, P99, P999   Summary
	Late             Summary
	ProbesPerRequest float64
	HedgeShare       float64
	Reports          []Report
}

// Measure runs the settings with the seeds from 1 to seeds, several at once, and summarizes them. Spread is the
// standard deviation over the seeds.
func Measure(s Settings, seeds int) Row {
	reports := make([]Report, seeds)
	var group sync.WaitGroup
	permits := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for i := range seeds {
		permits <- struct{}{}
		group.Go(func() {
			run := s
			run.Seed = uint64(i + 1)
			reports[i] = Run(run)
			<-permits
		})
	}
	group.Wait()
	return summarize(reports)
}

func summarize(reports []Report) Row {
	row := Row{Reports: reports}
	quantile := func(q float64) Summary {
		return summary(reports, func(r *Report) float64 { return milliseconds(r.Quantile(q)) })
	}
	row.P50, row.P99, row.P999 = quantile(0.5), quantile(0.99), quantile(0.999)
	row.Late = summary(reports, (*Report).LateShare)
	row.ProbesPerRequest = summary(reports, (*Report).ProbesPerRequest).Mean
	row.HedgeShare = summary(reports, func(r *Report) float64 { return share(r.Hedges, r.Requests) }).Mean
	return row
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func summary(reports []Report, figure func(*Report) float64) Summary {
	var sum, squares float64
	for i := range reports {
		value := figure(&reports[i])
		sum += value
		squares += value * value
	}
	n := float64(len(reports))
	mean := sum / n
	variance := max(0, squares/n-mean*mean) * n / max(1, n-1)
	return Summary{Mean: mean, StdDev: math.Sqrt(variance)}
}
