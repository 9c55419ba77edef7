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

func newTestFleet(t testing.TB, zones, per int) *testFleet {
	w := &testFleet{t: t, cfg: DefaultConfig(), now: startTime, membersPerZone: per, endpoints: 4, load: 0.3,
		failing: func(string, string, int) float64 { return 0 }, isSilent: func(string) bool { return false }}
	for i := range zones {
		w.zones = append(w.zones, string(rune('a'+i)))
	}
	w.controller = NewController(w.cfg)
	return w
}

func (w *testFleet) members() (all []Member) {
	if len(w.cachedMembers) == w.membersPerZone*len(w.zones) {
		return slices.Clone(w.cachedMembers)
	}
	for _, z := range w.zones {
		for i := range w.membersPerZone {
			all = append(all, Member{Name: fmt.Sprint(z, i), Zone: z, Alive: true})
		}
	}
	w.cachedMembers = all
	return slices.Clone(all)
}

func (w *testFleet) reports() (all []Report) {
	for _, m := range w.members() {
		if !w.isSilent(m.Name) {
			all = append(all, w.report(m))
		}
	}
	return all
}

func (w *testFleet) report(m Member) Report {
	word := Report{Member: m.Name, Zone: m.Zone, ReportedAt: w.now - 100*time.Millisecond}
	for _, to := range w.zones {
		share := w.failing(m.Zone, to, int(m.Name[len(m.Name)-1]-'0'))
		s := Observation{Zone: to, Endpoints: w.endpoints, Failing: int(share * float64(w.endpoints)), Attempts: 10, FailedAttempts: 10 * share, Load: w.load, WarmingUp: w.warmingUp}
		if w.state.pair(m.Zone, to).Status.isEvacuated() && share < 1 {
			s.Attempts = 0 // answered probes leave no trace
		}
		word.Observations = append(word.Observations, s)
	}
	return word
}

func (w *testFleet) step(dt time.Duration) {
	w.now += dt
	c, why, ok := w.controller.Evaluate(w.now, w.state, w.reports(), w.members())
	if !ok {
		return
	}
	next, err := w.state.Apply(w.cfg, c)
	if err != nil {
		if w.rejected++; w.controller.DisabledGuards == (Guards{}) {
			w.t.Fatalf("%.1f s: %s: %v", (w.now - startTime).Seconds(), why, err)
		}
		return
	}
	w.changes++
	w.state = next
	w.log = append(w.log, fmt.Sprintf("%.1f %s", (w.now-startTime).Seconds(), why))
}

func (w *testFleet) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(100 * time.Millisecond)
	}
}

// dead makes zones' servers fail by a share for everybody.
func (w *testFleet) fail(share float64, zones ...string) {
	w.failing = func(_, to string, _ int) float64 { return share * indicator(slices.Contains(zones, to)) }
}

// rows writes the state as from>to:posture, with shares that are not whole.
func describe(s State) string {
	var all []string
	for _, r := range s.Pairs {
		word := fmt.Sprintf("%s>%s:%v", r.From, r.To, r.Status)
		if !r.Status.isEvacuated() && r.Share < 1 {
			word += fmt.Sprintf(" %.2f", r.Share)
		}
		if r.Status != Active || r.Share < 1 {
			all = append(all, word)
		}
	}
	return strings.Join(all, ", ")
}
