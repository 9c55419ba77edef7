package balance

import (
	"fmt"
	"testing"
	"time"
)

// granted returns a bench with one cold server among warm ones, all of them nearly empty.
func newColdDriver(t *testing.T) (*driver, time.Duration) {
	set := testSettings()
	set.Instances = 5
	d := newDriver(t, set)
	cold := d.now
	list := readyEntries("a", "b", "c")
	d.updateList(ListFull, append(list, ServerEntry{ID: "new", StartedAt: cold})...)
	return d, cold
}

// toCold sends n requests and counts those that the cold server got.
func (d *driver) countPlacedOnCold(n int) (sent int) {
	for range n {
		d.now += 5 * ms
		d.t.Helper()
		id := fmt.Sprint("r", d.now)
		if _, at := placeRequest(d, id, map[string]float64{}); at == "new" {
			sent++
		}
	}
	return sent
}

func TestColdServerIsLimitedToQuotaTokens(t *testing.T) {
	for _, tt := range []struct {
		name   string
		grants func(d *driver, cold time.Duration)
		least  int
		most   int
	}{
		{"no word: by this instance's own reckoning", func(*driver, time.Duration) {}, 1, 400},
		{"three tokens", func(d *driver, cold time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 3}}})
		}, 3, 3},
		{"none", func(d *driver, _ time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute})
		}, 0, 0},
		{"for another process of it", func(d *driver, cold time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold - 1, 3}}})
		}, 0, 0},
		{"void by now", func(d *driver, cold time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 3}}})
		}, 0, 0},
		{"said twice is not more", func(d *driver, cold time.Duration) {
			for range 2 {
				d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 2}}})
				d.countPlacedOnCold(60)
			}
		}, 0, 0},
		{"the next half's", func(d *driver, cold time.Duration) {
			for half := range int64(2) {
				d.handle(QuotaLease{Period: half, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 2}}})
				if half == 0 {
					d.countPlacedOnCold(60)
				}
			}
		}, 2, 2},
		{"an older half's come late", func(d *driver, cold time.Duration) {
			d.handle(QuotaLease{Period: 2, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute})
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 9}}})
		}, 0, 0},
		{"the agent is gone: by its own again", func(d *driver, _ time.Duration) {
			d.handle(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: 5 * ms})
			d.now += 5 * ms
		}, 1, 400},
	} {
		d, cold := newColdDriver(t)
		tt.grants(d, cold)
		if got := d.countPlacedOnCold(80); got < tt.least || got > tt.most {
			t.Errorf("%s: the cold server got %d, want %d to %d", tt.name, got, tt.least, tt.most)
		}
	}
}

func TestRetryBudgetOfQuotaLease(t *testing.T) {
	for _, tt := range []struct {
		retries float64
		want    int // attempts
	}{{0, 1}, {0.9, 1}, {1, 2}, {2, 3}} {
		d := newDriver(t, testSettings(), "a", "b", "c", "d")
		d.handle(QuotaLease{Period: 1, LeaseDuration: time.Minute, RetryBudget: tt.retries})
		_, at := placeRequest(d, "r", map[string]float64{})
		attempts, refused := 1, 0
		for refused == 0 && attempts < 4 {
			actions := d.handle(AttemptEnded{ID: "r", Attempt: attempts - 1, Server: at, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
			for len(actionsOf[Probe](actions)) > 0 {
				actions = d.answerProbe(actionsOf[Probe](actions)[0].Server, 0)
			}
			refused = len(actionsOf[Reject](actions))
			for _, a := range actionsOf[Attempt](actions) {
				attempts, at = attempts+1, a.Server
			}
			if len(actions) == 0 {
				actions = d.runUntil(d.now + 100*ms)
			}
		}
		if attempts != tt.want || refused != 1 {
			t.Errorf("%.1f retries: %d attempts and %d refusals, want %d and 1 at once", tt.retries, attempts, refused, tt.want)
		}
	}
}

// What a verdict holds against a server is no evidence of this instance's own: else each
// would pass its peers' word on as its own for good.
func TestEjectionIsNotReportedAsOwnObservation(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c", "d")
	d.handle(QuotaLease{Period: 1, LeaseDuration: time.Minute, EjectedServers: []string{"b", "nobody"}})
	if n := d.balancer.AvoidedServers(); n != 1 {
		t.Errorf("%d servers avoided, want the shunned one", n)
	}
	for _, s := range d.balancer.QuotaUsage(d.now).Servers {
		if s.RecentFailures != 0 {
			t.Errorf("%s: %.1f failures of its own are told, want none", s.ID, s.RecentFailures)
		}
	}
	d.balancer.recordFault(d.balancer.servers.byID["c"])
	for _, s := range d.balancer.QuotaUsage(d.now).Servers {
		if (s.RecentFailures > 0) != (s.ID == "c") {
			t.Errorf("%s: %.1f failures told", s.ID, s.RecentFailures)
		}
	}
}
