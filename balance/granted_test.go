package balance

import (
	"fmt"
	"testing"
	"time"
)

// granted returns a bench with one cold server among warm ones, all of them nearly empty.
func granted(t *testing.T) (*bench, time.Duration) {
	set := settings()
	set.Instances = 5
	d := newBench(t, set)
	cold := d.now
	list := entries("a", "b", "c")
	d.list(ListFull, append(list, ServerEntry{ID: "new", StartedAt: cold})...)
	return d, cold
}

// toCold sends n requests and counts those that the cold server got.
func (d *bench) toCold(n int) (sent int) {
	for range n {
		d.now += 5 * ms
		d.t.Helper()
		id := fmt.Sprint("r", d.now)
		if _, at := drawsUntilPlaced(d, id, map[string]float64{}); at == "new" {
			sent++
		}
	}
	return sent
}

func TestColdServersGetTheFleetsTokens(t *testing.T) {
	for _, tt := range []struct {
		name   string
		grants func(d *bench, cold time.Duration)
		least  int
		most   int
	}{
		{"no word: by this instance's own reckoning", func(*bench, time.Duration) {}, 1, 400},
		{"three tokens", func(d *bench, cold time.Duration) {
			d.tell(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 3}}})
		}, 3, 3},
		{"none", func(d *bench, _ time.Duration) {
			d.tell(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute})
		}, 0, 0},
		{"for another process of it", func(d *bench, cold time.Duration) {
			d.tell(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold - 1, 3}}})
		}, 0, 0},
		{"void by now", func(d *bench, cold time.Duration) {
			d.tell(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 3}}})
		}, 0, 0},
		{"said twice is not more", func(d *bench, cold time.Duration) {
			for range 2 {
				d.tell(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 2}}})
				d.toCold(60)
			}
		}, 0, 0},
		{"the next half's", func(d *bench, cold time.Duration) {
			for half := range int64(2) {
				d.tell(QuotaLease{Period: half, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 2}}})
				if half == 0 {
					d.toCold(60)
				}
			}
		}, 2, 2},
		{"an older half's come late", func(d *bench, cold time.Duration) {
			d.tell(QuotaLease{Period: 2, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute})
			d.tell(QuotaLease{Period: 1, TokensExpireAt: d.now + time.Minute, LeaseDuration: time.Minute, Servers: []ServerQuota{{"new", cold, 9}}})
		}, 0, 0},
		{"the agent is gone: by its own again", func(d *bench, _ time.Duration) {
			d.tell(QuotaLease{Period: 1, TokensExpireAt: d.now, LeaseDuration: 5 * ms})
			d.now += 5 * ms
		}, 1, 400},
	} {
		d, cold := granted(t)
		tt.grants(d, cold)
		if got := d.toCold(80); got < tt.least || got > tt.most {
			t.Errorf("%s: the cold server got %d, want %d to %d", tt.name, got, tt.least, tt.most)
		}
	}
}

func TestRetriesAreTheFleets(t *testing.T) {
	for _, tt := range []struct {
		retries float64
		want    int // attempts
	}{{0, 1}, {0.9, 1}, {1, 2}, {2, 3}} {
		d := newBench(t, settings(), "a", "b", "c", "d")
		d.tell(QuotaLease{Period: 1, LeaseDuration: time.Minute, RetryBudget: tt.retries})
		_, at := drawsUntilPlaced(d, "r", map[string]float64{})
		attempts, refused := 1, 0
		for refused == 0 && attempts < 4 {
			actions := d.tell(AttemptEnded{ID: "r", Attempt: attempts - 1, Server: at, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
			for len(pick[Probe](actions)) > 0 {
				actions = d.answer(pick[Probe](actions)[0].Server, 0)
			}
			refused = len(pick[Reject](actions))
			for _, a := range pick[Attempt](actions) {
				attempts, at = attempts+1, a.Server
			}
			if len(actions) == 0 {
				actions = d.run(d.now + 100*ms)
			}
		}
		if attempts != tt.want || refused != 1 {
			t.Errorf("%.1f retries: %d attempts and %d refusals, want %d and 1 at once", tt.retries, attempts, refused, tt.want)
		}
	}
}

// What a verdict holds against a server is no evidence of this instance's own: else each
// would pass its peers' word on as its own for good.
func TestVerdictsAreNotPassedOn(t *testing.T) {
	d := newBench(t, settings(), "a", "b", "c", "d")
	d.tell(QuotaLease{Period: 1, LeaseDuration: time.Minute, EjectedServers: []string{"b", "nobody"}})
	if n := d.b.AvoidedServers(); n != 1 {
		t.Errorf("%d servers avoided, want the shunned one", n)
	}
	for _, s := range d.b.QuotaUsage(d.now).Servers {
		if s.RecentFailures != 0 {
			t.Errorf("%s: %.1f failures of its own are told, want none", s.ID, s.RecentFailures)
		}
	}
	d.b.recordFault(d.b.servers["c"])
	for _, s := range d.b.QuotaUsage(d.now).Servers {
		if (s.RecentFailures > 0) != (s.ID == "c") {
			t.Errorf("%s: %.1f failures told", s.ID, s.RecentFailures)
		}
	}
}
