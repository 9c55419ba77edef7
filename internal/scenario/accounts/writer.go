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
const halfRouteName = "half"

// writer is a team that makes moves, each through agents that it draws.
type writer struct {
	*team
	scenario *scenario
	rng      *rand.Rand
	accepted []logentry.Entry // of its own, the last few
}

// move is what a writer may do, and how often.
type move struct {
	name    string
	weight  int
	applies func(*writer) bool // nil for everybody
	run     func(*writer, context.Context)
}

func hasChildren(w *writer) bool { return len(w.children) > 0 }
func isTeam(w *writer) bool      { return w.parent != nil }

var moves = []move{
	{"route", 30, nil, (*writer).putRoute}, {"no-route", 8, nil, (*writer).deleteRoute}, {"same", 8, isTeam, (*writer).raceWithParent},
	{"limits", 14, hasChildren, (*writer).changeLimits}, {"cut-and-grow", 8, func(w *writer) bool { return hasChildren(w) && isTeam(w) }, (*writer).raceShrinkAndGrow},
	{"swap", 6, func(w *writer) bool { return len(w.children) > 1 }, (*writer).swapLimits}, {"line", 10, hasChildren, (*writer).revokeChainInUse},
	{"outside", 8, isTeam, (*writer).writeOutsideSubtree}, {"over", 6, hasChildren, (*writer).exceedParent}, {"half", 6, nil, (*writer).failHalfway}, {"again", 5, nil, (*writer).replay},
}

// write makes moves until ctx ends.
func (w *writer) run(ctx context.Context) {
	var fit []move
	all := 0
	for _, m := range moves {
		if m.applies == nil || m.applies(w) {
			fit = append(fit, m)
			all += m.weight
		}
	}
	for fake.Sleep(ctx, time.Duration(w.rng.ExpFloat64()*float64(meanMovePause))) {
		n := w.rng.IntN(all)
		for _, m := range fit {
			if n -= m.weight; n < 0 {
				w.scenario.AddMetric("moves_"+m.name, 1)
				m.run(w, ctx)
				break
			}
		}
	}
}

func (w *writer) agent() string { return w.scenario.Names[w.rng.IntN(len(w.scenario.Names))] }

// seen is the tree as an agent has it that may be behind.
func (w *writer) observedTree() account.State {
	s, _ := w.scenario.watcher.tree(w.agent())
	return s
}

// propose makes a change on what was seen, by a key, and keeps it where it was taken.
func (w *writer) propose(k key, base account.State, what, never string, ops ...account.Op) *proposal {
	o := w.scenario.propose(k, w.agent(), account.Change{BaseVersion: base.Version, Ops: ops}, what, never)
	if o.isAccepted() && never == "" {
		w.accepted = append(w.accepted[max(0, len(w.accepted)-7):], o.entry)
	}
	return o
}

// both makes two changes at once.
func (w *writer) proposeConcurrently(one, other func(to string) *proposal) [2]*proposal {
	var pair [2]*proposal
	to, too := w.agent(), w.agent()
	var wg sync.WaitGroup
	wg.Go(func() { pair[0] = one(to) })
	pair[1] = other(too)
	wg.Wait()
	return pair
}

// put is a route of a team's: its tenant is the owner, so that no two teams' tie.
func (w *writer) putRouteOp(path, name string) account.Op {
	rate := float64(1 + w.rng.IntN(3))
	return account.Op{Kind: account.PutRoute, Path: path, Route: &account.Route{Name: name, Match: account.Match{Tenant: path, Group: name},
		Limits: account.Limits{Connections: 10 * rate, SetupRate: rate, RetryRate: rate / 5, ProbeRate: -1}}}
}

func (w *writer) randomRouteName() string { return fmt.Sprintf("r%d", w.rng.IntN(5)) }

func (w *writer) putRoute(_ context.Context) {
	w.propose(w.key, w.observedTree(), "route", "", w.putRouteOp(w.path, w.randomRouteName()))
}

func (w *writer) deleteRoute(_ context.Context) {
	w.propose(w.key, w.observedTree(), "no-route", "", account.Op{Kind: account.DeleteRoute, Path: w.path, Name: w.randomRouteName()})
}

// same has the team and who is above it change one route on the same base: one at most is
// taken.
func (w *writer) raceWithParent(_ context.Context) {
	base, name := w.observedTree(), w.randomRouteName()
	ours, theirs := account.Change{BaseVersion: base.Version, Ops: []account.Op{w.putRouteOp(w.path, name)}}, account.Change{BaseVersion: base.Version, Ops: []account.Op{w.putRouteOp(w.path, name)}}
	pair := w.proposeConcurrently(func(to string) *proposal { return w.scenario.propose(w.key, to, ours, "same", "") },
		func(to string) *proposal { return w.scenario.propose(w.parent.key, to, theirs, "same", "") })
	w.scenario.history.mu.Lock()
	defer w.scenario.history.mu.Unlock()
	w.scenario.history.races = append(w.scenario.history.races, pair)
}

// outside acts where the team has no say: on another team, and on its own limits.
func (w *writer) writeOutsideSubtree(_ context.Context) {
	base, all := w.observedTree(), w.scenario.tree.teams
	other := all[w.rng.IntN(len(all))]
	if other == w.team || other.parent == w.team || w.rng.IntN(4) == 0 {
		n := w.initialNode()
		n.Priority = 9
		w.propose(w.key, base, "own-limits", ruleSubtree, account.Op{Kind: account.SetLimits, Path: w.path, Node: n})
		return
	}
	w.propose(w.key, base, "outside", ruleSubtree, w.putRouteOp(other.path, w.randomRouteName()))
}

// half is a change of which the second part fails.
func (w *writer) failHalfway(_ context.Context) {
	w.propose(w.key, w.observedTree(), "half", ruleHalf, w.putRouteOp(w.path, halfRouteName), account.Op{Kind: account.DeleteNode, Path: w.path + "/none"})
}

// again brings an entry that was taken a second time, as anybody can who has kept it.
func (w *writer) replay(_ context.Context) {
	if len(w.accepted) > 0 {
		w.scenario.submit(w.accepted[w.rng.IntN(len(w.accepted))], w.agent(), "again", ruleTwice)
	}
}
