package crashguard

import (
	"fmt"
	"testing"
	"time"
)

// crashed lets a request crash a target.
func crashed(g *Guard, now time.Duration, f Fingerprint, target string) {
	g.ConnectionLost(now, f, Attempt{Target: target, Incarnation: target, SentAt: now}, 0)
	g.TargetTerminated(now, target, 0)
}

// refuses reports whether a guard refuses a request after the hold.
func refuses(g *Guard, now time.Duration, f Fingerprint) bool {
	entry, _, refused := g.Admit(now+holdTime, f)
	entry.Release()
	return refused
}

// Guards against a request that crashes target after target because a run between the crashes is answered.
func TestAnswersBetweenCrashes(t *testing.T) {
	g, peer := New(nil), New(nil)
	f := FingerprintOf("s", "POST", "/", nil)
	g.spread = func(f Fingerprint, data []byte) {
		if _, err := peer.Receive(0, f, data); err != nil {
			t.Error(err)
		}
	}
	for i := range refuseInAll {
		if refuses(g, 0, f) {
			t.Fatalf("refused after %d crashes", i)
		}
		crashed(g, 0, f, fmt.Sprint("t", i))
		if i < refuseInAll-1 {
			g.Answered(0, f)
		}
	}
	for name, guard := range map[string]*Guard{"instance": g, "peer": peer} {
		if !refuses(guard, 0, f) {
			t.Errorf("the %s admits the request", name)
		}
	}
}

// Guards against a request that is refused though it is answered most of the time and was only in flight on targets that ended.
func TestRequestThatIsMostlyAnsweredIsNotRefused(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "GET", "/", nil)
	for i := range 2 * refuseInAll {
		crashed(g, 0, f, fmt.Sprint("t", i))
		if refuses(g, 0, f) {
			t.Fatalf("refused after %d crashes", i+1)
		}
		for range 2 * mostly {
			g.Answered(0, f)
		}
	}
}

// Guards against a request that is tried for ever because another one was in flight at each of its crashes: a mark holds few
// crashes, so that those which would tell the two apart are not remembered.
func TestNoRequestExplainsManyCrashes(t *testing.T) {
	g := New(nil)
	cause, beside := FingerprintOf("s", "POST", "/cause", nil), FingerprintOf("s", "POST", "/beside", nil)
	for i := range maxCrashes {
		target := fmt.Sprint("t", i)
		g.ConnectionLost(0, beside, Attempt{Target: target, Incarnation: target}, 0)
		crashed(g, 0, cause, target)
	}
	if !refuses(g, 0, cause) {
		t.Error("the request is tried again")
	}
}

// Guards against a request whose end of a target is proved late, by the records of the store, when another run was answered
// meanwhile.
func TestCrashThatIsProvedAfterAnAnswer(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "POST", "/", nil)
	at := time.Second
	for i := range refuseInAll {
		if refuses(g, at, f) {
			t.Fatalf("refused after %d crashes", i)
		}
		target := fmt.Sprint("t", i)
		g.Unanswered(at+time.Second, f, Attempt{Target: target, Incarnation: target, SentAt: at})
		g.Answered(at+2*time.Second, f)
		at += 3 * time.Second
		g.TargetTerminated(at, target, 0)
	}
	if !refuses(g, at, f) {
		t.Error("the request is admitted")
	}
}

// Guards against a request that is refused because several targets ended at the same moment by another cause while copies of it ran
// there.
func TestCopiesThatAreLostTogetherCountOnce(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "GET", "/", nil)
	for i := range 4 {
		target := fmt.Sprint("t", i)
		g.ConnectionLost(2*time.Second, f, Attempt{Target: target, Incarnation: target, SentAt: time.Second}, 0)
		g.TargetTerminated(2*time.Second, target, 0)
	}
	if refuses(g, 2*time.Second, f) {
		t.Error("the request is refused")
	}
}

// Guards against the end of a target that passes for none because its next process, under the same name, gives signs of life at once.
func TestTargetThatStartsAgainAtOnceEnded(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "POST", "/", nil)
	g.ConnectionLost(time.Second, f, Attempt{Target: "t", Incarnation: "t/1", SentAt: time.Millisecond}, lateEnd)
	g.TargetRestarted(3*time.Second, "t", 3*time.Second)
	if n := g.CrashCount(f); n != 1 {
		t.Errorf("%d crashes", n)
	}
}
