//go:build !race

package fleet

// scheduleDivisor is the factor by which the number of simulated schedules is reduced.
const scheduleDivisor = 1
