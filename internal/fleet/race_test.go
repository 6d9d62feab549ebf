//go:build race

package fleet

// scheduleShare is how many times fewer schedules are played: the race detector makes them several times slower.
const scheduleShare = 4
