package agentapi

import (
	"maps"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// maxParts bounds the parts of an update or a lease: each has some kilobytes.
const maxParts = 1 << 14

// Reassembler puts the parts of updates and leases together, on the node's side. Its zero value has
// none. It is for one goroutine.
type Reassembler struct {
	tableIndex uint64 // of the update that is being received
	table      routeupdate.Update
	tableParts int // received

	leaseNumber uint64 // of the lease that is being received, or was received last
	lease       account.QuotaLease
	leaseParts  int // received

	completeLeaseNumber uint64 // of the last complete lease,
	evenShares          map[string]account.Amounts
}

// FillProgress puts what was received into a report.
func (r *Reassembler) FillProgress(report *Report) {
	report.PartialTableIndex, report.TablePartsReceived = r.tableIndex, r.tableParts
	report.LeaseNumber, report.LeasePartsReceived = r.leaseNumber, r.leaseParts
	report.CompleteLeaseNumber = r.completeLeaseNumber
}

// AddTable takes a response's part of an update, and returns the update once it is complete. A part
// of another update discards what was received of the one before.
func (r *Reassembler) AddTable(response *Response) (update routeupdate.Update, isComplete bool) {
	part := response.Table
	switch {
	case part == nil || response.TableParts > maxParts:
		return routeupdate.Update{}, false
	case r.tableParts > 0 && part.Index == r.tableIndex:
		r.table.Set = append(r.table.Set, part.Set...)
		r.table.Removed = append(r.table.Removed, part.Removed...)
		r.table.Allocations = append(r.table.Allocations, part.Allocations...)
	default:
		r.tableIndex, r.table, r.tableParts = part.Index, *part, 0
	}
	r.tableParts++
	if r.tableParts < response.TableParts {
		return routeupdate.Update{}, false
	}
	update = r.table
	r.tableIndex, r.table, r.tableParts = 0, routeupdate.Update{}, 0
	return update, true
}

// AddLease takes a response's part of a lease, and returns the lease once it is complete. A part of
// another lease discards what was received of the one before.
func (r *Reassembler) AddLease(response *Response) (lease account.QuotaLease, isComplete bool) {
	part := response.Lease
	if part == nil || response.LeaseParts > maxParts {
		return account.QuotaLease{}, false
	}
	if isComplete := r.lease.Allocated == nil && r.leaseParts > 0; isComplete && response.LeaseNumber == r.leaseNumber {
		return account.QuotaLease{}, false // a part too many, of a lease that is complete
	}
	if r.leaseParts == 0 || response.LeaseNumber != r.leaseNumber {
		r.leaseNumber, r.leaseParts = response.LeaseNumber, 0
		r.lease = *part
		r.lease.Allocated, r.lease.EvenShares = map[string]account.Amounts{}, nil
	}
	maps.Copy(r.lease.Allocated, part.Allocated)
	for path, amounts := range part.EvenShares {
		putAmounts(&r.lease.EvenShares, path, amounts)
	}
	r.leaseParts++
	if r.leaseParts < response.LeaseParts {
		return account.QuotaLease{}, false
	}
	lease = r.lease
	if lease.EvenShares == nil {
		lease.EvenShares = r.evenShares
	}
	r.evenShares, r.completeLeaseNumber, r.lease = lease.EvenShares, r.leaseNumber, account.QuotaLease{}
	return lease, true
}
