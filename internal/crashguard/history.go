package crashguard

// historyGeneration is the number of fingerprints in one generation of the history. Two generations take about 1 MB.
const historyGeneration = 8192

// history is the set of the latest fingerprints, at most two generations of them.
type history struct{ current, previous map[Fingerprint]struct{} }

// add remembers a fingerprint.
func (h *history) add(f Fingerprint) {
	if _, known := h.current[f]; known {
		return
	}
	if h.current == nil || len(h.current) >= historyGeneration {
		h.previous, h.current = h.current, make(map[Fingerprint]struct{}, historyGeneration)
	}
	h.current[f] = struct{}{}
}

func (h *history) has(f Fingerprint) bool {
	_, current := h.current[f]
	_, previous := h.previous[f]
	return current || previous
}
