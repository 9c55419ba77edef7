package balance

import (
	"fmt"
	"testing"
	"time"
)

// newSlowStartDriver returns a driver with one cold server, new, among warm ones, all of them nearly
// empty, and when the cold one started.
func newSlowStartDriver(t *testing.T) (*driver, time.Duration) {
	settings := testSettings()
	settings.Instances = 5
	d := newDriver(t, settings)
	startedAt := d.now
	list := readyEntries("a", "b", "c")
	d.updateList(ListFull, append(list, ServerEntry{ID: "new", StartedAt: startedAt})...)
	return d, startedAt
}

// countPlacedOnNew sends n requests and counts those that the cold server got.
func (d *driver) countPlacedOnNew(n int) (placed int) {
	for range n {
		d.now += 5 * ms
		if _, server := d.placeRequest(fmt.Sprint("r", d.now), nil); server == "new" {
			placed++
		}
	}
	return placed
}

func TestColdServerIsLimitedToQuotaTokens(t *testing.T) {
	// lease hands over a lease for a minute with tokens for a process of the cold server.
	lease := func(d *driver, period int64, startedAt time.Duration, tokens int) {
		d.handle(QuotaLease{
			Period:         period,
			TokensExpireAt: d.now + time.Minute,
			LeaseDuration:  time.Minute,
			Servers:        []ServerQuota{{"new", startedAt, tokens}},
		})
	}
	leaseNothing := func(d *driver, period int64) {
		d.handle(QuotaLease{Period: period, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute})
	}
	for _, tt := range []struct {
		name   string
		leases func(d *driver, startedAt time.Duration)
		least  int
		most   int
	}{
		{"no lease: by this instance's own estimate", func(*driver, time.Duration) {}, 1, 400},
		{"three tokens", func(d *driver, startedAt time.Duration) { lease(d, 1, startedAt, 3) }, 3, 3},
		{"none", func(d *driver, _ time.Duration) { leaseNothing(d, 1) }, 0, 0},
		{"for another process of it", func(d *driver, startedAt time.Duration) { lease(d, 1, startedAt-1, 3) }, 0, 0},
		{"expired tokens", func(d *driver, startedAt time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: time.Minute,
				Servers: []ServerQuota{{"new", startedAt, 3}}})
		}, 0, 0},
		{"a repeated lease is not more", func(d *driver, startedAt time.Duration) {
			for range 2 {
				lease(d, 1, startedAt, 2)
				d.countPlacedOnNew(60)
			}
		}, 0, 0},
		{"the next period's", func(d *driver, startedAt time.Duration) {
			lease(d, 0, startedAt, 2)
			d.countPlacedOnNew(60)
			lease(d, 1, startedAt, 2)
		}, 2, 2},
		{"an older period's come late", func(d *driver, startedAt time.Duration) {
			leaseNothing(d, 2)
			lease(d, 1, startedAt, 9)
		}, 0, 0},
		{"the agent is gone: by its own estimate again", func(d *driver, _ time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: 5 * ms})
			d.now += 5 * ms
		}, 1, 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, startedAt := newSlowStartDriver(t)
			tt.leases(d, startedAt)
			if got := d.countPlacedOnNew(80); got < tt.least || got > tt.most {
				t.Errorf("the cold server got %d, want %d to %d", got, tt.least, tt.most)
			}
		})
	}
}

func TestRetryBudgetOfQuotaLease(t *testing.T) {
	for _, tt := range []struct {
		retries float64
		want    int // attempts
	}{{0, 1}, {0.9, 1}, {1, 2}, {2, 3}} {
		d := newDriver(t, testSettings(), "a", "b", "c", "d")
		d.handle(QuotaLease{Period: 1, LeaseDuration: time.Minute, RetryBudget: tt.retries})
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
			t.Errorf("%.1f retries: %d attempts and %d rejections, want %d and 1 at once",
				tt.retries, attempts, rejections, tt.want)
		}
	}
}

// What an ejection holds against a server is no observation of this instance's own: else each
// would pass its peers' reports on as its own for good.
func TestEjectionIsNotReportedAsOwnObservation(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c", "d")
	d.handle(QuotaLease{Period: 1, LeaseDuration: time.Minute, EjectedServers: []string{"b", "nobody"}})
	if n := d.balancer.AvoidedServers(); n != 1 {
		t.Errorf("%d servers avoided, want the ejected one", n)
	}
	for _, s := range d.balancer.QuotaUsage(d.now).Servers {
		if s.RecentFailures != 0 {
			t.Errorf("%s: %.1f failures of its own are reported, want none", s.ID, s.RecentFailures)
		}
	}
	d.balancer.recordFault(d.balancer.servers.byID["c"])
	for _, s := range d.balancer.QuotaUsage(d.now).Servers {
		if (s.RecentFailures > 0) != (s.ID == "c") {
			t.Errorf("%s: %.1f failures reported", s.ID, s.RecentFailures)
		}
	}
}
