package balance

import (
	"fmt"
	"testing"
	"time"
)

// newSlowStartDriver returns a driver with a cold server, "new", and three warm ones, and the start time of
// the cold server.
func newSlowStartDriver(t *testing.T) (*driver, time.Duration) {
	settings := testSettings()
	settings.Instances = 5
	d := newDriver(t, settings)
	startedAt := d.now
	entries := readyEntries("a", "b", "c")
	d.updateList(ListFull, append(entries, ServerEntry{ID: "new", StartedAt: startedAt})...)
	return d, startedAt
}

// countColdPlacements sends n requests, with a load of 0 on all servers, and counts those that were sent to
// the cold server.
func (d *driver) countColdPlacements(n int) (placed int) {
	for range n {
		d.now += 5 * ms
		if _, server := d.placeRequest(fmt.Sprint("r", d.now), nil); server == "new" {
			placed++
		}
	}
	return placed
}

func TestColdServerIsLimitedToQuotaTokens(t *testing.T) {
	// grantTokens grants a lease for one minute with tokens for the process of the cold server that started
	// at startedAt.
	grantTokens := func(d *driver, period int64, startedAt time.Duration, tokens int) {
		d.handle(QuotaLease{
			Period:         period,
			TokensExpireAt: d.now + time.Minute,
			LeaseDuration:  time.Minute,
			Servers:        []ServerQuota{{"new", startedAt, tokens}},
		})
	}
	grantNoTokens := func(d *driver, period int64) {
		d.handle(QuotaLease{Period: period, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute})
	}
	for _, tt := range []struct {
		name    string
		leases  func(d *driver, startedAt time.Duration)
		minimum int
		maximum int
	}{
		{"no lease: own estimate applies", func(*driver, time.Duration) {}, 1, 400},
		{"three tokens", func(d *driver, startedAt time.Duration) { grantTokens(d, 1, startedAt, 3) }, 3, 3},
		{"none", func(d *driver, _ time.Duration) { grantNoTokens(d, 1) }, 0, 0},
		{"tokens for another process of the server", func(d *driver, startedAt time.Duration) {
			grantTokens(d, 1, startedAt-1, 3)
		}, 0, 0},
		{"expired tokens", func(d *driver, startedAt time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: time.Minute,
				Servers: []ServerQuota{{"new", startedAt, 3}}})
		}, 0, 0},
		{"repeated lease restores no tokens", func(d *driver, startedAt time.Duration) {
			for range 2 {
				grantTokens(d, 1, startedAt, 2)
				d.countColdPlacements(60)
			}
		}, 0, 0},
		{"tokens of the next period", func(d *driver, startedAt time.Duration) {
			grantTokens(d, 0, startedAt, 2)
			d.countColdPlacements(60)
			grantTokens(d, 1, startedAt, 2)
		}, 2, 2},
		{"late lease of an earlier period", func(d *driver, startedAt time.Duration) {
			grantNoTokens(d, 2)
			grantTokens(d, 1, startedAt, 9)
		}, 0, 0},
		{"lease has ended: own estimate applies again", func(d *driver, _ time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: 5 * ms})
			d.now += 5 * ms
		}, 1, 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, startedAt := newSlowStartDriver(t)
			tt.leases(d, startedAt)
			if got := d.countColdPlacements(80); got < tt.minimum || got > tt.maximum {
				t.Errorf("the cold server received %d requests, want %d to %d", got, tt.minimum, tt.maximum)
			}
		})
	}
}

func TestRetryBudgetOfQuotaLease(t *testing.T) {
	for _, tt := range []struct {
		retryBudget float64
		want        int // attempts
	}{{0, 1}, {0.9, 1}, {1, 2}, {2, 3}} {
		d := newDriver(t, testSettings(), "a", "b", "c", "d")
		d.handle(QuotaLease{Period: 1, LeaseDuration: time.Minute, RetryBudget: tt.retryBudget})
		_, server := d.placeRequest("r", nil)
		attempts, rejections := 1, 0
		for rejections == 0 && attempts < 4 {
			actions := d.answerProbes(d.endAttempt(attempts-1, server, AtCapacity), 0)
			rejections = len(actionsOf[Reject](actions))
			for _, a := range actionsOf[Attempt](actions) {
				attempts, server = attempts+1, a.Server
			}
			if len(actions) == 0 {
				d.runFor(100 * ms)
			}
		}
		if attempts != tt.want || rejections != 1 {
			t.Errorf("retry budget of %.1f: %d attempts and %d rejections, want %d and 1",
				tt.retryBudget, attempts, rejections, tt.want)
		}
	}
}

// The faults that an ejection by the fleet adds to a server must not be reported to peers as observations of
// this instance. Otherwise instances would pass on each other's reports as their own indefinitely.
func TestEjectionIsNotReportedAsOwnObservation(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c", "d")
	d.handle(QuotaLease{Period: 1, LeaseDuration: time.Minute, EjectedServers: []string{"b", "nobody"}})
	if n := d.balancer.AvoidedServers(); n != 1 {
		t.Errorf("%d servers avoided, want only the ejected one", n)
	}
	for _, s := range d.balancer.QuotaUsage(d.now).Servers {
		if s.RecentFailures != 0 {
			t.Errorf("%s: %.1f failures are reported as own observations, want none", s.ID, s.RecentFailures)
		}
	}
	d.balancer.recordFault(d.balancer.servers.byID["c"])
	for _, s := range d.balancer.QuotaUsage(d.now).Servers {
		if (s.RecentFailures > 0) != (s.ID == "c") {
			t.Errorf("%s: %.1f failures are reported, want some only for c", s.ID, s.RecentFailures)
		}
	}
}
