package resumetoken

import (
	"testing"
	"time"
)

func TestBeginRedemption(t *testing.T) {
	const skew = 5 * time.Second
	ring := testRing(t)
	valid := Presentation{mintTestToken(t, ring, now), "k7", "g1"}
	otherClient, cutShort := valid, valid
	otherClient.FlowKey = "k8"
	cutShort.Token = cutShort.Token[1:]
	for name, test := range map[string]struct {
		presentation   Presentation
		delay          time.Duration // after the token was issued
		verdict        Verdict       // 0: the arbiter is asked
		hasMinPosition bool
	}{
		"just issued":              {valid, 0, 0, false},
		"issuer's clock 2 s ahead": {valid, -2 * time.Second, 0, false},
		"issuer's clock far ahead": {valid, -6 * time.Second, NotYetValid, true},
		"expired within the skew":  {valid, 61 * time.Second, 0, false}, // this clock may be ahead: the arbiter decides
		"expired beyond the skew":  {valid, 66 * time.Second, Expired, true},
		"another client's":         {otherClient, 0, WrongClient, false},
		"cut short":                {cutShort, 0, Invalid, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, outcome, isSettled := BeginRedemption(ring, now.Add(test.delay), test.presentation, skew)
			isWanted := outcome.Verdict == test.verdict && outcome.HasMinPosition == test.hasMinPosition
			if isSettled != (test.verdict != 0) || !isWanted || outcome.CanResume {
				t.Errorf("%+v, settled %v", outcome, isSettled)
			}
		})
	}
	redemption, _, _ := BeginRedemption(ring, now, valid, skew)
	outcome, ok := redemption.Complete(Granted)
	if !ok || !outcome.CanResume || outcome.Position != (Position{0xc0, 41}) || outcome.Nonce != (Nonce{1, 2, 3}) {
		t.Errorf("granted: %+v, %v", outcome, ok)
	}
}
