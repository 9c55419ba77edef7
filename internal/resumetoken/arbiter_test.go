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
	isFull := func(arbiter *Arbiter) { arbiter.RecordCount = 3 }
	isOther := func(arbiter *Arbiter) { arbiter.ID = GuardID{8} }
	isSwept := func(arbiter *Arbiter) { arbiter.SweptThrough = WindowOf(token.ExpiresAt) }
	this, other := RedemptionID{1}, RedemptionID{2}
	for name, test := range map[string]struct {
		change    func(*Arbiter)
		delay     time.Duration // after the token was issued
		grantedTo *RedemptionID
		want      Verdict
		isNew     bool
	}{
		"first":                        {want: Granted, isNew: true},
		"repeated":                     {grantedTo: &this, want: Granted},
		"granted to another":           {grantedTo: &other, want: Spent},
		"granted to another, expired":  {grantedTo: &other, delay: 2 * time.Minute, want: Spent},
		"a millisecond before its end": {delay: time.Minute - time.Millisecond, want: Granted, isNew: true},
		"at its end":                   {delay: time.Minute, want: Expired},
		"expired by a second":          {delay: 61 * time.Second, want: Expired},
		"clock 2 s behind":             {delay: -2 * time.Second, want: Granted, isNew: true},
		"clock 6 s behind":             {delay: -6 * time.Second, want: NotYetValid},
		"another guard":                {change: isOther, want: WrongGuard},
		"full":                         {change: isFull, want: GuardFull},
		"full, repeated":               {change: isFull, grantedTo: &this, want: Granted},
		"clock set back before sweep":  {change: isSwept, delay: -time.Hour, want: Expired},
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
			verdict, isNew := arbiter.Decide(now.Add(test.delay), &token, this, lookup)
			if verdict != test.want || isNew != test.isNew {
				t.Errorf("%v, new %v, want %v, %v", verdict, isNew, test.want, test.isNew)
			}
		})
	}
}

func TestChooseArbiter(t *testing.T) {
	issuer := Candidate{Name: "n1", IsReady: true, IsDurable: true}
	peers := []Candidate{{Name: "n2", IsReady: true}, {Name: "n3", IsReady: true}, {Name: "n4"}}
	if arbiter, ok := ChooseArbiter(issuer, false, peers, Nonce{}); !ok || arbiter.Name != "n1" {
		t.Errorf("not draining: %v", arbiter)
	}
	count := map[string]int{}
	for i := range 256 {
		arbiter, _ := ChooseArbiter(issuer, true, peers, Nonce{byte(i)})
		count[arbiter.Name]++
	}
	if count["n1"]+count["n4"] > 0 || count["n2"] < 64 || count["n3"] < 64 {
		t.Errorf("draining: %v", count)
	}
	if arbiter, ok := ChooseArbiter(issuer, true, nil, Nonce{}); !ok || arbiter.Name != "n1" {
		t.Error("alone, with a durable guard, it is still the arbiter")
	}
	issuer.IsDurable = false
	if _, ok := ChooseArbiter(issuer, true, nil, Nonce{}); ok {
		t.Error("nobody could arbitrate, and one was chosen")
	}
	full := Candidate{Name: "n1"}
	if arbiter, ok := ChooseArbiter(full, false, peers, Nonce{}); !ok || arbiter.Name == "n1" {
		t.Errorf("its guard is full, and %v was chosen", arbiter.Name)
	}
}
