package crashguard

import "slices"

// maxAnswerSources is the number of other instances whose answers are counted. Few are needed to outweigh the crashes of one mark.
const maxAnswerSources = 8

// answerSource is the number of complete answers that one instance saw since it created its mark of a request.
type answerSource struct {
	// instance is a random number that identifies the instance until it restarts.
	instance, answers uint32
}

// answerCounts counts the complete answers of a request over all instances. Its merges commute, so that instances that learn of
// the same answers in any order agree.
type answerCounts struct {
	// prior is the highest number of recent answers before the first crash that one instance saw, at most maxPriorAnswers.
	prior int
	// here is the number of answers that this instance saw since it created the mark, and told how many of them the others were
	// told of.
	here, told uint32
	// sources holds the answers that other instances saw.
	sources []answerSource
}

// total returns the number of answers that are known to this instance, at most maxAnswers.
func (a *answerCounts) total() int {
	total := a.prior + int(a.here)
	for _, s := range a.sources {
		total += int(s.answers)
	}
	return min(total, maxAnswers)
}

// add counts an answer that this instance saw.
func (a *answerCounts) add() { a.here = min(a.here+1, maxAnswers) }

// merge merges the counts of a peer. Self is the number of this instance. It reports whether the counts rose.
func (a *answerCounts) merge(self uint32, remote *answerCounts) (changed bool) {
	a.prior = max(a.prior, remote.prior)
	for _, s := range remote.sources {
		if s.instance != self && a.mergeSource(s) {
			changed = true
		}
	}
	return changed
}

func (a *answerCounts) mergeSource(s answerSource) (changed bool) {
	i := slices.IndexFunc(a.sources, func(known answerSource) bool { return known.instance == s.instance })
	if i < 0 {
		if len(a.sources) >= maxAnswerSources {
			return false
		}
		a.sources = append(a.sources, s)
		return true
	}
	changed = s.answers > a.sources[i].answers
	a.sources[i].answers = max(a.sources[i].answers, s.answers)
	return changed
}

// withSelf returns the sources with this instance first, if it saw any answer.
func (a *answerCounts) withSelf(self uint32) []answerSource {
	if a.here == 0 {
		return a.sources
	}
	return append([]answerSource{{self, a.here}}, a.sources[:min(len(a.sources), maxAnswerSources-1)]...)
}
