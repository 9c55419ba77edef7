package agentapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/inputlimit"
)

// testMemoryMB is the memory of a node in MiB.
const testMemoryMB = 32

func newTestUpdate(routes, removed, allocations int) routeupdate.Update {
	update := routeupdate.Update{Index: 9, BaseIndex: 4, ReadyEndpoints: map[string]int{"a": 3}}
	for i := range routes {
		update.Set = append(update.Set, routeupdate.Entry{
			Name:         fmt.Sprint("route-", i),
			Owner:        "account/team",
			Match:        account.Match{Tenant: fmt.Sprint("tenant-", i)},
			AllowedZones: []string{"eu-a", "eu-b"},
		})
	}
	for i := range removed {
		update.Removed = append(update.Removed, fmt.Sprint("account/team:gone-", i))
	}
	for i := range allocations {
		update.Allocations = append(update.Allocations,
			routeupdate.Allocation{Contract: fmt.Sprint("c", i), Shares: map[string]float64{"eu-a": 1}})
	}
	return update
}

func newTestLease(paths int, withEvenShares bool) account.QuotaLease {
	lease := account.QuotaLease{HalfEpoch: 7, HolderCount: 3, Allocated: map[string]account.Amounts{}}
	for i := range paths {
		path := fmt.Sprint("account/team:", i)
		lease.Allocated[path] = account.Amounts{Connections: -1, Setups: float64(i), Retries: -1, Probes: -1}
	}
	if withEvenShares {
		lease.EvenShares = maps.Clone(lease.Allocated)
	}
	return lease
}

// Split updates and leases are reassembled unchanged, also after the agent has abandoned an earlier
// update or lease halfway because it restarted or has a newer one. The incomplete ones are never used.
func TestReassemblesSplitUpdatesAndLeases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counts := rapid.IntRange(0, 20)
		update := newTestUpdate(
			counts.Draw(t, "routes"), counts.Draw(t, "removed"), counts.Draw(t, "allocations"))
		lease := newTestLease(counts.Draw(t, "paths")+1, rapid.Bool().Draw(t, "even shares"))
		maxBytes := rapid.IntRange(1, 2000).Draw(t, "max bytes")
		leases := SplitLease(lease, maxBytes)
		reassembler := NewReassembler(testMemoryMB)
		earlier := newTestLease(2, true)
		_, _, _ = reassembler.AddLease(&Response{Lease: &earlier, LeaseNumber: 1, LeaseParts: 1})
		unfinished := Response{
			Table:       &routeupdate.Update{Index: 8, Removed: []string{"of another"}},
			TableParts:  2,
			Lease:       &account.QuotaLease{HalfEpoch: 6, Allocated: earlier.Allocated},
			LeaseNumber: 2,
			LeaseParts:  2,
		}
		_, _, _ = reassembler.AddTable(&unfinished)
		_, _, _ = reassembler.AddLease(&unfinished)
		reassembleTable(t, reassembler, SplitTable(update, maxBytes), update)
		if lease.EvenShares == nil {
			lease.EvenShares = earlier.EvenShares
		}
		reassembleLease(t, reassembler, leases, lease)
		report, want := Report{}, Report{
			CompleteLeaseNumber: 3, LeaseNumber: 3, LeasePartsReceived: len(leases)}
		if reassembler.FillProgress(&report); !reflect.DeepEqual(report, want) {
			t.Fatalf("%+v", report)
		}
	})
}

// reassembleTable adds the parts of an update and checks the reassembled update.
func reassembleTable(
	t *rapid.T, reassembler *Reassembler, parts []routeupdate.Update, want routeupdate.Update,
) {
	for i := range parts {
		got, isComplete, err := reassembler.AddTable(&Response{Table: &parts[i], TableParts: len(parts)})
		isLast := i == len(parts)-1
		if err != nil || isComplete != isLast || isLast && !reflect.DeepEqual(got, want) {
			t.Fatalf("part %d of %d: %v, %+v, want %+v", i, len(parts), isComplete, got, want)
		}
	}
}

