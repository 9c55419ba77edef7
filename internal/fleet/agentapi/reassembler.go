package agentapi

import (
	"maps"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// maxParts limits the number of parts of an update or a lease, each of which has several kilobytes.
const maxParts = 1 << 14

// Reassembler reassembles updates and leases from their parts on the node. The zero value is ready
// to use. A Reassembler is not safe for concurrent use.
type Reassembler struct {
	tableIndex uint64 // index of the update being received
	table      routeupdate.Update
	tableParts int // number of parts received

	leaseNumber uint64 // number of the lease being received, or of the last one received
	lease       account.QuotaLease
	leaseParts  int // number of parts received

	completeLeaseNumber uint64                     // number of the last complete lease
	evenShares          map[string]account.Amounts // even shares of the last complete lease
}

// FillProgress sets the fields of a report that state which updates and leases have been received.
func (r *Reassembler) FillProgress(report *Report) {
	report.PartialTableIndex, report.TablePartsReceived = r.tableIndex, r.tableParts
	report.LeaseNumber, report.LeasePartsReceived = r.leaseNumber, r.leaseParts
	report.CompleteLeaseNumber = r.completeLeaseNumber
}

// AddTable adds the part of an update that a response carries, and returns the update once all parts
// have been received. A part of a different update discards the parts received so far.
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

// AddLease adds the part of a lease that a response carries, and returns the lease once all parts
// have been received. A part of a different lease discards the parts received so far.
func (r *Reassembler) AddLease(response *Response) (lease account.QuotaLease, isComplete bool) {
	part := response.Lease
	if part == nil || response.LeaseParts > maxParts {
		return account.QuotaLease{}, false
	}
	if isComplete := r.lease.Allocated == nil && r.leaseParts > 0; isComplete &&
		response.LeaseNumber == r.leaseNumber {
		return account.QuotaLease{}, false // surplus part of a lease that is already complete
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
