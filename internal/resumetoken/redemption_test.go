package resumetoken

import (
	"testing"
	"time"
)

func TestBeginRedemption(t *testing.T) {
	const skew = 5 * time.Second
	ring := testRing(t)
	valid := Presentation{mintTestToken(t, ring, now), "k7", "g1"}
	otherClient, truncated := valid, valid
	otherClient.FlowKey = "k8"
	truncated.Token = truncated.Token[1:]
	for name, test := range map[string]struct {
		presentation   Presentation
		delay          time.Duration // from the issue of the token to its presentation
		verdict        Verdict       // 0 if the arbiter has to decide
		hasMinPosition bool
	}{
		"just issued":            {valid, 0, 0, false},
		"issuer clock 2 s ahead": {valid, -2 * time.Second, 0, false},
		"issuer clock 6 s ahead": {valid, -6 * time.Second, NotYetValid, true},
		// The clock of the redeeming node may be ahead, so the arbiter has to decide.
		"expired within the skew": {valid, 61 * time.Second, 0, false},
		"expired beyond the skew": {valid, 66 * time.Second, Expired, true},
		"token of another client": {otherClient, 0, WrongClient, false},
		"truncated token":         {truncated, 0, Invalid, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, outcome, isSettled := BeginRedemption(ring, now.Add(test.delay), test.presentation, skew)
			isWanted := outcome.Verdict == test.verdict && outcome.HasMinPosition == test.hasMinPosition
			if isSettled != (test.verdict != 0) || !isWanted || outcome.CanResume {
				t.Errorf("outcome %+v, settled %v", outcome, isSettled)
			}
		})
	}
	redemption, _, _ := BeginRedemption(ring, now, valid, skew)
	outcome, ok := redemption.Complete(Granted)
	if !ok || !outcome.CanResume ||
		outcome.Position != (Position{0xc0, 41}) || outcome.Nonce != (Nonce{1, 2, 3}) {
		t.Errorf("completed with Granted: %+v, %v", outcome, ok)
	}
}
