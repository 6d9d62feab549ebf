package crashguard

import (
	"fmt"
	"testing"
	"time"
)

// crashTarget records that a request crashed a target.
func crashTarget(g *Guard, now time.Duration, f Fingerprint, target string) {
	g.ConnectionLost(now, f, Attempt{Target: target, Incarnation: target, SentAt: now}, 0)
	g.TargetTerminated(now, target, 0)
}

// refuses reports whether a guard refuses a request after the refusal delay.
func refuses(g *Guard, now time.Duration, f Fingerprint) bool {
	admission, _, refused := g.Admit(now+refusalDelay, f)
	admission.Release()
	return refused
}

// Guards against a request that crashes one target after another and is never refused, because it is answered between the
// crashes.
func TestAnswersBetweenCrashes(t *testing.T) {
	g, peer := New(nil), New(nil)
	f := FingerprintOf("s", "POST", "/", nil)
	g.broadcast = func(f Fingerprint, data []byte) {
		if _, err := peer.Receive(0, f, data); err != nil {
			t.Error(err)
		}
	}
	for i := range totalLimit {
		if refuses(g, 0, f) {
			t.Fatalf("refused after %d crashes", i)
		}
		crashTarget(g, 0, f, fmt.Sprint("t", i))
		if i < totalLimit-1 {
			g.Answered(0, f)
		}
	}
	for name, guard := range map[string]*Guard{"instance": g, "peer": peer} {
		if !refuses(guard, 0, f) {
			t.Errorf("the %s admits the request after %d crashes", name, totalLimit)
		}
	}
}

// Guards against refusing a request that is answered most of the time and was only in flight on targets that crashed for
// another reason.
func TestRequestThatIsMostlyAnsweredIsNotRefused(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "GET", "/", nil)
	for i := range 2 * totalLimit {
		crashTarget(g, 0, f, fmt.Sprint("t", i))
		if refuses(g, 0, f) {
			t.Fatalf("refused after %d crashes", i+1)
		}
		for range 2 * answersPerCrash {
			g.Answered(0, f)
		}
	}
}

// Guards against a request that is retried forever because another one was in flight at each crash in its mark: a mark
// holds at most maxCrashes crashes, so the crashes that would tell the two apart may be missing.
func TestManyCrashesAreNotExplained(t *testing.T) {
	g := New(nil)
	cause, innocent := FingerprintOf("s", "POST", "/cause", nil), FingerprintOf("s", "POST", "/beside", nil)
	for i := range maxCrashes {
		target := fmt.Sprint("t", i)
		g.ConnectionLost(0, innocent, Attempt{Target: target, Incarnation: target}, 0)
		crashTarget(g, 0, cause, target)
	}
	if !refuses(g, 0, cause) {
		t.Error("the request is admitted again")
	}
}

