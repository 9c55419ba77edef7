package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// zones returns a bench with a server in each of the zones a to d, all nearly empty.
func newZoneDriver(t *testing.T, set Settings) *driver {
	d := newDriver(t, set)
	var list []ServerEntry
	for _, z := range []string{"a", "b", "c", "d"} {
		list = append(list, ServerEntry{ID: z + "1", Zone: z})
	}
	d.updateList(ListFull, list...)
	return d
}

// only is a bound to some zones.
func onlyZones(zones ...string) *ZoneConstraint {
	q := &ZoneConstraint{Name: "route"}
	for _, z := range zones {
		q.Zones = append(q.Zones, ZoneShare{z, 1})
	}
	return q
}

// place tells of a request and answers all probes, and returns where it was sent; "" and
// the actions if it was not.
func (d *driver) place(q Request) (string, []Action) {
	d.now += 5 * ms
	q.ID, q.Class, q.Deadline = fmt.Sprint("r", d.now), "c", d.now+2*time.Second
	actions := d.handle(q)
	for len(actionsOf[Probe](actions)) > 0 {
		actions = d.answerProbe(actionsOf[Probe](actions)[0].Server, 0.01)
	}
	if sent := actionsOf[Attempt](actions); len(sent) > 0 {
		return sent[0].Server, nil
	}
	return "", actions
}

// spread places n requests and tells how many each server got, and "" how many were
// refused at once with a pause.
func (d *driver) placeMany(q Request, n int) map[string]int {
	d.t.Helper()
	got := map[string]int{}
	for range n {
		at, actions := d.place(q)
		if got[at]++; at == "" {
			if refused := actionsOf[Reject](actions); len(refused) != 1 || refused[0].RetryAfter == 0 {
				d.t.Fatalf("%v, want one refusal with a pause", actions)
			}
		}
	}
	return got
}

func (d *driver) leaseQuota(g QuotaLease) []Action {
	g.Period, g.LeaseDuration, g.TokensExpireAt = max(g.Period, 1), time.Minute, d.now+time.Minute
	return d.handle(g)
}

func TestZoneQuotasAndRequestConstraints(t *testing.T) {
	even := map[string]float64{"a1": 0.25, "b1": 0.25, "c1": 0.25, "d1": 0.25}
	nan := math.NaN()
	for _, tt := range []struct {
		name  string
		zones []ZoneQuota
		over  float64
		bound *ZoneConstraint
		want  map[string]float64
	}{
		{"none", nil, 0, nil, even},
		{"a zone left", []ZoneQuota{{"a", 0, -1}}, 0, nil, map[string]float64{"b1": 1. / 3, "c1": 1. / 3, "d1": 1. / 3}},
		{"a third of a zone", []ZoneQuota{{"a", 1. / 3, -1}}, 0, nil, map[string]float64{"a1": 0.1, "b1": 0.3, "c1": 0.3, "d1": 0.3}},
		{"all zones left", []ZoneQuota{{"a", 0, -1}, {"b", 0, -1}, {"c", 0, -1}, {"d", 0, -1}}, 0, nil, map[string]float64{"": 1}},
		{"a fourth over", nil, 0.25, nil, map[string]float64{"": 0.25, "a1": 0.19, "b1": 0.19, "c1": 0.19, "d1": 0.19}},
		{"a route to one zone", nil, 0, onlyZones("c"), map[string]float64{"c1": 1}},
		{"a canary", nil, 0, &ZoneConstraint{Zones: []ZoneShare{{"a", 0.1}, {"b", 0.9}}}, map[string]float64{"a1": 0.1, "b1": 0.9}},
		{"a route to no zone that is there", nil, 0, onlyZones("x"), map[string]float64{"": 1}},
		{"the rest in part", nil, 0, &ZoneConstraint{Zones: []ZoneShare{{"a", 1}}, DefaultShare: 1. / 3}, map[string]float64{"a1": 0.5, "b1": 1. / 6, "c1": 1. / 6, "d1": 1. / 6}},
		{"bad numbers of a route", nil, 0, &ZoneConstraint{Zones: []ZoneShare{{"a", nan}, {"b", -1}, {"c", 7}}, DefaultShare: math.Inf(1)}, map[string]float64{"c1": 0.5, "d1": 0.5}},
		{"bad numbers of the fleet", []ZoneQuota{{"a", nan, -1}, {"b", -3, -1}, {"c", 9, -1}}, nan, nil, map[string]float64{"c1": 0.5, "d1": 0.5}},
		{"posture before route", []ZoneQuota{{"c", 0, -1}}, 0, onlyZones("c"), map[string]float64{"": 1}},
		{"route within posture", []ZoneQuota{{"c", 1, -1}}, 0, onlyZones("b"), map[string]float64{"b1": 1}},
		{"posture in part and route", []ZoneQuota{{"c", 0.25, -1}}, 0, onlyZones("c", "d"), map[string]float64{"c1": 0.2, "d1": 0.8}},
	} {
		d := newZoneDriver(t, testSettings())
		d.leaseQuota(QuotaLease{Zones: tt.zones, ShedFraction: tt.over})
		const n = 1000
		got := d.placeMany(Request{Constraint: tt.bound}, n)
		for _, at := range []string{"", "a1", "b1", "c1", "d1"} {
			if share := float64(got[at]) / n; math.Abs(share-tt.want[at]) > 0.05 || (share > 0) != (tt.want[at] > 0) {
				t.Errorf("%s: %q got %.3f, want %.3f", tt.name, at, share, tt.want[at])
			}
		}
	}
}