// reassembleLease adds the parts of lease number 3 and checks the reassembled lease.
func reassembleLease(
	t *rapid.T, reassembler *Reassembler, parts []account.QuotaLease, want account.QuotaLease,
) {
	for i := range parts {
		got, isComplete, err := reassembler.AddLease(
			&Response{Lease: &parts[i], LeaseNumber: 3, LeaseParts: len(parts)})
		isLast := i == len(parts)-1
		if err != nil || isComplete != isLast || isLast && !reflect.DeepEqual(got, want) {
			t.Fatalf("part %d of %d: %v, %+v, want %+v", i, len(parts), isComplete, got, want)
		}
	}
}

// The initial table and lease of the largest possible account tree are split into responses that do
// not exceed MaxLineBytes, the longest line that the node reads.
func TestPartsOfLargestTableFitInOneLine(t *testing.T) {
	update, lease := newTestUpdate(16_384, 0, 1000), newTestLease(24_576, true)
	update.Set[7].Owner = strings.Repeat("o", 30_000)
	tables, leases := SplitTable(update, MaxPartBytes), SplitLease(lease, MaxPartBytes)
	var responses []Response
	for i := range tables {
		responses = append(responses, Response{Table: &tables[i]})
	}
	for i := range leases {
		responses = append(responses, Response{Lease: &leases[i]})
	}
	for _, response := range responses {
		raw, err := json.Marshal(response)
		if err != nil || len(raw) > MaxLineBytes {
			t.Errorf("response of %d bytes, %v", len(raw), err)
		}
	}
	if len(tables) < 2 || len(leases) < 2 {
		t.Errorf("%d table parts and %d lease parts, want at least 2 of each", len(tables), len(leases))
	}
}

// A surplus part of a complete lease and a part count above maxParts change nothing. A surplus part
// once caused a panic, because it was copied into the nil map that a complete lease leaves behind.
func TestIgnoresUnexpectedParts(t *testing.T) {
	reassembler := NewReassembler(testMemoryMB)
	lease := newTestLease(2, true)
	part := Response{Lease: &lease, LeaseNumber: 1, LeaseParts: 1}
	if _, isComplete, _ := reassembler.AddLease(&part); !isComplete {
		t.Fatal("a lease of one part is not complete after its only part")
	}
	if _, isComplete, _ := reassembler.AddLease(&part); isComplete {
		t.Error("a duplicate of the only part completed the lease again")
	}
	tooManyParts := Response{Lease: &lease, LeaseNumber: 2, LeaseParts: maxParts + 1,
		Table: &routeupdate.Update{Index: 3}, TableParts: maxParts + 1}
	_, _, _ = reassembler.AddLease(&tooManyParts)
	_, _, _ = reassembler.AddTable(&tooManyParts)
	var report Report
	if reassembler.FillProgress(&report); report.LeaseNumber != 1 || report.PartialTableIndex != 0 {
		t.Errorf("progress %+v", report)
	}
	if _, isComplete, _ := reassembler.AddLease(
		&Response{Lease: &lease, LeaseNumber: 3, LeaseParts: 1}); !isComplete {
		t.Error("the next lease is not accepted")
	}
}

// Guards against an agent that takes the node over its memory limit by an update or a lease of many parts,
// each of which is within its limit: their sum is limited, and nothing is kept of what exceeds it.
func TestSumOfPartsIsLimited(t *testing.T) {
	reassembler := NewReassembler(testMemoryMB)
	update, lease := newTestUpdate(1, 0, 0), newTestLease(1, false)
	for name, add := range map[string]func() error{
		"update": func() error {
			_, _, err := reassembler.AddTable(&Response{Table: &update, TableParts: maxParts, Size: MaxLineBytes})
			return err
		},
		"lease": func() error {
			_, _, err := reassembler.AddLease(
				&Response{Lease: &lease, LeaseNumber: 1, LeaseParts: maxParts, Size: MaxLineBytes})
			return err
		},
	} {
		err, parts := error(nil), 0
		for ; err == nil && parts < maxParts-1; parts++ {
			err = add()
		}
		limitErr := (*inputlimit.Error)(nil)
		if !errors.As(err, &limitErr) || limitErr.Received > minUpdateBytes+MaxLineBytes {
			t.Errorf("%s: %v after %d parts", name, err, parts)
		}
		report := Report{}
		if reassembler.FillProgress(&report); report.TablePartsReceived != 0 || report.LeasePartsReceived != 0 {
			t.Errorf("%s: parts are kept: %+v", name, report)
		}
	}
}
