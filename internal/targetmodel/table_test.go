package targetmodel

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/basillink/basillink/internal/balancer"
)

var (
	tableSeeds     = flag.Int("table.seeds", 10, "seeds per row of the policy table")
	tableTargets   = flag.Int("table.targets", 20, "number of targets")
	tableInstances = flag.Int("table.instances", 20, "number of instances")
	tableOnly      = flag.String("table.only", "", "print only this table, such as flightdesk-75")
)

// BenchmarkPolicyTable prints a table of all policies and probe rates for each service and utilization:
//
//	go test ./internal/targetmodel -run '^$' -bench PolicyTable -benchtime 1x
func BenchmarkPolicyTable(b *testing.B) {
	for b.Loop() {
		for _, service := range services() {
			for _, utilization := range []float64{0.5, 0.75, 0.9} {
				service.settings.Utilization = utilization
				service.settings.Targets, service.settings.Instances = *tableTargets, *tableInstances
				printTable(service.name, service.settings)
			}
		}
	}
}

type namedSettings struct {
	name     string
	settings Settings
}

func services() []namedSettings {
	return []namedSettings{{"flightdesk", Flightdesk()}, {"banco-app", BancoApp()}}
}

func printTable(service string, s Settings) {
	if *tableOnly != "" && *tableOnly != fmt.Sprintf("%s-%.0f", service, 100*s.Utilization) {
		return
	}
	fmt.Printf("\n%s, %.0f %% utilization, %d seeds (mean ± standard deviation, ms)\n", service, 100*s.Utilization, *tableSeeds)
	fmt.Println("| policy | p50 | p99 | p99.9 | late % | probes/request | bytes/request |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	printRow("all-knowing", s, nil, 0)
	hedged := s
	hedged.HedgeAfter, hedged.HedgeBudget = 15*time.Millisecond, 0.05
	printRow("all-knowing, hedged", hedged, nil, 0)
	for _, builder := range balancer.Builders() {
		switch builder.Name() {
		case balancer.NameProbing, balancer.NameCombined:
			for _, rate := range probeRates() {
				printRow(builder.Name(), s, builder, rate)
			}
		default:
			printRow(builder.Name(), s, builder, 0)
		}
	}
	combined, _ := balancer.Find(balancer.NameCombined)
	printRow("combined, hedged", hedged, combined, 0.25)
	withoutReports := s
	withoutReports.NoLoadOnAnswers = true
	for _, rate := range probeRates() {
		printRow("combined, no loads on answers", withoutReports, combined, rate)
	}
}

func printRow(name string, s Settings, builder balancer.Builder, rate float64) {
	s.Builder, s.ProbesPerRequest = builder, rate
	row := Measure(s, *tableSeeds)
	onAnswers := builder != nil && !s.NoLoadOnAnswers && (builder.Name() == balancer.NameReported || builder.Name() == balancer.NameCombined)
	fmt.Printf("| %s | %.1f ± %.1f | %.1f ± %.1f | %.1f ± %.1f | %.2f ± %.2f | %.2f | %.0f |\n", name,
		row.P50.Mean, row.P50.StdDev, row.P99.Mean, row.P99.StdDev, row.P999.Mean, row.P999.StdDev,
		100*row.Late.Mean, 100*row.Late.StdDev, row.ProbesPerRequest, row.Reports[0].BytesPerRequest(onAnswers))
}
