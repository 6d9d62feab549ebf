package load

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of a run.
type Report struct {
	Totals
	ElapsedSeconds   float64 `json:"elapsed_s"`
	AnswersPerSecond float64 `json:"answers_per_s"`
	// Causes counts refused and failed requests by "kind/cause".
	Causes map[string]int `json:"causes"`
	// Statuses counts answers by HTTP status.
	Statuses map[int]int `json:"statuses"`
	// Latency is the time from the due time of each answered request to its answer.
	Latency Summary `json:"latency_us"`
	// ServiceTime is the time from the sending of each answered request to its answer. It excludes the wait for a free
	// connection in the generator.
	ServiceTime Summary `json:"service_us"`
	// SendDelay is the time from the due time to the sending of each request. High values show that the generator
	// or its host cannot sustain the rate.
	SendDelay Summary `json:"late_us"`
}

// Summary holds the mean, percentiles and maximum of a distribution in microseconds.
type Summary struct {
	Mean float64 `json:"mean"`
	P50  int64   `json:"p50"`
	P90  int64   `json:"p90"`
	P99  int64   `json:"p99"`
	P999 int64   `json:"p99.9"`
	Max  int64   `json:"max"`
}

func summarize(h *hdrhistogram.Histogram) Summary {
	return Summary{
		Mean: h.Mean(),
		P50:  h.ValueAtQuantile(50),
		P90:  h.ValueAtQuantile(90),
		P99:  h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9),
		Max:  h.Max(),
	}
}

// Complete reports whether every request that was sent has a result.
func (r *Report) Complete() bool { return r.InFlight() == 0 }

// row is one value of the report in text and CSV.
type row struct{ group, name, value string }

func (r *Report) rows() []row {
	rows := []row{
		{"requests", "sent", strconv.Itoa(r.Sent)},
		{"requests", "answered", strconv.Itoa(r.Answered)},
		{"requests", "refused", strconv.Itoa(r.Refused)},
		{"requests", "failed", strconv.Itoa(r.Failed)},
		{"requests", "ticketed", strconv.Itoa(r.Ticketed)},
		{"time", "elapsed_s", fmt.Sprintf("%.3f", r.ElapsedSeconds)},
		{"time", "answers_per_s", fmt.Sprintf("%.1f", r.AnswersPerSecond)},
	}
	rows = append(rows, r.Latency.rows("latency_us")...)
	rows = append(rows, r.ServiceTime.rows("service_us")...)
	rows = append(rows, r.SendDelay.rows("late_us")...)
	rows = append(rows, countRows("cause", r.Causes)...)
	return append(rows, countRows("status", r.Statuses)...)
}

func (s Summary) rows(group string) []row {
	return []row{
		{group, "mean", fmt.Sprintf("%.1f", s.Mean)},
		{group, "p50", strconv.FormatInt(s.P50, 10)},
		{group, "p90", strconv.FormatInt(s.P90, 10)},
		{group, "p99", strconv.FormatInt(s.P99, 10)},
		{group, "p99.9", strconv.FormatInt(s.P999, 10)},
		{group, "max", strconv.FormatInt(s.Max, 10)},
	}
}

func countRows[K cmp.Ordered](group string, counts map[K]int) []row {
	var rows []row
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		rows = append(rows, row{group, fmt.Sprint(key), strconv.Itoa(counts[key])})
	}
	return rows
}

// WriteText writes the report as a table for people to read.
func (r *Report) WriteText(w io.Writer) error {
	for _, row := range r.rows() {
		if _, err := fmt.Fprintf(w, "%-11s %-34s %s\n", row.group, row.name, row.value); err != nil {
			return err
		}
	}
	return nil
}

// WriteCSV writes the report as CSV with one value per line.
func (r *Report) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	records := [][]string{{"group", "name", "value"}}
	for _, row := range r.rows() {
		records = append(records, []string{row.group, row.name, row.value})
	}
	return writer.WriteAll(records)
}

// WriteJSON writes the report as one JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
