package balance

import (
	"fmt"
	"testing"
	"time"
)

// newZoneDriver returns a driver with a server in each of the zones a to d, all nearly empty.
func newZoneDriver(t *testing.T, settings Settings) *driver {
	d := newDriver(t, settings)
	var list []ServerEntry
	for _, zone := range []string{"a", "b", "c", "d"} {
		list = append(list, ServerEntry{ID: zone + "1", Zone: zone})
	}
	d.updateList(ListFull, list...)
	return d
}

// onlyZones is a constraint to some zones.
func onlyZones(zones ...string) *ZoneConstraint {
	constraint := &ZoneConstraint{Name: "route"}
	for _, zone := range zones {
		constraint.Zones = append(constraint.Zones, ZoneShare{zone, 1})
	}
	return constraint
}

// place sends a request and answers all probes, and returns where it was sent; "" and the
// actions if it was not.
func (d *driver) place(request Request) (string, []Action) {
	d.now += 5 * ms
	request.ID, request.Class, request.Deadline = fmt.Sprint("r", d.now), "c", d.now+2*time.Second
	actions := d.answerProbes(d.handle(request), 0.01)
	if attempts := actionsOf[Attempt](actions); len(attempts) > 0 {
		return attempts[0].Server, nil
	}
	return "", actions
}

// placeMany places n requests and returns how many each server got, and under "" how many were
// rejected at once with a Retry-After.
func (d *driver) placeMany(request Request, n int) map[string]int {
	d.t.Helper()
	got := map[string]int{}
	for range n {
		server, actions := d.place(request)
		got[server]++
		if server != "" {
			continue
		}
		if rejected := actionsOf[Reject](actions); len(rejected) != 1 || rejected[0].RetryAfter == 0 {
			d.t.Fatalf("%v, want one rejection with a Retry-After", actions)
		}
	}
	return got
}

// leaseQuota hands over a lease for a minute.
func (d *driver) leaseQuota(lease QuotaLease) []Action {
	lease.Period = max(lease.Period, 1)
	lease.LeaseDuration = time.Minute
	lease.TokensExpireAt = d.now + time.Minute
	return d.handle(lease)
}

// closedZones returns quotas that close zones.
func closedZones(zones ...string) []ZoneQuota {
	var quotas []ZoneQuota
	for _, zone := range zones {
		quotas = append(quotas, ZoneQuota{zone, 0, -1})
	}
	return quotas
}
