package credit

import "time"

// askID identifies an ask at the owner.
type askID struct {
	from   string
	number uint32
	key    Key
}

// rememberedAsk is an ask that was answered.
type rememberedAsk struct {
	at time.Duration
	// sequence is that of the debit.
	sequence uint64
	answer   Answer
	refunded bool
}

// askMemory remembers the latest asks.
type askMemory struct {
	byID map[askID]rememberedAsk
	// order lists the asks, oldest first.
	order []askID
}

func newAskMemory() askMemory { return askMemory{byID: map[askID]rememberedAsk{}} }

func (m *askMemory) find(id askID) (rememberedAsk, bool) {
	ask, ok := m.byID[id]
	return ask, ok
}

func (m *askMemory) add(id askID, ask rememberedAsk) {
	if len(m.order) >= maxRememberedAsks {
		m.forgetOldest()
	}
	m.byID[id] = ask
	m.order = append(m.order, id)
}

// refundOnce returns the ask and marks it as refunded. It returns false if the ask is unknown or was refunded before.
func (m *askMemory) refundOnce(id askID) (rememberedAsk, bool) {
	ask, ok := m.byID[id]
	if !ok || ask.refunded {
		return rememberedAsk{}, false
	}
	ask.refunded = true
	m.byID[id] = ask
	return ask, true
}

// forgetBefore forgets the asks that were answered before the given time.
func (m *askMemory) forgetBefore(t time.Duration) {
	for len(m.order) > 0 && m.byID[m.order[0]].at < t {
		m.forgetOldest()
	}
}

func (m *askMemory) forgetOldest() {
	delete(m.byID, m.order[0])
	m.order[0] = askID{}
	m.order = m.order[1:]
}
