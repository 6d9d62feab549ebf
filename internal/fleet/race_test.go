//go:build race

package fleet

// scheduleDivisor is the factor by which the number of simulated schedules is reduced: the race detector makes them
// several times slower.
const scheduleDivisor = 4
