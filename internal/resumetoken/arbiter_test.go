package resumetoken

import (
	"testing"
	"time"
)

func TestArbiterDecides(t *testing.T) {
	ring := testRing(t)
	token, err := Open(ring, mintTestToken(t, ring, now))
	if err != nil {
		t.Fatal(err)
	}
	setFull := func(arbiter *Arbiter) { arbiter.RecordCount = 3 }
	setOtherGuard := func(arbiter *Arbiter) { arbiter.ID = GuardID{8} }
	setSwept := func(arbiter *Arbiter) { arbiter.SweptThrough = WindowOf(token.ExpiresAt) }
	thisID, otherID := RedemptionID{1}, RedemptionID{2}
	for name, test := range map[string]struct {
		change    func(*Arbiter)
		delay     time.Duration // from the issue of the token to the decision
		grantedTo *RedemptionID
		want      Verdict
		isNew     bool
	}{
		"first":                       {want: Granted, isNew: true},
		"repeated":                    {grantedTo: &thisID, want: Granted},
		"granted to another":          {grantedTo: &otherID, want: Spent},
		"granted to another, expired": {grantedTo: &otherID, delay: 2 * time.Minute, want: Spent},
		"1 ms before expiry":          {delay: time.Minute - time.Millisecond, want: Granted, isNew: true},
		"at expiry":                   {delay: time.Minute, want: Expired},
		"1 s after expiry":            {delay: 61 * time.Second, want: Expired},
		"clock 2 s behind":            {delay: -2 * time.Second, want: Granted, isNew: true},
		"clock 6 s behind":            {delay: -6 * time.Second, want: NotYetValid},
		"another guard":               {change: setOtherGuard, want: WrongGuard},
		"full":                        {change: setFull, want: GuardFull},
		"full, repeated redemption":   {change: setFull, grantedTo: &thisID, want: Granted},
		"clock set back after sweep":  {change: setSwept, delay: -time.Hour, want: Expired},
	} {
		t.Run(name, func(t *testing.T) {
			arbiter := Arbiter{ID: GuardID{9}, MaxRecords: 3, ClockSkew: 5 * time.Second}
			if test.change != nil {
				test.change(&arbiter)
			}
			lookup := func(window Window, nonce Nonce) (RedemptionID, bool) {
				if test.grantedTo == nil || window != WindowOf(token.ExpiresAt) || nonce != token.Nonce {
					return RedemptionID{}, false
				}
				return *test.grantedTo, true
			}
			verdict, isNew := arbiter.Decide(now.Add(test.delay), &token, thisID, lookup)
			if verdict != test.want || isNew != test.isNew {
				t.Errorf("verdict %v, new %v, want %v, new %v", verdict, isNew, test.want, test.isNew)
			}
		})
	}
}

func TestChooseArbiter(t *testing.T) {
	issuer := Candidate{Name: "n1", IsReady: true, IsDurable: true}
	peers := []Candidate{{Name: "n2", IsReady: true}, {Name: "n3", IsReady: true}, {Name: "n4"}}
	if arbiter, ok := ChooseArbiter(issuer, false, peers, Nonce{}); !ok || arbiter.Name != "n1" {
		t.Errorf("issuer not draining: arbiter %v", arbiter)
	}
	count := map[string]int{}
	for i := range 256 {
		arbiter, _ := ChooseArbiter(issuer, true, peers, Nonce{byte(i)})
		count[arbiter.Name]++
	}
	if count["n1"]+count["n4"] > 0 || count["n2"] < 64 || count["n3"] < 64 {
		t.Errorf("issuer draining: number of tokens by arbiter %v", count)
	}
	if arbiter, ok := ChooseArbiter(issuer, true, nil, Nonce{}); !ok || arbiter.Name != "n1" {
		t.Error("a draining issuer with a durable guard and no peers was not chosen")
	}
	issuer.IsDurable = false
	if _, ok := ChooseArbiter(issuer, true, nil, Nonce{}); ok {
		t.Error("an arbiter was chosen though no guard was suitable")
	}
	full := Candidate{Name: "n1"}
	if arbiter, ok := ChooseArbiter(full, false, peers, Nonce{}); !ok || arbiter.Name == "n1" {
		t.Errorf("issuer with a full guard: %v was chosen", arbiter.Name)
	}
}
