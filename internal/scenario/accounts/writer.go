package accounts

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/logentry"
)

// The rules that a taken change may break by itself.
const (
	ruleParent  = "sums"
	ruleSubtree = "subtree"
	ruleHalf    = "half"
	ruleTwice   = "twice"
)

// neverThere is a route that comes in changes alone of which another part fails.
const neverThere = "half"

// writer is a team that makes moves, each through agents that it draws.
type writer struct {
	*team
	scene *scene
	rng   *rand.Rand
	taken []logentry.Entry // of its own, the last few
}

// move is what a writer may do, and how often.
type move struct {
	name string
	part int
	fit  func(*writer) bool // nil for everybody
	do   func(*writer, context.Context)
}

func hasTeams(w *writer) bool { return len(w.below) > 0 }
func isTeam(w *writer) bool   { return w.above != nil }

var moves = []move{
	{"route", 30, nil, (*writer).route0}, {"no-route", 8, nil, (*writer).noRoute}, {"same", 8, isTeam, (*writer).same},
	{"limits", 14, hasTeams, (*writer).limits}, {"cut-and-grow", 8, func(w *writer) bool { return hasTeams(w) && isTeam(w) }, (*writer).cutAndGrow},
	{"swap", 6, func(w *writer) bool { return len(w.below) > 1 }, (*writer).swap}, {"line", 10, hasTeams, (*writer).line},
	{"outside", 8, isTeam, (*writer).outside}, {"over", 6, hasTeams, (*writer).over}, {"half", 6, nil, (*writer).half}, {"again", 5, nil, (*writer).again},
}

// write makes moves until ctx ends.
func (w *writer) write(ctx context.Context) {
	var fit []move
	all := 0
	for _, m := range moves {
		if m.fit == nil || m.fit(w) {
			fit = append(fit, m)
			all += m.part
		}
	}
	for fake.Sleep(ctx, time.Duration(w.rng.ExpFloat64()*float64(pause))) {
		n := w.rng.IntN(all)
		for _, m := range fit {
			if n -= m.part; n < 0 {
				w.scene.AddMetric("moves_"+m.name, 1)
				m.do(w, ctx)
				break
			}
		}
	}
}

func (w *writer) agent() string { return w.scene.Names[w.rng.IntN(len(w.scene.Names))] }

// seen is the tree as an agent has it that may be behind.
func (w *writer) seen() account.State {
	s, _ := w.scene.watch.tree(w.agent())
	return s
}

// propose makes a change on what was seen, by a key, and keeps it where it was taken.
func (w *writer) propose(k key, base account.State, what, never string, ops ...account.Op) *op {
	o := w.scene.propose(k, w.agent(), account.Change{BaseVersion: base.Version, Ops: ops}, what, never)
	if o.taken() && never == "" {
		w.taken = append(w.taken[max(0, len(w.taken)-7):], o.entry)
	}
	return o
}

// both makes two changes at once.
func (w *writer) both(one, other func(to string) *op) [2]*op {
	var pair [2]*op
	to, too := w.agent(), w.agent()
	var wg sync.WaitGroup
	wg.Go(func() { pair[0] = one(to) })
	pair[1] = other(too)
	wg.Wait()
	return pair
}

// put is a route of a team's: its tenant is the owner, so that no two teams' tie.
func (w *writer) put(path, name string) account.Op {
	rate := float64(1 + w.rng.IntN(3))
	return account.Op{Kind: account.PutRoute, Path: path, Route: &account.Route{Name: name, Match: account.Match{Tenant: path, Group: name},
		Limits: account.Limits{Connections: 10 * rate, SetupRate: rate, RetryRate: rate / 5, ProbeRate: -1}}}
}

func (w *writer) name() string { return fmt.Sprintf("r%d", w.rng.IntN(5)) }

func (w *writer) route0(_ context.Context) {
	w.propose(w.key, w.seen(), "route", "", w.put(w.path, w.name()))
}

func (w *writer) noRoute(_ context.Context) {
	w.propose(w.key, w.seen(), "no-route", "", account.Op{Kind: account.DeleteRoute, Path: w.path, Name: w.name()})
}

// same has the team and who is above it change one route on the same base: one at most is
// taken.
func (w *writer) same(_ context.Context) {
	base, name := w.seen(), w.name()
	ours, theirs := account.Change{BaseVersion: base.Version, Ops: []account.Op{w.put(w.path, name)}}, account.Change{BaseVersion: base.Version, Ops: []account.Op{w.put(w.path, name)}}
	pair := w.both(func(to string) *op { return w.scene.propose(w.key, to, ours, "same", "") },
		func(to string) *op { return w.scene.propose(w.above.key, to, theirs, "same", "") })
	w.scene.log.mu.Lock()
	defer w.scene.log.mu.Unlock()
	w.scene.log.races = append(w.scene.log.races, pair)
}

// outside acts where the team has no say: on another team, and on its own limits.
func (w *writer) outside(_ context.Context) {
	base, all := w.seen(), w.scene.tree.teams
	other := all[w.rng.IntN(len(all))]
	if other == w.team || other.above == w.team || w.rng.IntN(4) == 0 {
		n := w.node()
		n.Priority = 9
		w.propose(w.key, base, "own-limits", ruleSubtree, account.Op{Kind: account.SetLimits, Path: w.path, Node: n})
		return
	}
	w.propose(w.key, base, "outside", ruleSubtree, w.put(other.path, w.name()))
}

// half is a change of which the second part fails.
func (w *writer) half(_ context.Context) {
	w.propose(w.key, w.seen(), "half", ruleHalf, w.put(w.path, neverThere), account.Op{Kind: account.DeleteNode, Path: w.path + "/none"})
}

// again brings an entry that was taken a second time, as anybody can who has kept it.
func (w *writer) again(_ context.Context) {
	if len(w.taken) > 0 {
		w.scene.bring(w.taken[w.rng.IntN(len(w.taken))], w.agent(), "again", ruleTwice)
	}
}
