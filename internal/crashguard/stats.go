package crashguard

// Stats holds counters since the start of the process.
type Stats struct {
	// Losses counts the answers that were lost while the request ran, and Crashes those that turned out to be a crash.
	Losses, Crashes int64
	// Cleared counts the marks that a complete answer cleared, and FromPeers the marks of peers that changed something.
	Cleared, FromPeers int64
	// Trials counts the copies of refused requests that were sent to see whether they still crash targets.
	Trials int64
	// DroppedLosses counts the lost answers that were not recorded for lack of room.
	DroppedLosses int64
	// EvictedMarks counts the marks that were removed for lack of room, and ExpiredMarks those that refused their request and
	// were removed because of their age.
	EvictedMarks, ExpiredMarks int64
}

// Stats returns the current counters.
func (g *Guard) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// CrashCount returns the number of crashes in the mark of a request, or 0 without a mark.
func (g *Guard) CrashCount(f Fingerprint) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.marks[f]; m != nil {
		return len(m.crashes)
	}
	return 0
}
