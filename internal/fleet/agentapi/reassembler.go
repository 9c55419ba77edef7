package agentapi

import (
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// Part is how much of a table or of rights goes with one answer, in bytes of JSON, but for
// what one entry is beyond it: a whole answer stays below Longest.
const MaxPartBytes = 1 << 20

// TableParts cuts news of a table into parts, at least one. All have its head, and together
// they are it.
func SplitTable(update routeupdate.Update, maxBytes int) []routeupdate.Update {
	head := routeupdate.Update{Index: update.Index, Complete: update.Complete, BaseIndex: update.BaseIndex}
	parts, size := []routeupdate.Update{head}, 0
	parts[0].ReadyEndpoints = update.ReadyEndpoints
	partFor := func(item any) *routeupdate.Update {
		itemSize := sizeOf(item)
		if size > 0 && size+itemSize > maxBytes {
			parts, size = append(parts, head), 0
		}
		size += itemSize
		return &parts[len(parts)-1]
	}
	for _, entry := range update.Set {
		part := partFor(entry)
		part.Set = append(part.Set, entry)
	}
	for _, path := range update.Removed {
		part := partFor(path)
		part.Removed = append(part.Removed, path)
	}
	for _, allocation := range update.Allocations {
		part := partFor(allocation)
		part.Allocations = append(part.Allocations, allocation)
	}
	return parts
}

// join puts a further part to what came before it.
func appendPart(update, part routeupdate.Update) routeupdate.Update {
	update.Set, update.Removed, update.Allocations = append(update.Set, part.Set...), append(update.Removed, part.Removed...), append(update.Allocations, part.Allocations...)
	return update
}

// RightsParts cuts rights into parts, at least one.
func SplitLease(lease account.QuotaLease, maxBytes int) []account.QuotaLease {
	head := lease
	head.Allocated, head.EvenShares = nil, nil
	parts, size := []account.QuotaLease{head}, 0
	partFor := func(path string, amounts account.Amounts) *account.QuotaLease {
		itemSize := sizeOf(path) + sizeOf(amounts)
		if size > 0 && size+itemSize > maxBytes {
			parts, size = append(parts, head), 0
		}
		size += itemSize
		return &parts[len(parts)-1]
	}
	for _, path := range slices.Sorted(maps.Keys(lease.Allocated)) {
		part := partFor(path, lease.Allocated[path])
		putAmounts(&part.Allocated, path, lease.Allocated[path])
	}
	for _, path := range slices.Sorted(maps.Keys(lease.EvenShares)) {
		part := partFor(path, lease.EvenShares[path])
		putAmounts(&part.EvenShares, path, lease.EvenShares[path])
	}
	return parts
}

func putAmounts(byPath *map[string]account.Amounts, path string, amounts account.Amounts) {
	if *byPath == nil {
		*byPath = map[string]account.Amounts{}
	}
	(*byPath)[path] = amounts
}

func sizeOf(item any) int {
	raw, err := json.Marshal(item)
	if err != nil {
		return 0 // then the answer that holds it can't be written, and says so
	}
	return len(raw) + 2
}

// Gathering puts the parts of tables and rights together, on the node's side. Its zero value
// has nothing.
type Reassembler struct {
	tableIndex          uint64 // of the table that is gathered
	table               routeupdate.Update
	tableParts          int
	leaseNumber         uint64
	lease               account.QuotaLease
	leaseParts          int
	evenShares          map[string]account.Amounts // of the last deal that is whole,
	completeLeaseNumber uint64                     // and its number
}

// Say tells the agent what there is already.
func (r *Reassembler) FillProgress(report *Report) {
	report.PartialTableIndex, report.TablePartsReceived, report.LeaseNumber, report.LeasePartsReceived = r.tableIndex, r.tableParts, r.leaseNumber, r.leaseParts
	report.CompleteLeaseNumber = r.completeLeaseNumber
}

// Table takes an answer's part of a table, and returns the news of it once it is whole.
func (r *Reassembler) AddTable(response *Response) (routeupdate.Update, bool) {
	switch {
	case response.Table == nil:
		return routeupdate.Update{}, false
	case r.tableParts > 0 && response.Table.Index == r.tableIndex:
		r.table = appendPart(r.table, *response.Table)
	default:
		r.tableIndex, r.table, r.tableParts = response.Table.Index, *response.Table, 0
	}
	if r.tableParts++; r.tableParts < response.TableParts {
		return routeupdate.Update{}, false
	}
	update := r.table
	r.tableIndex, r.table, r.tableParts = 0, routeupdate.Update{}, 0
	return update, true
}

// Rights takes an answer's part of rights, and returns them once they are whole.
func (r *Reassembler) AddLease(response *Response) (account.QuotaLease, bool) {
	switch {
	case response.Lease == nil:
		return account.QuotaLease{}, false
	case r.leaseParts > 0 && response.LeaseNumber == r.leaseNumber:
	default:
		r.leaseNumber, r.leaseParts = response.LeaseNumber, 0
		r.lease = *response.Lease
		r.lease.Allocated, r.lease.EvenShares = map[string]account.Amounts{}, nil
	}
	maps.Copy(r.lease.Allocated, response.Lease.Allocated)
	for path, amounts := range response.Lease.EvenShares {
		putAmounts(&r.lease.EvenShares, path, amounts)
	}
	if r.leaseParts++; r.leaseParts < response.LeaseParts {
		return account.QuotaLease{}, false
	}
	lease := r.lease
	if lease.EvenShares == nil {
		lease.EvenShares = r.evenShares
	}
	r.evenShares, r.completeLeaseNumber, r.lease = lease.EvenShares, r.leaseNumber, account.QuotaLease{}
	return lease, true
}