// Guards against a request that is never refused because each termination of a target is known only later, from the store,
// when another attempt of the request has been answered meanwhile.
func TestCrashKnownAfterAnswer(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "POST", "/", nil)
	at := time.Second
	for i := range totalLimit {
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

// Guards against refusing a request because several targets that ran copies of it terminated at the same moment for
// another reason.
func TestConcurrentLossesCountOnce(t *testing.T) {
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

// Guards against a crash that is not counted because the target restarts under the same name, and its new process is seen
// immediately.
func TestImmediateRestartCountsAsCrash(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "POST", "/", nil)
	g.ConnectionLost(time.Second, f, Attempt{Target: "t", Incarnation: "t/1", SentAt: time.Millisecond}, maxTerminationDelay)
	g.TargetRestarted(3*time.Second, "t", 3*time.Second)
	if n := g.CrashCount(f); n != 1 {
		t.Errorf("%d crashes, want 1", n)
	}
}

// linkedGuards returns the guards of instances that receive each other's marks at once.
func linkedGuards(t *testing.T, instances int, now *time.Duration) []*Guard {
	guards := make([]*Guard, instances)
	for i := range guards {
		guards[i] = New(func(f Fingerprint, data []byte) {
			for j, other := range guards {
				if j == i {
					continue
				}
				if _, err := other.Receive(*now, f, data); err != nil {
					t.Error(err)
				}
			}
		})
	}
	return guards
}

// Guards against refusing a request that many callers send because targets that ran copies of it for several instances terminated
// at the same moment for another reason: each instance sees only its own copies and few of the answers.
func TestSimultaneousCrashesOfManyInstancesCountOnce(t *testing.T) {
	const instances = 6
	f := FingerprintOf("s", "GET", "/", nil)
	now := time.Minute
	guards := linkedGuards(t, instances, &now)
	for i, g := range guards {
		g.Answered(0, f)
		target := fmt.Sprint("t", i)
		g.ConnectionLost(now, f, Attempt{Target: target, Incarnation: target, SentAt: now - time.Second}, 0)
		g.Answered(now, f)
	}
	for i, g := range guards {
		g.TargetTerminated(now, fmt.Sprint("t", i), 0)
	}
	for i, g := range guards {
		if refuses(g, now, f) {
			t.Errorf("instance %d refuses the request", i)
		}
	}
}

// Guards against refusing a request for two crashes although it was answered before: one that many callers send is in flight
// whenever a target crashes.
func TestAnsweredRequestIsNotRefusedForTwoCrashes(t *testing.T) {
	f := FingerprintOf("s", "GET", "/", nil)
	for answers, want := range []bool{true, false} {
		g := New(nil)
		for range answers {
			g.Answered(0, f)
		}
		crashTarget(g, time.Second, f, "t1")
		crashTarget(g, 2*time.Second, f, "t2")
		if got := refuses(g, 2*time.Second, f); got != want {
			t.Errorf("%d answers before: refused %v, want %v", answers, got, want)
		}
		crashTarget(g, 3*time.Second, f, "t3")
		if !refuses(g, 3*time.Second, f) {
			t.Errorf("%d answers before: not refused after three crashes", answers)
		}
	}
}

// Guards against a request that crashes targets again whenever its mark has expired, although it was sent all the time.
func TestRefusedRequestStaysRefusedWhileItArrives(t *testing.T) {
	f := FingerprintOf("s", "POST", "/", nil)
	g := New(nil)
	crashes := 0
	for now := time.Second; now < 3*time.Hour; now += time.Second {
		admission, wait, refused := g.Admit(now, f)
		if refused || wait != nil {
			continue
		}
		crashTarget(g, now, f, fmt.Sprint("t", crashes))
		admission.Release()
		crashes++
	}
	if most := unansweredLimit + len(trialDelays); crashes > most {
		t.Errorf("%d targets crashed, want at most %d", crashes, most)
	}
}

// Guards against refusing an innocent request for many minutes because it was in flight on targets that crashed for another reason.
func TestRefusedRequestIsTriedAgain(t *testing.T) {
	f := FingerprintOf("s", "GET", "/", nil)
	g := New(nil)
	crashTarget(g, 0, f, "t1")
	crashTarget(g, time.Second, f, "t2")
	for now := time.Second; now < 2*trialDelays[0]; now += 100 * time.Millisecond {
		admission, wait, refused := g.Admit(now, f)
		if refused || wait != nil {
			continue
		}
		if !g.StillAdmitted(now, f, &admission) {
			t.Fatal("the trial is not admitted when it is sent")
		}
		g.Answered(now, f)
		admission.Release()
		if limit := time.Second + trialDelays[0]*3/2; now > limit+100*time.Millisecond {
			t.Errorf("tried again after %v, want at most %v", now, limit)
		}
		if refuses(g, now, f) {
			t.Error("still refused after a complete answer")
		}
		return
	}
	t.Error("the request was not tried again")
}

// Guards against one trial of each instance, each of which crashes a target: an instance that learns of a trial waits for its
// result.
func TestInstancesDoNotTryTogether(t *testing.T) {
	f := FingerprintOf("s", "POST", "/", nil)
	peer := New(nil)
	g := New(func(f Fingerprint, data []byte) {
		if _, err := peer.Receive(2*trialDelays[0], f, data); err != nil {
			t.Error(err)
		}
	})
	g.trialJitter, peer.trialJitter = 0, 0
	crashTarget(g, 0, f, "t1")
	crashTarget(g, time.Second, f, "t2")
	admission, _, refused := g.Admit(2*trialDelays[0], f)
	if refused || !admission.Suspect() {
		t.Fatal("the request is not tried again")
	}
	if _, _, refused := peer.Admit(4*trialDelays[0], f); !refused {
		t.Error("the peer tries at the same time")
	}
}

// Guards against refusing a request for good because its answers are spread over instances, none of which saw enough of them. An
// instance that refuses it tells its answers, and fetches the marks of one that does not.
func TestAnswersOfAllInstancesOutweighCrashes(t *testing.T) {
	const instances = 6
	f := FingerprintOf("s", "GET", "/", nil)
	now := time.Duration(0)
	guards := linkedGuards(t, instances, &now)
	for i := range totalLimit {
		now += 2 * time.Second
		crashTarget(guards[i], now, f, fmt.Sprint("t", i))
		for _, g := range guards {
			g.Answered(now, f)
		}
	}
	now += refusalDelay
	for _, g := range guards {
		g.Admit(now, f)
	}
	for i, g := range guards {
		for _, other := range guards {
			if other.Digest(now) == g.Digest(now) {
				continue
			}
			other.ForEachMark(now, func(f Fingerprint, data []byte, _ bool) {
				if _, err := g.Receive(now, f, data); err != nil {
					t.Error(err)
				}
			})
		}
		if _, _, refused := g.Admit(now, f); refused {
			t.Errorf("instance %d refuses the request although all instances answered it after each crash", i)
		}
	}
}

// Guards against extra connections and waiting for copies of a request that many callers send, because it was once in flight on a
// target that crashed, or lost some answers that targets did not send although they run.
func TestMostlyAnsweredRequestNeedsNoCare(t *testing.T) {
	f := FingerprintOf("s", "GET", "/", nil)
	g := New(nil)
	crashTarget(g, time.Second, f, "t1")
	if !g.HasCrashEvidence(f) {
		t.Error("no evidence after a crash")
	}
	for range answersPerCrash {
		g.Answered(2*time.Second, f)
	}
	if g.HasCrashEvidence(f) {
		t.Error("evidence although the request is answered most of the time")
	}
	now := 3 * time.Second
	for _, target := range []string{"t2", "t3", "t4"} {
		g.ConnectionLost(now, f, Attempt{Target: target, Incarnation: target, SentAt: now - time.Second}, time.Second)
	}
	if _, wait, _ := g.Admit(now, f); wait == nil {
		t.Error("no copy waits for the verdict on three losses")
	}
	g.Answered(now, f)
	if _, wait, _ := g.Admit(now, f); wait != nil || g.HasCrashEvidence(f) {
		t.Errorf("after an answer: waits %v, evidence %v", wait != nil, g.HasCrashEvidence(f))
	}
	g.TargetTerminated(now, "t2", 0)
	if g.CrashCount(f) != 2 {
		t.Error("a loss that turns out to be a crash after the answer does not count")
	}
}

// Guards against forgetting a request that crashes targets because a storm of crashes leaves marks of other requests.
func TestRefusedRequestOutlivesOtherMarks(t *testing.T) {
	g := New(nil)
	cause := FingerprintOf("s", "POST", "/cause", nil)
	crashTarget(g, time.Second, cause, "t1")
	crashTarget(g, 2*time.Second, cause, "t2")
	for i := range maxMarks {
		crashTarget(g, 3*time.Second, FingerprintOf("s", "GET", fmt.Sprint("/beside", i), nil), fmt.Sprint("u", i))
	}
	if !refuses(g, 3*time.Second, cause) {
		t.Error("the request is admitted again")
	}
}

// Guards against admitting a request that begins to crash targets because its mark is full of crashes that came before answers.
func TestFullMarkTakesFurtherCrashes(t *testing.T) {
	g := New(nil)
	f := FingerprintOf("s", "GET", "/", nil)
	now := time.Duration(0)
	for i := range maxCrashes {
		now += time.Second
		crashTarget(g, now, f, fmt.Sprint("t", i))
		for range 2 * answersPerCrash {
			g.Answered(now, f)
		}
	}
	for i := range unansweredHardLimit {
		if refuses(g, now, f) {
			t.Fatalf("refused after %d crashes since the last answer", i)
		}
		now += time.Second
		crashTarget(g, now, f, fmt.Sprint("u", i))
	}
	if !refuses(g, now, f) {
		t.Errorf("admitted after %d crashes since the last answer", unansweredHardLimit)
	}
}
