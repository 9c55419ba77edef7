package account

import (
	"math"
	"time"

	"pgregory.net/rapid"
)

// testMember spends what it may, as a node does: every level needs capacity.
type testMember struct {
	Usage
	side     int // of a network partition
	lease    QuotaLease
	received map[string]Usage
}

// spend uses up to so many set-ups on some paths together.
func (m *testMember) spend(paths []string, wanted int) {
	for range wanted {
		for _, path := range paths {
			if m.Used[path].Setups+1 > m.lease.Allocated[path].Setups {
				return
			}
		}
		for _, path := range paths {
			amounts := m.Used[path]
			amounts.Setups++
			m.Used[path] = amounts
		}
	}
}

// testFleet is members that may be partitioned.
type testFleet struct {
	cfg       LeaseConfig
	state     State
	names     []string
	members   []testMember
	separated int // members that don't see more than half of the fleet
}

func drawFleet(t *rapid.T) *testFleet {
	count, rate := rapid.IntRange(1, 9).Draw(t, "members"), rapid.Float64Range(0, 40).Draw(t, "rate")
	f := &testFleet{
		cfg:     testLeaseConfig,
		state:   newOvercommittedState(rate),
		names:   memberNames(count),
		members: make([]testMember, count),
	}
	f.cfg.FleetSize = count
	for i := range f.members {
		f.members[i].received = map[string]Usage{}
	}
	if !rapid.Bool().Draw(t, "partitioned") {
		return f
	}
	sizes := [3]int{}
	for i := range f.members {
		f.members[i].side = rapid.IntRange(0, 2).Draw(t, "side")
		sizes[f.members[i].side]++
	}
	f.separated = count - max(sizes[0], sizes[1], sizes[2])
	if 2*(count-f.separated) <= count {
		f.separated = count
	}
	return f
}

// exchangeReports has each member report at a half's end, before any of them spends in the next.
// Reports to others of its side may be lost.
func (f *testFleet) exchangeReports(t *rapid.T, now time.Duration) {
	for i := range f.members {
		m := &f.members[i]
		m.Usage = Usage{
			Member:     f.names[i],
			ReportedAt: now,
			HalfEpoch:  f.cfg.halfEpoch(now),
			UsedBefore: m.Used,
			Used:       map[string]Amounts{},
			Demand:     map[string]Amounts{"acme/web": {Setups: float64(rapid.IntRange(0, 20).Draw(t, "demand"))}},
		}
		for j := range f.members {
			if j == i || m.side == f.members[j].side && rapid.IntRange(0, 2).Draw(t, "received") > 0 {
				f.members[j].received[f.names[i]] = m.Usage
			}
		}
	}
}

// spend has each member take its lease, with each report received twice, and use some of it.
func (f *testFleet) spend(t *rapid.T, now time.Duration) {
	sessions := [][]string{{"acme", "acme/web", "acme/web:r"}, {"acme", "acme/web"}, {"acme", "acme/shop"}}
	for i := range f.members {
		m := &f.members[i]
		var holders []string
		for j, name := range f.names {
			if m.side == f.members[j].side {
				holders = append(holders, name)
			}
		}
		var reports []Usage
		for _, usage := range m.received {
			reports = append(reports, usage, usage)
		}
		m.lease = Allocate(now, f.cfg, f.state, reports, holders, f.names[i])
		for _, paths := range sessions {
			m.spend(paths, rapid.IntRange(0, 30).Draw(t, "spent"))
		}
	}
}

// spentInEpoch is what all members have spent in the last two halves.
func (f *testFleet) spentInEpoch(path string) (sum float64) {
	for _, m := range f.members {
		sum += m.Used[path].Setups + m.UsedBefore[path].Setups
	}
	return sum
}

// bound is what all members may spend of a limit in an epoch.
func (f *testFleet) bound(limit float64) float64 {
	count, separated := float64(len(f.members)), float64(f.separated)
	switch {
	case separated == 0:
		return math.Floor(limit) + 1
	case separated < count:
		return math.Floor(limit) + 1 + limit*separated/count + 2*separated
	}
	return limit*(count-separated)/count + limit*separated/count + 2*separated
}
