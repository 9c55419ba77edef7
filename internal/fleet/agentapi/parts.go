package agentapi

import (
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/route"
)

// Part is how much of a table or of rights goes with one answer, in bytes of JSON, but for
// what one entry is beyond it: a whole answer stays below Longest.
const MaxPartBytes = 1 << 20

// TableParts cuts news of a table into parts, at least one. All have its head, and together
// they are it.
func SplitTable(w route.Update, most int) []route.Update {
	head := route.Update{Index: w.Index, Complete: w.Complete, BaseIndex: w.BaseIndex}
	parts, size := []route.Update{head}, 0
	parts[0].ReadyEndpoints = w.ReadyEndpoints
	at := func(item any) *route.Update {
		n := sizeOf(item)
		if size > 0 && size+n > most {
			parts, size = append(parts, head), 0
		}
		size += n
		return &parts[len(parts)-1]
	}
	for _, e := range w.Set {
		p := at(e)
		p.Set = append(p.Set, e)
	}
	for _, path := range w.Removed {
		p := at(path)
		p.Removed = append(p.Removed, path)
	}
	for _, a := range w.Allocations {
		p := at(a)
		p.Allocations = append(p.Allocations, a)
	}
	return parts
}

// join puts a further part to what came before it.
func join(w, part route.Update) route.Update {
	w.Set, w.Removed, w.Allocations = append(w.Set, part.Set...), append(w.Removed, part.Removed...), append(w.Allocations, part.Allocations...)
	return w
}

// RightsParts cuts rights into parts, at least one.
func SplitLease(r account.QuotaLease, most int) []account.QuotaLease {
	head := r
	head.Allocated, head.EvenShares = nil, nil
	parts, size := []account.QuotaLease{head}, 0
	at := func(path string, f account.Amounts) *account.QuotaLease {
		n := sizeOf(path) + sizeOf(f)
		if size > 0 && size+n > most {
			parts, size = append(parts, head), 0
		}
		size += n
		return &parts[len(parts)-1]
	}
	for _, path := range slices.Sorted(maps.Keys(r.Allocated)) {
		p := at(path, r.Allocated[path])
		put(&p.Allocated, path, r.Allocated[path])
	}
	for _, path := range slices.Sorted(maps.Keys(r.EvenShares)) {
		p := at(path, r.EvenShares[path])
		put(&p.EvenShares, path, r.EvenShares[path])
	}
	return parts
}

func put(m *map[string]account.Amounts, path string, f account.Amounts) {
	if *m == nil {
		*m = map[string]account.Amounts{}
	}
	(*m)[path] = f
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
	index  uint64 // of the table that is gathered
	table  route.Update
	parts  int
	deal   uint64
	rights account.QuotaLease
	pieces int
	even   map[string]account.Amounts // of the last deal that is whole,
	whole  uint64                     // and its number
}

// Say tells the agent what there is already.
func (g *Reassembler) FillProgress(s *Report) {
	s.PartialTableIndex, s.TablePartsReceived, s.LeaseNumber, s.LeasePartsReceived = g.index, g.parts, g.deal, g.pieces
	s.CompleteLeaseNumber = g.whole
}

// Table takes an answer's part of a table, and returns the news of it once it is whole.
func (g *Reassembler) AddTable(t *Response) (route.Update, bool) {
	switch {
	case t.Table == nil:
		return route.Update{}, false
	case g.parts > 0 && t.Table.Index == g.index:
		g.table = join(g.table, *t.Table)
	default:
		g.index, g.table, g.parts = t.Table.Index, *t.Table, 0
	}
	if g.parts++; g.parts < t.TableParts {
		return route.Update{}, false
	}
	w := g.table
	g.index, g.table, g.parts = 0, route.Update{}, 0
	return w, true
}

// Rights takes an answer's part of rights, and returns them once they are whole.
func (g *Reassembler) AddLease(t *Response) (account.QuotaLease, bool) {
	switch {
	case t.Lease == nil:
		return account.QuotaLease{}, false
	case g.pieces > 0 && t.LeaseNumber == g.deal:
	default:
		g.deal, g.pieces = t.LeaseNumber, 0
		g.rights = *t.Lease
		g.rights.Allocated, g.rights.EvenShares = map[string]account.Amounts{}, nil
	}
	maps.Copy(g.rights.Allocated, t.Lease.Allocated)
	for path, f := range t.Lease.EvenShares {
		put(&g.rights.EvenShares, path, f)
	}
	if g.pieces++; g.pieces < t.LeaseParts {
		return account.QuotaLease{}, false
	}
	r := g.rights
	if r.EvenShares == nil {
		r.EvenShares = g.even
	}
	g.even, g.whole, g.rights = r.EvenShares, g.deal, account.QuotaLease{}
	return r, true
}