// A zone's tokens are counted over its servers, for one half, and void after it; when the
// fleet is not heard, nothing of it binds.
func TestZoneTokensCountPerPeriod(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	back := func(half int64, tokens int) {
		d.leaseQuota(QuotaLease{Period: half, Zones: []ZoneQuota{{"a", 1, tokens}, {"b", 0, -1}, {"c", 1, 900}}})
	}
	back(1, 3)
	back(1, 3) // said twice is not more
	if got := d.placeMany(Request{}, 100)["a1"]; got != 3 {
		t.Errorf("%d in the first half, want 3", got)
	}
	if got := d.balancer.QuotaUsage(d.now).Zones; len(got) != 2 || got[0] != (ZoneUsage{"a", 3}) || got[1].Zone != "c" {
		t.Errorf("%v is told to be spent", got)
	}
	back(2, 2)
	if got := d.placeMany(Request{}, 100)["a1"]; got != 2 {
		t.Errorf("%d in the second half, want 2", got)
	}
	d.handle(QuotaLease{Period: 3, LeaseDuration: time.Minute, TokensExpireAt: d.now, Zones: []ZoneQuota{{"a", 1, 9}}})
	if got := d.placeMany(Request{}, 100)["a1"]; got != 0 {
		t.Errorf("%d by tokens that are void, want 0", got)
	}
	d.now += time.Minute
	if got := d.placeMany(Request{}, 100); got["a1"] == 0 || got["b1"] == 0 {
		t.Errorf("%v where the fleet is not heard, want all", got)
	}
}

// Only what is new is over.
func TestShedsFirstArrivalsOnly(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	d.leaseQuota(QuotaLease{ShedFraction: 1})
	for q, want := range map[Request]int{{}: 20, {Reconnecting: true}: 0, {ClientRetry: true}: 0} {
		if got := d.placeMany(q, 20)[""]; got != want {
			t.Errorf("%+v: %d of 20 are refused, want %d", q, got, want)
		}
	}
}

// Rules come before all bounds and cold limits after them, then postures, then routes:
// what comes first is never widened by what comes later. Posture and route are a pair of
// TestBoundsOfZonesAndRequests.
func TestEarlierConstraintIsNeverWidened(t *testing.T) {
	for _, tt := range []struct {
		name  string
		first func(d *driver, g *QuotaLease)
		zones []ZoneQuota
		bound *ZoneConstraint
	}{
		{"drain before posture", drainFirst, []ZoneQuota{{"a", 1, 99}, {"b", 0, -1}, {"c", 0, -1}, {"d", 0, -1}}, nil},
		{"drain before route", drainFirst, nil, onlyZones("a")},
		{"cold before posture", coldFirst, []ZoneQuota{{"a", 1, 99}, {"b", 0, -1}, {"c", 0, -1}, {"d", 0, -1}}, nil},
		{"cold before route", coldFirst, nil, onlyZones("a")},
		{"drain before cold", func(d *driver, g *QuotaLease) {
			drainFirst(d, g)
			g.Servers = []ServerQuota{{"a1", 0, 9}}
		}, nil, onlyZones("a")},
	} {
		d := newZoneDriver(t, testSettings())
		g := QuotaLease{Zones: tt.zones}
		tt.first(d, &g)
		d.leaseQuota(g)
		at, actions := d.place(Request{Constraint: tt.bound})
		if at != "" {
			t.Errorf("%s: sent to %s", tt.name, at)
		}
		if all := append(actions, d.runUntil(d.now+3*time.Second)...); len(actionsOf[Reject](all)) != 1 || len(actionsOf[Attempt](all)) != 0 {
			t.Errorf("%s: %v, want one refusal", tt.name, all)
		}
	}
}

