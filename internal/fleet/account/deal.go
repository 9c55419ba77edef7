package account

import (
	"cmp"
	"slices"
	"time"
)

// table is one member's reckoning for one half epoch.
type table struct {
	cfg    LeaseConfig
	half   int64
	self   string
	places map[string]int // of the holders in this half
	first  map[string]int // and in the epoch's first
	lost   []string       // holders of whom it is not known what they spent in it
	used   map[string][shared]int64
}

// Deal returns what a member may use in the half epoch in which now lies. Holders are the
// members that count, self among them, as share has them: who is alive, or failed less than
// Hold ago. Uses are the members' last words, self's own among them.
//
// Each limit is dealt over the members as share deals a cold next hop's budget: whole in an
// epoch's first half, and again in the second what is known not to have been spent. What a
// member has of a parent's is then filled among the children by what this member wants of
// each. No report makes the sum over all members greater.
func Allocate(now time.Duration, cfg LeaseConfig, s State, uses []Usage, holders []string, self string) QuotaLease {
	own := Usage{}
	heard := map[string]*Usage{}
	for i := range uses {
		u := &uses[i]
		if old := heard[u.Member]; u.IsValid() && (old == nil || cmp.Or(cmp.Compare(u.HalfEpoch, old.HalfEpoch), cmp.Compare(u.ReportedAt, old.ReportedAt)) > 0) {
			heard[u.Member] = u
		}
	}
	if u := heard[self]; u != nil {
		own = *u
	}
	n := len(holders)
	if n == 0 || !slices.Contains(holders, self) || 2*n <= cfg.FleetSize {
		n = max(cfg.FleetSize, n, 1)
		return AllocateEvenShare(now, cfg, s, own, QuotaLease{HolderRank: int(hash(self, 0, 0) % uint64(n)), HolderCount: n})
	}
	t := &table{cfg: cfg, half: cfg.half(now), self: self, used: map[string][shared]int64{}}
	t.places, t.first = ranked(holders, t.half), ranked(holders, t.half&^1)
	still := ranked(holders, -1)
	if t.half%2 == 1 {
		t.hear(s, holders, heard)
	}
	r := QuotaLease{HalfEpoch: t.half, ExpiresAt: time.Duration(t.half+1) * (cfg.Epoch / 2), HolderRank: still[self], HolderCount: n}
	r.EvenShares = s.evenParts(n)
	r.Allocated = s.fill(own, func(path string, i int, limit int64) int64 {
		if i == 0 { // how many stand is not dealt again: what stands can't be called back
			return part(limit/thousand, turned(still[self], path, i, 0, n), n)
		}
		return t.tokens(path, i, limit)
	})
	return r
}

// Alone returns the rights of a member that has not heard the record for Hold, or too few
// others: its even part, among as many as it was last dealt among.
func AllocateEvenShare(now time.Duration, cfg LeaseConfig, s State, own Usage, last QuotaLease) QuotaLease {
	r := QuotaLease{HalfEpoch: cfg.half(now), HolderRank: last.HolderRank, HolderCount: max(last.HolderCount, 1)}
	r.ExpiresAt = time.Duration(r.HalfEpoch+1) * (cfg.Epoch / 2)
	r.EvenShares = s.evenParts(r.HolderCount)
	r.Allocated = s.fill(own, func(path string, i int, limit int64) int64 {
		place := turned(r.HolderRank, path, i, 0, r.HolderCount)
		if i == 0 {
			return part(limit/thousand, place, r.HolderCount)
		}
		return cfg.even(limit, r.HalfEpoch, place, r.HolderCount)
	})
	return r
}

// evenParts returns an n-th of each limit.
func (s State) evenParts(n int) map[string]Amounts {
	parts := make(map[string]Amounts, len(s.Nodes)+len(s.Routes))
	put := func(path string, l Limits) {
		a := Amounts{l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate}.array()
		for i, x := range a {
			if a[i] = -1; x >= 0 {
				a[i] = x / float64(n)
			}
		}
		parts[path] = figuresOf(a)
	}
	for path, node := range s.Nodes {
		put(path, node.Limits)
	}
	for path, r := range s.Routes {
		put(path, r.Limits)
	}
	return parts
}

// ranked gives each holder a place, by rendezvous with the half.
func ranked(holders []string, half int64) map[string]int {
	order := slices.Clone(holders)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a, uint64(half), 0), hash(b, uint64(half), 0)), cmp.Compare(a, b))
	})
	places := make(map[string]int, len(order))
	for place, name := range order {
		places[name] = place
	}
	return places
}

// turned is a place for one figure of one path: the same who comes first for one does not
// for all.
func turned(place int, path string, i int, half int64, n int) int {
	return int((uint64(place) + hash(path, uint64(i), uint64(half))%uint64(n)) % uint64(n))
}

// hear sums what the holders say to have spent in the first half. None counts for more than
// he had, so that a false word takes nothing from others.
func (t *table) hear(s State, holders []string, heard map[string]*Usage) {
	first, end := t.half-1, time.Duration(t.half)*(t.cfg.Epoch/2)
	n := len(holders)
	for _, name := range holders {
		var spent map[string]Amounts
		known := false
		if u := heard[name]; u != nil {
			spent, known = u.spent(first, end)
		}
		if !known {
			t.lost = append(t.lost, name)
			continue
		}
		for path, f := range spent {
			l, ok := s.limits(path)
			if !ok {
				continue
			}
			sum, limit := t.used[path], l.thousandths()
			for i, x := range f.array() {
				if i > 0 && x > 0 && limit[i] >= 0 {
					had := part(t.cfg.whole(path, i, limit[i], t.half/2), turned(t.first[name], path, i, first, n), n)
					sum[i] += min(ceil(x), had)
				}
			}
			t.used[path] = sum
		}
	}
}

// tokens returns this member's of one figure in this half.
func (t *table) tokens(path string, i int, limit int64) int64 {
	n, left := len(t.places), t.cfg.whole(path, i, limit, t.half/2)
	if t.half%2 == 1 {
		whole := left
		left -= t.used[path][i]
		for _, name := range t.lost {
			left -= part(whole, turned(t.first[name], path, i, t.half-1, n), n)
		}
	}
	return part(max(left, 0), turned(t.places[t.self], path, i, t.half, n), n)
}

func hash(word string, a, b uint64) uint64 {
	x := uint64(14695981039346656037) // FNV-1a
	for i := range len(word) {
		x = (x ^ uint64(word[i])) * 1099511628211
	}
	x ^= a*0x9e3779b97f4a7c15 ^ b*0xbf58476d1ce4e5b9
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
