package flowtable

import (
	"testing"
	"time"
)

func TestIsSilent(t *testing.T) {
	const s = time.Second
	o := SilenceOptions{After: 3 * s, Datagrams: 10}
	answers := func(e *LivenessEvidence, n int, from time.Duration) time.Duration {
		for range n {
			e.Sent(from)
			e.Received()
			from += 10 * time.Millisecond
		}
		return from
	}
	mute := func(e *LivenessEvidence, n int, from, each time.Duration) time.Duration {
		for range n {
			e.Sent(from)
			from += each
		}
		return from
	}
	for name, c := range map[string]struct {
		o    SilenceOptions
		play func(e *LivenessEvidence) time.Duration // returns when it is looked at
		want bool
	}{
		"nothing known":           {o, func(e *LivenessEvidence) time.Duration { return time.Hour }, false},
		"never answers":           {o, func(e *LivenessEvidence) time.Duration { return mute(e, 1000, 0, s/100) }, false},
		"answers":                 {o, func(e *LivenessEvidence) time.Duration { return answers(e, 1000, 0) }, false},
		"stops":                   {o, func(e *LivenessEvidence) time.Duration { return mute(e, 40, answers(e, 100, 0), s/10) }, true},
		"stops, at full speed":    {o, func(e *LivenessEvidence) time.Duration { return mute(e, 40_000, answers(e, 100, 0), s/10_000) }, true},
		"stops, too short":        {o, func(e *LivenessEvidence) time.Duration { return mute(e, 40, answers(e, 100, 0), s/20) }, false},
		"stops, too few":          {o, func(e *LivenessEvidence) time.Duration { return mute(e, 9, answers(e, 100, 0), s) }, false},
		"stops and comes back":    {o, func(e *LivenessEvidence) time.Duration { return answers(e, 1, mute(e, 40, answers(e, 100, 0), s/10)) }, false},
		"too new to have a habit": {o, func(e *LivenessEvidence) time.Duration { return mute(e, 40, answers(e, 10, 0), s) }, false},
		"answers some": {o, func(e *LivenessEvidence) time.Duration {
			at := s
			for range 50 {
				at = mute(e, 4, answers(e, 1, at), s/100)
			}
			return mute(e, 40, at, s)
		}, false},
		"quiet, and so its flows": {o, func(e *LivenessEvidence) time.Duration { return answers(e, 100, 0) + time.Hour }, false},
		"health fails": {o, func(e *LivenessEvidence) time.Duration {
			e.ProbeAnswered(s, false)
			e.ProbeAnswered(2*s, false)
			return 4 * s
		}, true},
		"health fails, too short": {o, func(e *LivenessEvidence) time.Duration { e.ProbeAnswered(s, false); return 3 * s }, false},
		"health fails and is back": {o, func(e *LivenessEvidence) time.Duration {
			e.ProbeAnswered(s, false)
			e.ProbeAnswered(2*s, true)
			return 9 * s
		}, false},
		"hung, but healthy": {o, func(e *LivenessEvidence) time.Duration {
			at := mute(e, 40, answers(e, 100, 0), s/10)
			e.ProbeAnswered(at, true)
			return at
		}, true},
		"a new habit": {o, func(e *LivenessEvidence) time.Duration { return mute(e, 100, answers(e, 5000, mute(e, 900, 0, 0)), s) }, true},
		"off": {SilenceOptions{}, func(e *LivenessEvidence) time.Duration {
			e.ProbeAnswered(0, false)
			return mute(e, 40, answers(e, 100, 0), s)
		}, false},
		"answers do not count": {SilenceOptions{After: 3 * s}, func(e *LivenessEvidence) time.Duration { return mute(e, 40, answers(e, 100, 0), s) }, false},
	} {
		var e LivenessEvidence
		if now := c.play(&e); e.IsSilent(now, c.o) != c.want {
			t.Errorf("%s: silent is %v at %v", name, !c.want, now)
		}
	}
}
