package crashguard

import (
	"bytes"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// Digest identifies the marks except for their ages, 0 for none. Instances with different digests pull each other's
// marks, so that one that starts later or was cut off learns of them.
func (g *Guard) Digest(now time.Duration) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	if !g.summed {
		g.sum = g.digest()
		g.summed = true
	}
	return g.sum
}

func (g *Guard) digest() uint64 {
	var sum uint64
	for f, m := range g.marks {
		h := fnv.New64a()
		data := binary.BigEndian.AppendUint32(slices.Clone(f[:]), m.generation)
		for _, target := range m.targets() {
			data = binary.BigEndian.AppendUint32(data, target)
		}
		_, _ = h.Write(data)
		sum ^= h.Sum64()
	}
	return sum
}

// targets returns the targets that crashed, on which all instances agree in the end. Incarnations are left out, because
// not every instance saw them, and so are the targets of a mark with maxCrashes, because instances may name others.
func (m *mark) targets() []uint32 {
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

// List calls add for each mark in the order of fingerprints, cleared ones included. Refused is true when the mark has enough
// crashes to refuse its request.
func (g *Guard) ForEachMark(now time.Duration, add func(f Fingerprint, data []byte, refused bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire(now)
	order := slices.SortedFunc(maps.Keys(g.marks), func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	for _, f := range order {
		add(f, g.marks[f].encode(now), g.marks[f].enough())
	}
}
