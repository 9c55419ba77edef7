package zonestatus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const startTime = 1_790_000_000 * time.Second

// world is a fleet whose faults a test sets: members tell every 100 ms what they see, and
// what a Watch decides is applied at once.
type testFleet struct {
	t              testing.TB
	cfg            Config
	controller     *Controller
	state          State
	now            time.Duration
	zones          []string
	membersPerZone int     // members of each zone
	endpoints      int     // of each zone
	load           float64 // of each server
	warmingUp      int
	failing        func(from, to string, member int) float64 // share of to's servers that fail
	isSilent       func(member string) bool
	log            []string // changes, by seconds
	changes        int
	rejected       int
	cachedMembers  []Member
}

func newTestFleet(t testing.TB, zones, membersPerZone int) *testFleet {
	fleet := &testFleet{t: t, cfg: DefaultConfig(), now: startTime, membersPerZone: membersPerZone, endpoints: 4, load: 0.3,
		failing: func(string, string, int) float64 { return 0 }, isSilent: func(string) bool { return false }}
	for i := range zones {
		fleet.zones = append(fleet.zones, string(rune('a'+i)))
	}
	fleet.controller = NewController(fleet.cfg)
	return fleet
}

func (f *testFleet) members() (all []Member) {
	if len(f.cachedMembers) == f.membersPerZone*len(f.zones) {
		return slices.Clone(f.cachedMembers)
	}
	for _, z := range f.zones {
		for i := range f.membersPerZone {
			all = append(all, Member{Name: fmt.Sprint(z, i), Zone: z, Alive: true})
		}
	}
	f.cachedMembers = all
	return slices.Clone(all)
}

func (f *testFleet) reports() (all []Report) {
	for _, m := range f.members() {
		if !f.isSilent(m.Name) {
			all = append(all, f.report(m))
		}
	}
	return all
}

func (f *testFleet) report(member Member) Report {
	report := Report{Member: member.Name, Zone: member.Zone, ReportedAt: f.now - 100*time.Millisecond}
	for _, to := range f.zones {
		share := f.failing(member.Zone, to, int(member.Name[len(member.Name)-1]-'0'))
		observation := Observation{Zone: to, Endpoints: f.endpoints, Failing: int(share * float64(f.endpoints)), Attempts: 10, FailedAttempts: 10 * share, Load: f.load, WarmingUp: f.warmingUp}
		if f.state.pair(member.Zone, to).Status.isEvacuated() && share < 1 {
			observation.Attempts = 0 // answered probes leave no trace
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
	next, err := f.state.Apply(f.cfg, change)
	if err != nil {
		if f.rejected++; f.controller.DisabledGuards == (Guards{}) {
			f.t.Fatalf("%.1f s: %s: %v", (f.now - startTime).Seconds(), reason, err)
		}
		return
	}
	f.changes++
	f.state = next
	f.log = append(f.log, fmt.Sprintf("%.1f %s", (f.now-startTime).Seconds(), reason))
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step(100 * time.Millisecond)
	}
}

// dead makes zones' servers fail by a share for everybody.
func (f *testFleet) fail(fraction float64, zones ...string) {
	f.failing = func(_, to string, _ int) float64 { return fraction * indicator(slices.Contains(zones, to)) }
}

// rows writes the state as from>to:posture, with shares that are not whole.
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
