package crashguard

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Digest returns a digest of all marks without their ages, or 0 if there are none. Instances with different digests pull
// each other's marks, so that an instance that started later or was partitioned receives them too.
func (g *Guard) Digest(now time.Duration) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	if !g.digestValid {
		g.digest = g.computeDigest()
		g.digestValid = true
	}
	return g.digest
}

func (g *Guard) computeDigest() uint64 {
	var sum uint64
	for f, m := range g.marks {
		h := fnv.New64a()
		data := binary.BigEndian.AppendUint32(slices.Clone(f[:]), m.generation)
		data = append(data, byte(m.trials))
		if m.crashesOften() {
			data = append(data, 1)
		}
		for _, target := range m.crashedTargets() {
			data = binary.BigEndian.AppendUint32(data, target)
		}
		_, _ = h.Write(data)
		sum ^= h.Sum64()
	}
	return sum
}

// crashedTargets returns the hashes of the targets that crashed, on which all instances eventually agree. It leaves out
// the incarnations, because not every instance knows them. It returns nothing for a mark with maxCrashes crashes, because
// instances may have kept different ones.
func (m *mark) crashedTargets() []uint32 {
	if len(m.crashes) >= maxCrashes {
		return nil
	}
	var targets []uint32
	for _, c := range m.crashes {
		targets = append(targets, c.target)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// ForEachMark calls visit for each mark, including cleared ones, in the order of fingerprints. Data is the encoded mark.
// Refused is true if the mark has enough crashes to refuse its request. Visit is called with the guard's lock held and
// must not call the guard.
func (g *Guard) ForEachMark(now time.Duration, visit func(f Fingerprint, data []byte, refused bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	sorted := slices.SortedFunc(maps.Keys(g.marks), func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	for _, f := range sorted {
		visit(f, g.marks[f].encode(now, g.instance), g.marks[f].refusable())
	}
}
