package balance

import (
	"fmt"
	"testing"
	"time"
)

// newZoneDriver returns a driver with one server in each of the zones a to d: a1, b1, c1 and d1.
func newZoneDriver(t *testing.T, settings Settings) *driver {
	d := newDriver(t, settings)
	var entries []ServerEntry
	for _, zone := range []string{"a", "b", "c", "d"} {
		entries = append(entries, ServerEntry{ID: zone + "1", Zone: zone})
	}
	d.updateList(ListFull, entries...)
	return d
}

// onlyZones returns a constraint that permits only the given zones.
func onlyZones(zones ...string) *ZoneConstraint {
	constraint := &ZoneConstraint{Name: "route"}
	for _, zone := range zones {
		constraint.Zones = append(constraint.Zones, ZoneShare{zone, 1})
	}
	return constraint
}

// place sends a request and answers its probes with a load of almost 0. It returns the server of the attempt,
// or "" and the actions if no attempt was made.
func (d *driver) place(request Request) (string, []Action) {
	d.now += 5 * ms
	request.ID, request.Class, request.Deadline = fmt.Sprint("r", d.now), "c", d.now+2*time.Second
	actions := d.answerProbes(d.handle(request), 0.01)
	if attempts := actionsOf[Attempt](actions); len(attempts) > 0 {
		return attempts[0].Server, nil
	}
	return "", actions
}

// placeMany places n requests and returns how many each server received, and under "" how many were rejected
// at once with a Retry-After.
func (d *driver) placeMany(request Request, n int) map[string]int {
	d.t.Helper()
	counts := map[string]int{}
	for range n {
		server, actions := d.place(request)
		counts[server]++
		if server != "" {
			continue
		}
		if rejects := actionsOf[Reject](actions); len(rejects) != 1 || rejects[0].RetryAfter == 0 {
			d.t.Fatalf("got %v, want one rejection with a Retry-After", actions)
		}
	}
	return counts
}

// leaseQuota grants a quota lease for one minute, in period 1 unless the lease names a later one.
func (d *driver) leaseQuota(lease QuotaLease) []Action {
	lease.Period = max(lease.Period, 1)
	lease.LeaseDuration = time.Minute
	lease.TokensExpireAt = d.now + time.Minute
	return d.handle(lease)
}

// closedZones returns quotas that permit no attempt in the given zones.
func closedZones(zones ...string) []ZoneQuota {
	var quotas []ZoneQuota
	for _, zone := range zones {
		quotas = append(quotas, ZoneQuota{zone, 0, -1})
	}
	return quotas
}
