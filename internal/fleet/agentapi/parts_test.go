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
	"coralrelay/internal/route"
)

func table(routes, gone, steered int) route.Update {
	w := route.Update{Index: 9, BaseIndex: 4, ReadyEndpoints: map[string]int{"a": 3}}
	for i := range routes {
		w.Set = append(w.Set, route.Entry{Name: fmt.Sprint("route-", i), Owner: "account/team", Match: account.Match{Tenant: fmt.Sprint("tenant-", i)}, AllowedZones: []string{"eu-a", "eu-b"}})
	}
	for i := range gone {
		w.Removed = append(w.Removed, fmt.Sprint("account/team:gone-", i))
	}
	for i := range steered {
		w.Allocations = append(w.Allocations, route.Allocation{Contract: fmt.Sprint("c", i), Shares: map[string]float64{"eu-a": 1}})
	}
	return w
}

func dealt(paths int, even bool) account.QuotaLease {
	r := account.QuotaLease{HalfEpoch: 7, HolderCount: 3, Allocated: map[string]account.Amounts{}}
	for i := range paths {
		r.Allocated[fmt.Sprint("account/team:", i)] = account.Amounts{Connections: -1, Setups: float64(i), Retries: -1, Probes: -1}
	}
	if even {
		r.EvenShares = maps.Clone(r.Allocated)
	}
	return r
}

// Whatever is cut comes together again, also where the agent begins anew in between or
// passes on to something newer; what is incomplete is never used.
func TestPartsComeTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20)
		w, r := table(n.Draw(t, "routes"), n.Draw(t, "gone"), n.Draw(t, "steered")), dealt(n.Draw(t, "paths")+1, rapid.Bool().Draw(t, "even"))
		most := rapid.IntRange(1, 2000).Draw(t, "most")
		tables, rights := SplitTable(w, most), SplitLease(r, most)
		g := Reassembler{}
		before := dealt(2, true)
		g.AddLease(&Response{Lease: &before, LeaseNumber: 1, LeaseParts: 1})
		left := Response{Table: &route.Update{Index: 8, Removed: []string{"of another"}}, TableParts: 2, Lease: &account.QuotaLease{HalfEpoch: 6, Allocated: before.Allocated}, LeaseNumber: 2, LeaseParts: 2}
		g.AddTable(&left)
		g.AddLease(&left)
		for i := range tables {
			told := Response{Table: &tables[i], TableParts: len(tables)}
			got, ok := g.AddTable(&told)
			if ok != (i == len(tables)-1) || ok && !reflect.DeepEqual(got, w) {
				t.Fatalf("part %d of %d: %v, %+v, want %+v", i, len(tables), ok, got, w)
			}
		}
		if r.EvenShares == nil {
			r.EvenShares = before.EvenShares
		}
		for i := range rights {
			told := Response{Lease: &rights[i], LeaseNumber: 3, LeaseParts: len(rights)}
			got, ok := g.AddLease(&told)
			if ok != (i == len(rights)-1) || ok && !reflect.DeepEqual(got, r) {
				t.Fatalf("piece %d of %d: %v, %+v, want %+v", i, len(rights), ok, got, r)
			}
		}
		said := Report{}
		if g.FillProgress(&said); said.CompleteLeaseNumber != 3 || said.LeaseNumber != 3 || said.LeasePartsReceived != len(rights) || said.PartialTableIndex != 0 {
			t.Fatalf("%+v", said)
		}
	})
}

// The first table and rights of as many routes as an account room keeps pass in answers that
// the other end reads.
func TestTheGreatestFits(t *testing.T) {
	w, r := table(16_384, 0, 1000), dealt(24_576, true)
	w.Set[7].Owner = strings.Repeat("o", 30_000)
	tables, rights := SplitTable(w, MaxPartBytes), SplitLease(r, MaxPartBytes)
	for i := range tables {
		raw, err := json.Marshal(Response{Table: &tables[i]})
		if err != nil || len(raw) > MaxLineBytes {
			t.Errorf("%d bytes, %v", len(raw), err)
		}
	}
	for i := range rights {
		raw, err := json.Marshal(Response{Lease: &rights[i]})
		if err != nil || len(raw) > MaxLineBytes {
			t.Errorf("%d bytes, %v", len(raw), err)
		}
	}
	if len(tables) < 2 || len(rights) < 2 {
		t.Errorf("%d and %d parts", len(tables), len(rights))
	}
}
