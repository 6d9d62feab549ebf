package crashguard

// Stats counts what happened to marks since the start.
type Stats struct {
	// Losses are requests that lost their answer while they ran, and Crashes those of them that count as a crash.
	Losses, Crashes int64
	// Cleared are marks that an answer ended, and Learnt those that a peer told.
	Cleared, FromPeers int64
}

// Stats returns the counts since the start.
func (g *Guard) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stats
}

// Crashes returns how many crashes a request is known for.
func (g *Guard) CrashCount(f Fingerprint) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.marks[f]; m != nil {
		return len(m.crashes)
	}
	return 0
}