func drainFirst(d *driver, _ *QuotaLease) {
	d.updateList(ListDelta, ServerEntry{ID: "a1", Zone: "a", State: Draining})
}

// cold makes the server cold, without a token.
func coldFirst(d *driver, _ *QuotaLease) {
	d.updateList(ListDelta, ServerEntry{ID: "a1", Zone: "a", StartedAt: d.now})
}

// A repeat that only one zone drops is not carried to another by a route, or because the
// zone is left.
func TestRepeatRulesBeforeConstraints(t *testing.T) {
	set := testSettings()
	set.Classes[0].Idempotency, set.Classes[0].KeyScope, set.Classes[0].KeyWindow = IdempotencyKeyed, ScopeZone, time.Minute
	for _, left := range []bool{true, false} {
		d := newZoneDriver(t, set)
		d.updateList(ListDelta, ServerEntry{ID: "a2", Zone: "a"})
		q := Request{Constraint: onlyZones("a")}
		at, _ := d.place(q)
		id := fmt.Sprint("r", d.now)
		if left {
			d.leaseQuota(QuotaLease{Zones: []ZoneQuota{{"a", 0, -1}}, RetryBudget: 9})
		} else {
			q.Constraint.Zones[0].Share, q.Constraint.DefaultShare = 0, 1
		}
		all := d.handle(AttemptEnded{ID: id, Server: at, Outcome: Errored, LoadReport: EmptyLoadReport})
		if len(actionsOf[Probe](all)) > 0 || len(actionsOf[Fail](all)) != 1 {
			t.Errorf("zone left %v: %v, want a failure at once", left, all)
		}
	}
}

// Whoever waits as the last zone is left is answered then; what stands there stays.
func TestClosedZoneAnswersWaitingRequests(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	standing, _ := d.place(Request{Constraint: onlyZones("a")})
	d.handle(ConnectionEstablished{ID: fmt.Sprint("r", d.now), Server: standing})
	d.handle(Request{ID: "waits", Class: "c", Deadline: d.now + time.Second, Constraint: onlyZones("a")})
	all := d.leaseQuota(QuotaLease{Zones: []ZoneQuota{{"a", 0, -1}}})
	if refused := actionsOf[Reject](all); len(refused) != 1 || refused[0].ID != "waits" || len(actionsOf[Migrate](all)) != 0 {
		t.Errorf("%v, want one refusal and no move", all)
	}
}

// A route whose zone is full answers at once and holds nobody else up.
func TestFullConstrainedZoneIsNotCongestion(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	actions := d.handle(Request{ID: "r", Class: "c", Deadline: d.now + time.Second, Constraint: onlyZones("a")})
	for len(actionsOf[Probe](actions)) > 0 {
		actions = d.answerProbe(actionsOf[Probe](actions)[0].Server, 1.2)
	}
	if len(actionsOf[Reject](actions)) != 1 || d.balancer.admission.backoffEndsAt > d.now || d.balancer.admission.window < maxWindow {
		t.Errorf("%v, paused to %v and a window of %v", actions, d.balancer.admission.backoffEndsAt, d.balancer.admission.window)
	}
}

// within holds an attempt to its request's bound and to the fleet's word.
func (w *randomEvents) checkConstraints(q *ZoneConstraint, zone string) {
	if q != nil && q.shareOf(zone) == 0 {
		w.t.Fatalf("sent into %s, bound by %+v", zone, q)
	}
	if w.driver.now >= w.leaseEndsAt {
		return
	}
	w.zoneAttempts[zone]++
	for _, z := range w.lease.Zones {
		if z.Zone == zone && (z.Share == 0 || z.Tokens >= 0 && w.zoneAttempts[zone] > z.Tokens) {
			w.t.Fatalf("attempt %d in the half into %s, by %+v", w.zoneAttempts[zone], zone, z)
		}
	}
}
