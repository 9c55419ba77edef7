package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coralrelay/internal/fleet/account"
)

var testRoute = &Route{Path: "acme/web:r", Account: "acme", Levels: []string{"acme", "acme/web", "acme/web:r"}}

// newTestLimiter returns a Limiter with an epoch of one second, and a time in its half epoch 100.
func newTestLimiter(t interface{ Fatal(...any) }) (*Limiter, time.Duration) {
	l, err := NewLimiter(account.LeaseConfig{Epoch: time.Second, HolderTimeout: 3 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return l, 50 * time.Second
}

// newTestLease returns a lease of amounts by path, with small even shares for the same paths.
func newTestLease(halfEpoch int64, paths map[string]account.Amounts) account.QuotaLease {
	evenShares := map[string]account.Amounts{}
	for path := range paths {
		evenShares[path] = account.Amounts{Connections: 1, Setups: 4, Retries: 2, Probes: 100}
	}
	return account.QuotaLease{HalfEpoch: halfEpoch, Allocated: paths, EvenShares: evenShares, HolderCount: 1}
}

// admit submits sessions to the limiter. It returns how many are admitted, and which level was full.
func admit(l *Limiter, now time.Duration, retry bool, sessions int) (admitted int, fullPath string) {
	for range sessions {
		ok, full := l.Admit(now, testRoute, retry)
		if ok {
			admitted++
		} else {
			fullPath = full
		}
	}
	return admitted, fullPath
}

func TestEveryLevelOfARouteLimitsIt(t *testing.T) {
	const sessions = 20
	type amountsByPath = map[string]account.Amounts
	free := account.Amounts{Connections: -1, Setups: -1, Retries: -1, Probes: -1}
	fewSetups := account.Amounts{Connections: -1, Setups: 3, Retries: -1, Probes: -1}
	fewConnections := account.Amounts{Connections: 4, Setups: 9, Retries: -1, Probes: -1}
	fewRetries := account.Amounts{Connections: -1, Setups: -1, Retries: 2, Probes: -1}
	noProbes := account.Amounts{Connections: -1, Setups: -1, Retries: -1}
	noSetups := account.Amounts{Connections: -1, Probes: -1}
	for _, tt := range []struct {
		name         string
		allocated    amountsByPath
		retry        bool
		wantAdmitted int
		wantFull     string
		wantResource string
	}{
		{"no limit", amountsByPath{"acme": free, "acme/web": free, "acme/web:r": free}, false, sessions, "", ""},
		{"the account's set-ups", amountsByPath{"acme": fewSetups, "acme/web:r": free}, false, 3, "acme", "rate"},
		{"the team's connections", amountsByPath{"acme": free, "acme/web": fewConnections}, false, 4, "acme/web", "open"},
		{"the route's retries", amountsByPath{"acme/web:r": fewRetries}, true, 2, "acme/web:r", "retries"},
		{"not a retry", amountsByPath{"acme/web:r": fewRetries}, false, sessions, "", ""},
		{"no probes", amountsByPath{"acme": noProbes}, false, 0, "acme", "probes"},
		{"no capacity at all", amountsByPath{"acme": free, "acme/web": {}}, false, 0, "acme/web", "open"},
		{"highest level is returned", amountsByPath{"acme": noSetups, "acme/web": {}}, false, 0, "acme", "rate"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, now := newTestLimiter(t)
			l.SetLease(newTestLease(100, tt.allocated), now)
			admitted, full := admit(l, now, tt.retry, sessions)
			if admitted != tt.wantAdmitted || full != tt.wantFull {
				t.Errorf("%d admitted, then %q is full; want %d and %q", admitted, full, tt.wantAdmitted, tt.wantFull)
			}
			want := map[Rejection]uint64{}
			if full != "" {
				want[Rejection{"acme", tt.wantFull, tt.wantResource}] = uint64(sessions - tt.wantAdmitted)
			}
			if got := l.Rejections(); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%v rejected, want %v", got, want)
			}
		})
	}
}

// Tokens expire with their half epoch. Until the lease of a half epoch arrives, the node uses its even
// share, and that usage counts against the lease. Connections follow the last lease until HolderTimeout has
// passed.
func TestLeasesExpireWithTheirHalfEpoch(t *testing.T) {
	l, now := newTestLimiter(t)
	admits := func(what string, sessions, want int) {
		t.Helper()
		if admitted, _ := admit(l, now, false, sessions); admitted != want {
			t.Errorf("%s: %d of %d admitted, want %d", what, admitted, sessions, want)
		}
	}
	accountLease := func(halfEpoch int64, connections, setups float64) account.QuotaLease {
		amounts := account.Amounts{Connections: connections, Setups: setups, Retries: -1, Probes: -1}
		return newTestLease(halfEpoch, map[string]account.Amounts{"acme": amounts})
	}
	closeConnections := func(count int) {
		for range count {
			l.ConnectionClosed(testRoute)
		}
	}
	admits("before any lease", 5, 5)
	closeConnections(5)
	l.SetLease(accountLease(100, 9, 7), now)
	admits("five of seven tokens are used", 9, 2)
	l.SetLease(accountLease(99, 9, 99), now)
	admits("the lease of an earlier half epoch is ignored", 9, 0)
	now += 500 * time.Millisecond
	admits("a half epoch without a lease: four a second", 9, 2)
	l.SetLease(accountLease(101, 9, 3), now)
	admits("earlier usage counts against the lease", 9, 1)
	usage := l.Usage(now)
	if usage.HalfEpoch != 101 || usage.Used["acme"] != (account.Amounts{Connections: 5, Setups: 3}) ||
		usage.UsedBefore["acme"].Setups != 7 || usage.Demand["acme"].Setups != 7+7+9 {
		t.Errorf("wrong report: %+v", usage)
	}
	now += 2 * time.Second
	admits("before HolderTimeout: four more connections, two tokens in each half epoch", 9, 2)
	now += time.Second
	admits("after HolderTimeout: an even share of one connection", 9, 0)
	closeConnections(7)
	admits("the even share without open connections", 9, 1)
	closeConnections(2) // one more than are open: the count must not become negative
	l.RecordAttempts(now, testRoute, 0, 0, 2)
	now += time.Second
	usage = l.Usage(now)
	if len(usage.Used)+len(usage.UsedBefore)+len(usage.Demand) != 0 || len(l.usage) != 0 {
		t.Errorf("report without usage: %+v, %d paths kept", usage, len(l.usage))
	}
}

// The sum of all members' even shares is within the limit: at most half of the tokens of an epoch plus one
// in a half epoch, and at most the limit of connections.
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
				rate += l.evenShare("acme", resourceSetups, limit/float64(holderCount))
				connections += l.evenShare("acme", resourceConnections, limit/float64(holderCount))
			}
			if all += rate; rate > limit/2+1 || connections > limit {
				t.Fatalf("half epoch %d: %v set-ups of %v/s, %v connections", halfEpoch, rate, limit, connections)
			}
		}
		if all < 10*limit-float64(holderCount)-1 {
			t.Fatalf("%v set-ups in ten seconds with a limit of %v a second", all, limit)
		}
	})
}

// The sessions for which a contract's regions have no capacity are rejected at even intervals.
func TestRejectsAContractsExcessEvenly(t *testing.T) {
	l, now := newTestLimiter(t)
	route := *testRoute
	route.Contract, route.RejectedShare = "gold", 0.25
	for i := range 20 {
		want := i%4 != 3
		ok, full := l.Admit(now, &route, false)
		if ok != want || !ok && full != "gold" {
			t.Errorf("session %d: admitted %v, full %q", i, ok, full)
		}
	}
}
