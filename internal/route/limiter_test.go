package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coralrelay/internal/fleet/account"
)

var testRoute = &Route{Path: "acme/web:r", Account: "acme", Levels: []string{"acme", "acme/web", "acme/web:r"}}

// ledger returns one with an epoch of a second, in its half 100, and the time.
func newTestLimiter(t interface{ Fatal(...any) }) (*Limiter, time.Duration) {
	l, err := NewLimiter(account.LeaseConfig{Epoch: time.Second, HolderTimeout: 3 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return l, 50 * time.Second
}

func newTestLease(halfEpoch int64, paths map[string]account.Amounts) account.QuotaLease {
	evenShares := map[string]account.Amounts{}
	for path := range paths {
		evenShares[path] = account.Amounts{Connections: 1, Setups: 4, Retries: 2, Probes: 100}
	}
	return account.QuotaLease{HalfEpoch: halfEpoch, Allocated: paths, EvenShares: evenShares, HolderCount: 1}
}

// admit asks for n transactions and tells how many were taken, and which level was full.
func admit(l *Limiter, now time.Duration, retry bool, n int) (taken int, full string) {
	for range n {
		ok, over := l.Admit(now, testRoute, retry)
		if ok {
			taken++
		} else {
			full = over
		}
	}
	return taken, full
}

func TestEveryLevelOfARouteLimitsIt(t *testing.T) {
	free := account.Amounts{Connections: -1, Setups: -1, Retries: -1, Probes: -1}
	for _, tt := range []struct {
		name   string
		paths  map[string]account.Amounts
		retry  bool
		taken  int
		full   string
		figure string
	}{
		{"no bound", map[string]account.Amounts{"acme": free, "acme/web": free, "acme/web:r": free}, false, 20, "", ""},
		{"the account's rate", map[string]account.Amounts{"acme": {Connections: -1, Setups: 3, Retries: -1, Probes: -1}, "acme/web:r": free}, false, 3, "acme", "rate"},
		{"the team's standing", map[string]account.Amounts{"acme": free, "acme/web": {Connections: 4, Setups: 9, Retries: -1, Probes: -1}}, false, 4, "acme/web", "open"},
		{"the route's retries", map[string]account.Amounts{"acme/web:r": {Connections: -1, Setups: -1, Retries: 2, Probes: -1}}, true, 2, "acme/web:r", "retries"},
		{"none of them a retry", map[string]account.Amounts{"acme/web:r": {Connections: -1, Setups: -1, Retries: 2, Probes: -1}}, false, 20, "", ""},
		{"no probes", map[string]account.Amounts{"acme": {Connections: -1, Setups: -1, Retries: -1}}, false, 0, "acme", "probes"},
		{"nothing is allowed", map[string]account.Amounts{"acme": free, "acme/web": {}}, false, 0, "acme/web", "open"},
		{"the highest is named", map[string]account.Amounts{"acme": {Connections: -1, Probes: -1}, "acme/web": {}}, false, 0, "acme", "rate"},
	} {
		l, now := newTestLimiter(t)
		l.SetLease(newTestLease(100, tt.paths), now)
		taken, full := admit(l, now, tt.retry, 20)
		if taken != tt.taken || full != tt.full {
			t.Errorf("%s: %d taken, then %q is full; want %d and %q", tt.name, taken, full, tt.taken, tt.full)
		}
		want := map[Rejection]uint64{}
		if full != "" {
			want[Rejection{"acme", tt.full, tt.figure}] = uint64(20 - tt.taken)
		}
		if got := l.Rejections(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: %v refused, want %v", tt.name, got, want)
		}
	}
}

// Tokens are of their half. Before new ones come a node goes by its even part, and what it
// has used counts then; what may stand is as dealt until the hold is over.
func TestLeasesExpireWithTheirHalfEpoch(t *testing.T) {
	l, now := newTestLimiter(t)
	if taken, _ := admit(l, now, false, 5); taken != 5 {
		t.Errorf("%d of 5 taken before anything was dealt", taken)
	}
	for range 5 {
		l.ConnectionClosed(testRoute)
	}
	accountLimits := func(open, rate float64) map[string]account.Amounts {
		return map[string]account.Amounts{"acme": {Connections: open, Setups: rate, Retries: -1, Probes: -1}}
	}
	admits := func(what string, attempts, want int) {
		t.Helper()
		if taken, _ := admit(l, now, false, attempts); taken != want {
			t.Errorf("%s: %d of %d taken, want %d", what, taken, attempts, want)
		}
	}
	l.SetLease(newTestLease(100, accountLimits(9, 7)), now)
	admits("five are used of seven", 9, 2)
	l.SetLease(newTestLease(99, accountLimits(9, 99)), now)
	admits("an older half's rights", 9, 0)
	now += 500 * time.Millisecond
	admits("a half without its rights: four a second", 9, 2)
	l.SetLease(newTestLease(101, accountLimits(9, 3)), now)
	admits("what was used counts", 9, 1)
	if u := l.Usage(now); u.HalfEpoch != 101 || u.Used["acme"] != (account.Amounts{Connections: 5, Setups: 3}) || u.UsedBefore["acme"].Setups != 7 || u.Demand["acme"].Setups != 7+7+9 {
		t.Errorf("told: %+v", u)
	}
	now += 2 * time.Second
	admits("within the hold four more may stand, two tokens each half", 9, 2)
	now += time.Second
	admits("the even part: one may stand", 9, 0)
	for range 7 {
		l.ConnectionClosed(testRoute)
	}
	admits("and nothing does", 9, 1)
	l.ConnectionClosed(testRoute)
	l.ConnectionClosed(testRoute) // once too often takes nothing from anyone
	l.RecordAttempts(now, testRoute, 0, 0, 2)
	now += time.Second
	if u := l.Usage(now); len(u.Used)+len(u.UsedBefore)+len(u.Demand) != 0 || len(l.usage) != 0 {
		t.Errorf("told when nothing stands: %+v, %d paths kept", u, len(l.usage))
	}
}

// All members' even parts together stay within the limit: half of an epoch's tokens and
// one, and never more standing.
func TestEvenSharesTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holderCount := rapid.IntRange(1, 40).Draw(t, "members")
		limit := float64(rapid.IntRange(0, 100_000).Draw(t, "limit")) / 1000
		first := rapid.Int64Range(0, 1<<40).Draw(t, "half")
		rate, all, connections := 0.0, 0.0, 0.0
		for halfEpoch := first; halfEpoch < first+20; halfEpoch++ {
			rate, connections = 0, 0
			for rank := range holderCount {
				l, _ := newTestLimiter(t)
				l.halfEpoch = halfEpoch
				l.lease = account.QuotaLease{HolderRank: rank, HolderCount: holderCount}
				rate += l.evenShare("acme", 1, limit/float64(holderCount))
				connections += l.evenShare("acme", 0, limit/float64(holderCount))
			}
			if all += rate; rate > limit/2+1 || connections > limit {
				t.Fatalf("half %d: %v set-ups of %v a second, %v standing", halfEpoch, rate, limit, connections)
			}
		}
		if all < 10*limit-float64(holderCount)-1 {
			t.Fatalf("%v in ten seconds, of %v a second", all, limit)
		}
	})
}

// What a contract's regions have no room for is refused evenly.
func TestRejectsAContractsExcessEvenly(t *testing.T) {
	l, now := newTestLimiter(t)
	r := *testRoute
	r.Contract, r.RejectedShare = "gold", 0.25
	for i := range 20 {
		if ok, over := l.Admit(now, &r, false); ok == (i%4 == 3) || !ok && over != "gold" {
			t.Errorf("transaction %d: %v, over %q", i, ok, over)
		}
	}
}
