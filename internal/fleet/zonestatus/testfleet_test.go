package zonestatus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const startTime = 1_790_000_000 * time.Second

// testFleet is a simulated fleet with faults that a test sets. At each step the members' reports
// are 100 ms old, and the change that the Controller proposes is applied immediately.
type testFleet struct {
	t              testing.TB
	cfg            Config
	controller     *Controller
	state          State
	now            time.Duration
	zones          []string
	membersPerZone int
	endpoints      int                                       // of each zone
	load           float64                                   // of each endpoint
	warmingUp      int                                       // endpoints of each zone
	failing        func(from, to string, member int) float64 // fraction of to's endpoints
	isSilent       func(member string) bool
	log            []string // time in seconds and reason of each change
	changes        int
	rejected       int
	cachedMembers  []Member
}

func newTestFleet(t testing.TB, zones, membersPerZone int) *testFleet {
	fleet := &testFleet{
		t:              t,
		cfg:            DefaultConfig(),
		now:            startTime,
		membersPerZone: membersPerZone,
		endpoints:      4,
		load:           0.3,
		failing:        func(string, string, int) float64 { return 0 },
		isSilent:       func(string) bool { return false },
	}
	for i := range zones {
		fleet.zones = append(fleet.zones, string(rune('a'+i)))
	}
	fleet.controller = NewController(fleet.cfg)
	return fleet
}

func (f *testFleet) members() (members []Member) {
	if len(f.cachedMembers) == f.membersPerZone*len(f.zones) {
		return slices.Clone(f.cachedMembers)
	}
	for _, zone := range f.zones {
		for i := range f.membersPerZone {
			members = append(members, Member{Name: fmt.Sprint(zone, i), Zone: zone, Alive: true})
		}
	}
	f.cachedMembers = members
	return slices.Clone(members)
}

func (f *testFleet) reports() (reports []Report) {
	for _, member := range f.members() {
		if !f.isSilent(member.Name) {
			reports = append(reports, f.report(member))
		}
	}
	return reports
}

func (f *testFleet) report(member Member) Report {
	report := Report{Member: member.Name, Zone: member.Zone, ReportedAt: f.now - 100*time.Millisecond}
	index := int(member.Name[len(member.Name)-1] - '0')
	for _, to := range f.zones {
		fraction := f.failing(member.Zone, to, index)
		observation := Observation{
			Zone:           to,
			Endpoints:      f.endpoints,
			Failing:        int(fraction * float64(f.endpoints)),
			Attempts:       10,
			FailedAttempts: 10 * fraction,
			Load:           f.load,
			WarmingUp:      f.warmingUp,
		}
		if f.state.pair(member.Zone, to).Status.isEvacuated() && fraction < 1 {
			observation.Attempts = 0 // successful health checks are not counted
		}
		report.Observations = append(report.Observations, observation)
	}
	return report
}

func (f *testFleet) step(dt time.Duration) {
	f.now += dt
	change, reason, ok := f.controller.Evaluate(f.now, f.state, f.reports(), f.members())
	if !ok {
		return
	}
	seconds := (f.now - startTime).Seconds()
	next, err := f.state.Apply(f.cfg, change)
	if err != nil {
		f.rejected++
		if f.controller.DisabledGuards == (Guards{}) {
			f.t.Fatalf("%.1f s: %s: %v", seconds, reason, err)
		}
		return
	}
	f.changes++
	f.state = next
	f.log = append(f.log, fmt.Sprintf("%.1f %s", seconds, reason))
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step(100 * time.Millisecond)
	}
}

// fail makes a fraction of the zones' endpoints fail as observed from all zones.
func (f *testFleet) fail(fraction float64, zones ...string) {
	f.failing = func(_, to string, _ int) float64 { return fraction * indicator(slices.Contains(zones, to)) }
}

func (f *testFleet) transcript() string { return strings.Join(f.log, "\n") }

// isAllActive reports whether every pair is active with share 1 and nothing is shed.
func (f *testFleet) isAllActive() bool { return describe(f.state) == "" && f.state.Shed == 0 }

// describe formats the pairs that are not active with share 1 as from>to:status. Shares below 1
// follow the status.
func describe(s State) string {
	var parts []string
	for _, pair := range s.Pairs {
		text := fmt.Sprintf("%s>%s:%v", pair.From, pair.To, pair.Status)
		if !pair.Status.isEvacuated() && pair.Share < 1 {
			text += fmt.Sprintf(" %.2f", pair.Share)
		}
		if pair.Status != Active || pair.Share < 1 {
			parts = append(parts, text)
		}
	}
	return strings.Join(parts, ", ")
}

func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
