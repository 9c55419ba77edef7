package zonestatus

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const epoch = 1_790_000_000 * time.Second

// world is a fleet whose faults a test sets: members tell every 100 ms what they see, and
// what a Watch decides is applied at once.
type world struct {
	t       testing.TB
	cfg     Config
	watch   *Controller
	state   State
	now     time.Duration
	zones   []string
	per     int     // members of each zone
	servers int     // of each zone
	load    float64 // of each server
	cold    int
	bad     func(from, to string, member int) float64 // share of to's servers that fail
	mute    func(member string) bool
	log     []string // changes, by seconds
	changes int
	refused int
	all     []Member
}

func newWorld(t testing.TB, zones, per int) *world {
	w := &world{t: t, cfg: DefaultConfig(), now: epoch, per: per, servers: 4, load: 0.3,
		bad: func(string, string, int) float64 { return 0 }, mute: func(string) bool { return false }}
	for i := range zones {
		w.zones = append(w.zones, string(rune('a'+i)))
	}
	w.watch = NewController(w.cfg)
	return w
}

func (w *world) members() (all []Member) {
	if len(w.all) == w.per*len(w.zones) {
		return slices.Clone(w.all)
	}
	for _, z := range w.zones {
		for i := range w.per {
			all = append(all, Member{Name: fmt.Sprint(z, i), Zone: z, Alive: true})
		}
	}
	w.all = all
	return slices.Clone(all)
}

func (w *world) words() (all []Report) {
	for _, m := range w.members() {
		if !w.mute(m.Name) {
			all = append(all, w.word(m))
		}
	}
	return all
}

func (w *world) word(m Member) Report {
	word := Report{Member: m.Name, Zone: m.Zone, ReportedAt: w.now - 100*time.Millisecond}
	for _, to := range w.zones {
		share := w.bad(m.Zone, to, int(m.Name[len(m.Name)-1]-'0'))
		s := Observation{Zone: to, Endpoints: w.servers, Failing: int(share * float64(w.servers)), Attempts: 10, FailedAttempts: 10 * share, Load: w.load, WarmingUp: w.cold}
		if w.state.seen(m.Zone, to).Status.gone() && share < 1 {
			s.Attempts = 0 // answered probes leave no trace
		}
		word.Observations = append(word.Observations, s)
	}
	return word
}

func (w *world) step(dt time.Duration) {
	w.now += dt
	c, why, ok := w.watch.Evaluate(w.now, w.state, w.words(), w.members())
	if !ok {
		return
	}
	next, err := w.state.Apply(w.cfg, c)
	if err != nil {
		if w.refused++; w.watch.DisabledGuards == (Guards{}) {
			w.t.Fatalf("%.1f s: %s: %v", (w.now - epoch).Seconds(), why, err)
		}
		return
	}
	w.changes++
	w.state = next
	w.log = append(w.log, fmt.Sprintf("%.1f %s", (w.now-epoch).Seconds(), why))
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(100 * time.Millisecond)
	}
}

// dead makes zones' servers fail by a share for everybody.
func (w *world) dead(share float64, zones ...string) {
	w.bad = func(_, to string, _ int) float64 { return share * one(slices.Contains(zones, to)) }
}

// rows writes the state as from>to:posture, with shares that are not whole.
func rows(s State) string {
	var all []string
	for _, r := range s.Pairs {
		word := fmt.Sprintf("%s>%s:%v", r.From, r.To, r.Status)
		if !r.Status.gone() && r.Share < 1 {
			word += fmt.Sprintf(" %.2f", r.Share)
		}
		if r.Status != Active || r.Share < 1 {
			all = append(all, word)
		}
	}
	return strings.Join(all, ", ")
}
