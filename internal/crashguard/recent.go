package crashguard

// generationSize is the number of fingerprints in one generation of recentFingerprints. Two generations take about 1 MB.
const generationSize = 8192

// recentFingerprints is a set of the most recently added fingerprints. When the current generation is full, it replaces
// the previous one, which is dropped.
type recentFingerprints struct{ current, previous map[Fingerprint]struct{} }

// add adds a fingerprint.
func (r *recentFingerprints) add(f Fingerprint) {
	if _, known := r.current[f]; known {
		return
	}
	if r.current == nil || len(r.current) >= generationSize {
		r.previous, r.current = r.current, make(map[Fingerprint]struct{}, generationSize)
	}
	r.current[f] = struct{}{}
}

func (r *recentFingerprints) contains(f Fingerprint) bool {
	_, current := r.current[f]
	_, previous := r.previous[f]
	return current || previous
}
