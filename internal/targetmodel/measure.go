package targetmodel

import (
	"math"
	"runtime"
	"sync"
	"time"
)

// Summary is the mean and the standard deviation of a metric over several seeds.
type Summary struct {
	Mean, StdDev float64
}

// Row summarizes the runs of one set of parameters with several seeds. Latencies are in milliseconds. Late and HedgeShare
// are fractions of the requests.
type Row struct {
	P50, P99, P999   Summary
	Late             Summary
	ProbesPerRequest float64
	HedgeShare       float64
	Reports          []Report
}

// Measure executes one run for each seed from 1 to seeds and summarizes the reports. It uses up to half of the
// processors, so s.Observe must be safe for concurrent use.
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
	return summarizeRuns(reports)
}

func summarizeRuns(reports []Report) Row {
	row := Row{Reports: reports}
	quantile := func(q float64) Summary {
		return summarizeMetric(reports, func(r *Report) float64 { return milliseconds(r.Quantile(q)) })
	}
	row.P50, row.P99, row.P999 = quantile(0.5), quantile(0.99), quantile(0.999)
	row.Late = summarizeMetric(reports, (*Report).LateShare)
	row.ProbesPerRequest = summarizeMetric(reports, (*Report).ProbesPerRequest).Mean
	row.HedgeShare = summarizeMetric(reports, func(r *Report) float64 { return share(r.Hedges, r.Requests) }).Mean
	return row
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// summarizeMetric returns the mean and the sample standard deviation of a metric.
func summarizeMetric(reports []Report, metric func(*Report) float64) Summary {
	var sum, squares float64
	for i := range reports {
		value := metric(&reports[i])
		sum += value
		squares += value * value
	}
	n := float64(len(reports))
	mean := sum / n
	variance := max(0, squares/n-mean*mean) * n / max(1, n-1)
	return Summary{Mean: mean, StdDev: math.Sqrt(variance)}
}
