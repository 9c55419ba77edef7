package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestZoneQuotasAndRequestConstraints(t *testing.T) {
	type shares = map[string]float64
	nan := math.NaN()
	third, sixth := 1./3, 1./6
	for _, tt := range []struct {
		name       string
		zones      []ZoneQuota
		shed       float64 // the lease's ShedFraction
		constraint *ZoneConstraint
		want       shares // of the requests, by server; "" for rejected ones
	}{
		{"none", nil, 0, nil, shares{"a1": 0.25, "b1": 0.25, "c1": 0.25, "d1": 0.25}},
		{"one zone closed", closedZones("a"), 0, nil, shares{"b1": third, "c1": third, "d1": third}},
		{"one zone at a third", []ZoneQuota{{"a", third, -1}}, 0, nil,
			shares{"a1": 0.1, "b1": 0.3, "c1": 0.3, "d1": 0.3}},
		{"all zones closed", closedZones("a", "b", "c", "d"), 0, nil, shares{"": 1}},
		{"a quarter shed", nil, 0.25, nil, shares{"": 0.25, "a1": 0.19, "b1": 0.19, "c1": 0.19, "d1": 0.19}},
		{"constraint to one zone", nil, 0, onlyZones("c"), shares{"c1": 1}},
		{"canary constraint", nil, 0, &ZoneConstraint{Zones: []ZoneShare{{"a", 0.1}, {"b", 0.9}}},
			shares{"a1": 0.1, "b1": 0.9}},
		{"constraint to an unknown zone", nil, 0, onlyZones("x"), shares{"": 1}},
		{"default share below 1", nil, 0, &ZoneConstraint{Zones: []ZoneShare{{"a", 1}}, DefaultShare: third},
			shares{"a1": 0.5, "b1": sixth, "c1": sixth, "d1": sixth}},
		{"invalid shares in a constraint", nil, 0,
			&ZoneConstraint{Zones: []ZoneShare{{"a", nan}, {"b", -1}, {"c", 7}}, DefaultShare: math.Inf(1)},
			shares{"c1": 0.5, "d1": 0.5}},
		{"invalid shares in a lease", []ZoneQuota{{"a", nan, -1}, {"b", -3, -1}, {"c", 9, -1}}, nan, nil,
			shares{"c1": 0.5, "d1": 0.5}},
		{"closed zone, constraint to it", closedZones("c"), 0, onlyZones("c"), shares{"": 1}},
		{"open zone, constraint to another", []ZoneQuota{{"c", 1, -1}}, 0, onlyZones("b"), shares{"b1": 1}},
		{"zone at a quarter, constraint to two zones", []ZoneQuota{{"c", 0.25, -1}}, 0, onlyZones("c", "d"),
			shares{"c1": 0.2, "d1": 0.8}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newZoneDriver(t, testSettings())
			d.leaseQuota(QuotaLease{Zones: tt.zones, ShedFraction: tt.shed})
			const n = 1000
			got := d.placeMany(Request{Constraint: tt.constraint}, n)
			for _, server := range []string{"", "a1", "b1", "c1", "d1"} {
				share, want := float64(got[server])/n, tt.want[server]
				if math.Abs(share-want) > 0.05 || (share > 0) != (want > 0) {
					t.Errorf("share of requests on %q is %.3f, want %.3f", server, share, want)
				}
			}
		})
	}
}

// The tokens of a zone are shared by its servers, belong to one period and are void once they have expired.
// Without a lease in force, zones are not limited.
func TestZoneTokensCountPerPeriod(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	lease := func(period int64, tokens int) {
		zones := []ZoneQuota{{"a", 1, tokens}, {"b", 0, -1}, {"c", 1, 900}}
		d.leaseQuota(QuotaLease{Period: period, Zones: zones})
	}
	lease(1, 3)
	lease(1, 3) // a repeated lease restores no tokens
	if got := d.placeMany(Request{}, 100)["a1"]; got != 3 {
		t.Errorf("%d attempts in the first period, want 3", got)
	}
	usage := d.balancer.QuotaUsage(d.now).Zones
	if len(usage) != 2 || usage[0] != (ZoneUsage{"a", 3}) || usage[1].Zone != "c" {
		t.Errorf("reported zone usage is %v, want 3 attempts in a and an entry for c", usage)
	}
	lease(2, 2)
	if got := d.placeMany(Request{}, 100)["a1"]; got != 2 {
		t.Errorf("%d attempts in the second period, want 2", got)
	}
	expired := QuotaLease{
		Period: 3, LeaseDuration: time.Minute, TokensExpireAt: d.now, Zones: []ZoneQuota{{"a", 1, 9}}}
	d.handle(expired)
	if got := d.placeMany(Request{}, 100)["a1"]; got != 0 {
		t.Errorf("%d attempts with expired tokens, want 0", got)
	}
	d.now += time.Minute
	if got := d.placeMany(Request{}, 100); got["a1"] == 0 || got["b1"] == 0 {
		t.Errorf("placements without a lease are %v, want some on a1 and b1", got)
	}
}

func TestOnlyFirstArrivalsAreShed(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	d.leaseQuota(QuotaLease{ShedFraction: 1})
	for request, want := range map[Request]int{{}: 20, {Reconnecting: true}: 0, {ClientRetry: true}: 0} {
		if got := d.placeMany(request, 20)[""]; got != want {
			t.Errorf("%+v: %d of 20 requests rejected, want %d", request, got, want)
		}
	}
}

