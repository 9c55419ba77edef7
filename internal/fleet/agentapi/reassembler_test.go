package agentapi

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

func newTestUpdate(routes, removed, allocations int) routeupdate.Update {
	update := routeupdate.Update{Index: 9, BaseIndex: 4, ReadyEndpoints: map[string]int{"a": 3}}
	for i := range routes {
		update.Set = append(update.Set, routeupdate.Entry{Name: fmt.Sprint("route-", i), Owner: "account/team", Match: account.Match{Tenant: fmt.Sprint("tenant-", i)}, AllowedZones: []string{"eu-a", "eu-b"}})
	}
	for i := range removed {
		update.Removed = append(update.Removed, fmt.Sprint("account/team:gone-", i))
	}
	for i := range allocations {
		update.Allocations = append(update.Allocations, routeupdate.Allocation{Contract: fmt.Sprint("c", i), Shares: map[string]float64{"eu-a": 1}})
	}
	return update
}

func newTestLease(paths int, withEvenShares bool) account.QuotaLease {
	lease := account.QuotaLease{HalfEpoch: 7, HolderCount: 3, Allocated: map[string]account.Amounts{}}
	for i := range paths {
		lease.Allocated[fmt.Sprint("account/team:", i)] = account.Amounts{Connections: -1, Setups: float64(i), Retries: -1, Probes: -1}
	}
	if withEvenShares {
		lease.EvenShares = maps.Clone(lease.Allocated)
	}
	return lease
}

// Whatever is cut comes together again, also where the agent begins anew in between or
// passes on to something newer; what is incomplete is never used.
func TestReassemblesWhatWasSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20)
		update, lease := newTestUpdate(n.Draw(t, "routes"), n.Draw(t, "gone"), n.Draw(t, "steered")), newTestLease(n.Draw(t, "paths")+1, rapid.Bool().Draw(t, "even"))
		maxBytes := rapid.IntRange(1, 2000).Draw(t, "most")
		tables, leases := SplitTable(update, maxBytes), SplitLease(lease, maxBytes)
		reassembler := Reassembler{}
		earlierLease := newTestLease(2, true)
		reassembler.AddLease(&Response{Lease: &earlierLease, LeaseNumber: 1, LeaseParts: 1})
		unfinished := Response{Table: &routeupdate.Update{Index: 8, Removed: []string{"of another"}}, TableParts: 2, Lease: &account.QuotaLease{HalfEpoch: 6, Allocated: earlierLease.Allocated}, LeaseNumber: 2, LeaseParts: 2}
		reassembler.AddTable(&unfinished)
		reassembler.AddLease(&unfinished)
		for i := range tables {
			response := Response{Table: &tables[i], TableParts: len(tables)}
			got, ok := reassembler.AddTable(&response)
			if ok != (i == len(tables)-1) || ok && !reflect.DeepEqual(got, update) {
				t.Fatalf("part %d of %d: %v, %+v, want %+v", i, len(tables), ok, got, update)
			}
		}
		if lease.EvenShares == nil {
			lease.EvenShares = earlierLease.EvenShares
		}
		for i := range leases {
			response := Response{Lease: &leases[i], LeaseNumber: 3, LeaseParts: len(leases)}
			got, ok := reassembler.AddLease(&response)
			if ok != (i == len(leases)-1) || ok && !reflect.DeepEqual(got, lease) {
				t.Fatalf("piece %d of %d: %v, %+v, want %+v", i, len(leases), ok, got, lease)
			}
		}
		report := Report{}
		if reassembler.FillProgress(&report); report.CompleteLeaseNumber != 3 || report.LeaseNumber != 3 || report.LeasePartsReceived != len(leases) || report.PartialTableIndex != 0 {
			t.Fatalf("%+v", report)
		}
	})
}

// The first table and rights of as many routes as an account room keeps pass in answers that
// the other end reads.
func TestPartsOfTheLargestTableFitALine(t *testing.T) {
	update, lease := newTestUpdate(16_384, 0, 1000), newTestLease(24_576, true)
	update.Set[7].Owner = strings.Repeat("o", 30_000)
	tables, leases := SplitTable(update, MaxPartBytes), SplitLease(lease, MaxPartBytes)
	for i := range tables {
		raw, err := json.Marshal(Response{Table: &tables[i]})
		if err != nil || len(raw) > MaxLineBytes {
			t.Errorf("%d bytes, %v", len(raw), err)
		}
	}
	for i := range leases {
		raw, err := json.Marshal(Response{Lease: &leases[i]})
		if err != nil || len(raw) > MaxLineBytes {
			t.Errorf("%d bytes, %v", len(raw), err)
		}
	}
	if len(tables) < 2 || len(leases) < 2 {
		t.Errorf("%d and %d parts", len(tables), len(leases))
	}
}
