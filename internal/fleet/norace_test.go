//go:build !race

package fleet

// scheduleShare is how many times fewer schedules are played than asked for.
const scheduleShare = 1
