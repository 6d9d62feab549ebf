package crashguard

// generationSize is the number of fingerprints in one generation of answerHistory. Two generations take about 1 MB.
const generationSize = 8192

// maxHistoryBodyBytes limits the body size of the requests in answerHistory. Hashing a body of 1 MiB takes longer than the rest
// of a call.
const maxHistoryBodyBytes = 4 << 10

// RecordsAnswers reports whether an answer is to be recorded by Answered, for which the request needs a fingerprint. While there
// are no marks or losses, only answers that may tell innocent copies of a request from its cause later are: requests that are not
// idempotent hardly come with the same content again.
func (g *Guard) RecordsAnswers(idempotent bool, bodyBytes int) bool {
	return g.Active() || idempotent && bodyBytes <= maxHistoryBodyBytes
}

// answerHistory counts the recent answers of the most recently answered requests, up to maxPriorAnswers each. When the current
// generation is full, it replaces the previous one, which is dropped.
type answerHistory struct{ current, previous map[Fingerprint]uint8 }

// add counts an answer of a request.
func (h *answerHistory) add(f Fingerprint) {
	count, known := h.current[f]
	if !known && (h.current == nil || len(h.current) >= generationSize) {
		h.previous, h.current = h.current, make(map[Fingerprint]uint8, generationSize)
	}
	if count < maxPriorAnswers {
		h.current[f] = count + 1
	}
}

// count returns the number of counted answers of a request.
func (h *answerHistory) count(f Fingerprint) int {
	return min(int(h.current[f])+int(h.previous[f]), maxPriorAnswers)
}