// A request whose constraint permits no zone must be answered at once, even before the first list has been
// received.
func TestConstraintWithoutZonesIsRejectedAtOnce(t *testing.T) {
	for name, constraint := range map[string]*ZoneConstraint{
		"no zones":             {},
		"all zones at share 0": {Zones: []ZoneShare{{"a", 0}, {"b", 0}}},
		"invalid shares":       {Zones: []ZoneShare{{"a", -1}}, DefaultShare: math.NaN()},
	} {
		d := newDriver(t, testSettings()) // no list has been received
		got := d.handle(Request{ID: "r", Class: "c", Deadline: d.now + 2*time.Second, Constraint: constraint})
		if reject, ok := rejections(got)["r"]; !ok || reject.Reason != NoServer {
			t.Errorf("%s: got %v, want a rejection", name, got)
		}
	}
}

// Restrictions apply in the order drain, limit on cold servers, zone quota, request constraint. A later one
// must not permit what an earlier one forbids. TestZoneQuotasAndRequestConstraints covers zone quotas with
// request constraints.
func TestRestrictionPrecedence(t *testing.T) {
	onlyA := append([]ZoneQuota{{"a", 1, 99}}, closedZones("b", "c", "d")...)
	drain := func(d *driver, _ *QuotaLease) {
		d.updateList(ListDelta, ServerEntry{ID: "a1", Zone: "a", State: Draining})
	}
	coldWithoutToken := func(d *driver, _ *QuotaLease) {
		d.updateList(ListDelta, ServerEntry{ID: "a1", Zone: "a", StartedAt: d.now})
	}
	for _, tt := range []struct {
		name       string
		restrict   func(d *driver, lease *QuotaLease)
		zones      []ZoneQuota
		constraint *ZoneConstraint
	}{
		{"drain before zone quota", drain, onlyA, nil},
		{"drain before constraint", drain, nil, onlyZones("a")},
		{"cold server limit before zone quota", coldWithoutToken, onlyA, nil},
		{"cold server limit before constraint", coldWithoutToken, nil, onlyZones("a")},
		{"drain before cold server tokens", func(d *driver, lease *QuotaLease) {
			drain(d, lease)
			lease.Servers = []ServerQuota{{"a1", 0, 9}}
		}, nil, onlyZones("a")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newZoneDriver(t, testSettings())
			lease := QuotaLease{Zones: tt.zones}
			tt.restrict(d, &lease)
			d.leaseQuota(lease)
			server, actions := d.place(Request{Constraint: tt.constraint})
			if server != "" {
				t.Errorf("sent to %s, want no attempt", server)
			}
			all := append(actions, d.runFor(3*time.Second)...)
			if len(actionsOf[Reject](all)) != 1 || len(actionsOf[Attempt](all)) != 0 {
				t.Errorf("got %v, want one rejection", all)
			}
		})
	}
}

// A keyed request that may have run must not be retried outside the zone that drops its repeats, even if a
// quota closes the zone or the request's constraint permits only other zones.
func TestKeyScopeBeforeConstraints(t *testing.T) {
	settings := testSettings()
	class := &settings.Classes[0]
	class.Idempotency, class.KeyScope, class.KeyWindow = IdempotencyKeyed, ScopeZone, time.Minute
	for _, closed := range []bool{true, false} {
		d := newZoneDriver(t, settings)
		d.updateList(ListDelta, ServerEntry{ID: "a2", Zone: "a"})
		constraint := onlyZones("a")
		server, _ := d.place(Request{Constraint: constraint})
		id := fmt.Sprint("r", d.now)
		if closed {
			d.leaseQuota(QuotaLease{Zones: closedZones("a"), RetryBudget: 9})
		} else {
			constraint.Zones[0].Share, constraint.DefaultShare = 0, 1
		}
		all := d.handle(AttemptEnded{ID: id, Server: server, Outcome: Errored, LoadReport: EmptyLoadReport})
		if len(actionsOf[Probe](all)) > 0 || len(actionsOf[Fail](all)) != 1 {
			t.Errorf("zone closed %v: got %v, want a failure at once", closed, all)
		}
	}
}

// When the last zone that is allowed for a waiting request is closed, the request must be answered at once.
// Established connections in the zone stay open.
func TestClosedZoneAnswersWaitingRequests(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	server, _ := d.place(Request{Constraint: onlyZones("a")})
	d.handle(ConnectionEstablished{ID: fmt.Sprint("r", d.now), Server: server})
	d.handle(Request{ID: "waits", Class: "c", Deadline: d.now + time.Second, Constraint: onlyZones("a")})
	all := d.leaseQuota(QuotaLease{Zones: closedZones("a")})
	rejected := actionsOf[Reject](all)
	if len(rejected) != 1 || rejected[0].ID != "waits" || len(actionsOf[Migrate](all)) != 0 {
		t.Errorf("got %v, want one rejection and no migration", all)
	}
}

// A request whose constraint permits only a full zone must be answered at once. It is no sign of congestion
// and must not pause the admission of other requests.
func TestFullZoneOfConstraintIsNotCongestion(t *testing.T) {
	d := newZoneDriver(t, testSettings())
	request := Request{ID: "r", Class: "c", Deadline: d.now + time.Second, Constraint: onlyZones("a")}
	actions := d.answerProbes(d.handle(request), 1.2)
	admission := &d.balancer.admission
	if len(actionsOf[Reject](actions)) != 1 || admission.backoffEndsAt > d.now ||
		admission.window < maxWindow {
		t.Errorf("got %v, backoff until %v, window %v; want a rejection and no congestion",
			actions, admission.backoffEndsAt, admission.window)
	}
}
