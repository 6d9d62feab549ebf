package credit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// fleetSizeLimit is that of a workspace of middle size.
var fleetSizeLimit = Limit{Rate: 40, Burst: 20}

// sizeResult is a row of the table in docs/design/credit.md.
type sizeResult struct {
	requests, exhausted, unavailable int
	// mostOfBound is the fullest window in relation to its bound, at seven times the limit. served is the number of requests in
	// relation to the limit.
	mostOfBound, served float64
}

// Guards against a limit that is exceeded, or that refuses requests below it, in large fleets or after the loss of owners. It
// prints the two errors side by side. While there is no owner there is no credit: requests that are refused then as unavailable
// are bounded by the time without an owner. A new owner cannot know whether the burst was spent: of the requests below the
// limit, as many as the burst may be refused after the loss of an owner, and none without a loss.
func TestSharedLimitByFleetSize(t *testing.T) {
	t.Log("instances | owners lost | below the limit: requests, over limit, no owner | sevenfold: fullest window of bound, served of limit")
	for _, instances := range []int{3, 30, 110, 472} {
		for _, lost := range []int{0, 1, 3} {
			r := playSize(t, instances, lost)
			t.Logf("%4d | %d | %d, %d, %d | %.3f, %.3f", instances, lost, r.requests, r.exhausted, r.unavailable, r.mostOfBound, r.served)
			checkSize(t, instances, lost, r)
		}
	}
}

func checkSize(t *testing.T, instances, lost int, r sizeResult) {
	name := fmt.Sprintf("%d instances, %d owners lost", instances, lost)
	if r.mostOfBound > 1 {
		t.Errorf("%s: a window held %.3f of its bound", name, r.mostOfBound)
	}
	if most := lost * int(fleetSizeLimit.Burst); r.exhausted > most {
		t.Errorf("%s: %d requests below the limit were refused as beyond it, at most %d may be", name, r.exhausted, most)
	}
	gaps := float64(lost) * 1.5 / 30
	if share := float64(r.unavailable) / float64(r.requests); share > gaps*1.3 {
		t.Errorf("%s: %.3f of the requests found no owner", name, share)
	}
	if least := 0.97 - gaps; r.served < least {
		t.Errorf("%s: %.3f of the limit was served at sevenfold demand, want %.3f", name, r.served, least)
	}
}

// playSize plays a site twice, with demand below the limit and with sevenfold demand.
func playSize(t *testing.T, instances, lost int) sizeResult {
	var r sizeResult
	play(t, instances, lost, 1, func(s *site) {
		below := s.result(keyA)
		r.exhausted, r.unavailable = below.exhausted, below.unavailable
		r.requests = len(below.sent) + below.exhausted + below.unavailable + below.expired
	})
	play(t, instances, lost, 7, func(s *site) {
		hot := s.result(keyA)
		r.mostOfBound = float64(hot.mostInWindow(quotaBounds.Window, 0)) / quotaBounds.allowed(fleetSizeLimit)
		r.served = float64(len(hot.sent)) / (30 * fleetSizeLimit.Rate)
	})
	return r
}

// play plays 30 s, in which owners are lost at even times, each for up to 1.5 s.
func play(t *testing.T, instances, lost int, factor float64, result func(*site)) {
	synctest.Test(t, func(*testing.T) {
		const length = 30 * time.Second
		s := newSite(uint64(instances+lost), instances, trouble{lost: 0.005})
		s.elect()
		time.Sleep(leadTime)
		s.requests.Go(func() { s.loseOwners(lost, length) })
		below := newAllowance(fleetSizeLimit)
		s.drive(length, steady(factor*fleetSizeLimit.Rate), func() {
			if factor > 1 || below.admit(s.now()) {
				s.request(s.anyInstance(), keyA, fleetSizeLimit)
			}
		})
		s.finish()
		result(s)
	})
}

func (s *site) loseOwners(lost int, length time.Duration) {
	for range lost {
		time.Sleep(length / time.Duration(lost+1))
		s.loseOwner()
		time.Sleep(s.upTo(1500 * time.Millisecond))
		s.elect()
	}
}
