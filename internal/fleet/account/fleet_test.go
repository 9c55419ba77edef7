package account

import (
	"math"
	"time"

	"pgregory.net/rapid"
)

// testMember is a member that spends tokens as a node does: a session needs capacity on every level.
type testMember struct {
	Usage
	side     int // side of a network partition
	lease    QuotaLease
	received map[string]Usage
}

// spend uses up to the wanted number of set-ups, each of which counts on all of the paths.
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

// testFleet is a fleet that a network partition may split.
type testFleet struct {
	cfg             LeaseConfig
	state           State
	names           []string
	members         []testMember
	withoutMajority int // number of members that don't see more than half of the fleet
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
	f.withoutMajority = count - max(sizes[0], sizes[1], sizes[2])
	if 2*(count-f.withoutMajority) <= count {
		f.withoutMajority = count
	}
	return f
}

// exchangeReports makes each member report at the end of a half epoch, before any member spends in the
// next. Reports to other members of the same side may be lost; those to other sides always are.
func (f *testFleet) exchangeReports(t *rapid.T, now time.Duration) {
	for i := range f.members {
		m := &f.members[i]
		m.Usage = Usage{
			Member:     f.names[i],
			ReportedAt: now,
			HalfEpoch:  f.cfg.halfEpoch(now),
			UsedBefore: m.Used,
			Used:       map[string]Amounts{},
			Demand: map[string]Amounts{
				"acme/web": {Setups: float64(rapid.IntRange(0, 20).Draw(t, "demand"))},
			},
		}
		for j := range f.members {
			if j == i || m.side == f.members[j].side && rapid.IntRange(0, 2).Draw(t, "received") > 0 {
				f.members[j].received[f.names[i]] = m.Usage
			}
		}
	}
}

// spend makes each member compute its lease, with each report received twice, and use some of it.
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

// spentInEpoch returns the set-ups of all members on a path in the last two half epochs.
func (f *testFleet) spentInEpoch(path string) (sum float64) {
	for _, m := range f.members {
		sum += m.Used[path].Setups + m.UsedBefore[path].Setups
	}
	return sum
}

// bound returns the maximum number of tokens that all members may spend of a limit in an epoch.
func (f *testFleet) bound(limit float64) float64 {
	count, withoutMajority := float64(len(f.members)), float64(f.withoutMajority)
	switch {
	case withoutMajority == 0:
		return math.Floor(limit) + 1
	case withoutMajority < count:
		return math.Floor(limit) + 1 + limit*withoutMajority/count + 2*withoutMajority
	}
	return limit*(count-withoutMajority)/count + limit*withoutMajority/count + 2*withoutMajority
}
