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

// The names of the rules that a single accepted change can break.
const (
	ruleParentLimit = "sums"    // the limits of children stay within their parent's
	ruleSubtree     = "subtree" // a change stays within the subtree of its key's grant
	ruleAtomic      = "half"    // a change is applied as a whole or not at all
	ruleOnce        = "twice"   // an entry is applied only once
)

// partialRouteName is the name of a route that only occurs in changes with another operation that fails, so
// no member may ever hold it.
const partialRouteName = "half"

// maxAccepted is how many of its latest accepted entries a writer keeps for replays.
const maxAccepted = 8

// writer performs random actions as one team, each through random agents.
type writer struct {
	*team
	scenario *scenario
	rng      *rand.Rand
	accepted []logentry.Entry // the latest of its own entries, at most maxAccepted
}

// action is a kind of proposal that a writer makes, with its relative frequency.
type action struct {
	name    string
	weight  int
	applies func(*writer) bool // whether a writer can perform it; nil for all writers
	run     func(*writer, context.Context)
}

func hasChildren(w *writer) bool        { return len(w.children) > 0 }
func hasTwoChildren(w *writer) bool     { return len(w.children) > 1 }
func isTeamWithChildren(w *writer) bool { return hasChildren(w) && isTeam(w) }
func isTeam(w *writer) bool             { return w.parent != nil }

var actions = []action{
	{"route", 30, nil, (*writer).putRoute},
	{"no-route", 8, nil, (*writer).deleteRoute},
	{"same", 8, isTeam, (*writer).raceWithParent},
	{"limits", 14, hasChildren, (*writer).changeLimits},
	{"cut-and-grow", 8, isTeamWithChildren, (*writer).raceShrinkAndGrow},
	{"swap", 6, hasTwoChildren, (*writer).swapLimits},
	{"line", 10, hasChildren, (*writer).revokeChainInUse},
	{"outside", 8, isTeam, (*writer).writeOutsideSubtree},
	{"over", 6, hasChildren, (*writer).exceedParent},
	{"half", 6, nil, (*writer).failHalfway},
	{"again", 5, nil, (*writer).replay},
}

// run performs random actions until ctx ends.
func (w *writer) run(ctx context.Context) {
	var applicable []action
	totalWeight := 0
	for _, a := range actions {
		if a.applies == nil || a.applies(w) {
			applicable = append(applicable, a)
			totalWeight += a.weight
		}
	}
	for fake.Sleep(ctx, time.Duration(w.rng.ExpFloat64()*float64(meanActionPause))) {
		n := w.rng.IntN(totalWeight)
		for _, a := range applicable {
			if n -= a.weight; n < 0 {
				w.scenario.AddMetric("moves_"+a.name, 1)
				a.run(w, ctx)
				break
			}
		}
	}
}

// agent returns the name of a random agent.
func (w *writer) agent() string { return w.scenario.Names[w.rng.IntN(len(w.scenario.Names))] }

// observedTree returns the last tree of a random agent, which may be behind the log.
func (w *writer) observedTree() account.State {
	s, _ := w.scenario.watcher.tree(w.agent())
	return s
}

// propose signs a change based on an observed tree and proposes it to a random agent. An accepted entry
// that breaks no rule is kept for replays.
func (w *writer) propose(k key, base account.State, label, brokenRule string, ops ...account.Op) *proposal {
	p := w.scenario.propose(k, w.agent(), changeOn(base, ops...), label, brokenRule)
	if p.isAccepted() && brokenRule == "" {
		w.accepted = append(w.accepted[max(0, len(w.accepted)-maxAccepted+1):], p.entry)
	}
	return p
}

// signedChange is a change with the key that is to sign it.
type signedChange struct {
	key    key
	change account.Change
	label  string
}

// proposeConcurrently proposes two changes concurrently, each to a random agent.
func (w *writer) proposeConcurrently(one, other signedChange) race {
	var both race
	agent, otherAgent := w.agent(), w.agent()
	var wg sync.WaitGroup
	wg.Go(func() { both[0] = w.scenario.propose(one.key, agent, one.change, one.label, "") })
	both[1] = w.scenario.propose(other.key, otherAgent, other.change, other.label, "")
	wg.Wait()
	return both
}

// putRouteOp returns the operation that puts a route of a team. The route matches the team's path as
// tenant, so that the routes of two teams do not conflict.
func (w *writer) putRouteOp(path, name string) account.Op {
	rate := float64(1 + w.rng.IntN(3))
	route := &account.Route{
		Name:   name,
		Match:  account.Match{Tenant: path, Group: name},
		Limits: account.Limits{Connections: 10 * rate, SetupRate: rate, RetryRate: rate / 5, ProbeRate: -1},
	}
	return account.Op{Kind: account.PutRoute, Path: path, Route: route}
}

func (w *writer) randomRouteName() string { return fmt.Sprintf("r%d", w.rng.IntN(5)) }

func (w *writer) putRoute(_ context.Context) {
	w.propose(w.key, w.observedTree(), "route", "", w.putRouteOp(w.path, w.randomRouteName()))
}

func (w *writer) deleteRoute(_ context.Context) {
	base := w.observedTree()
	w.propose(w.key, base, "no-route", "",
		account.Op{Kind: account.DeleteRoute, Path: w.path, Name: w.randomRouteName()})
}

// raceWithParent proposes changes of one route by the team and by its parent concurrently, with the same
// base version: at most one of them may be accepted.
func (w *writer) raceWithParent(_ context.Context) {
	base, name := w.observedTree(), w.randomRouteName()
	ours := signedChange{w.key, changeOn(base, w.putRouteOp(w.path, name)), "same"}
	theirs := signedChange{w.parent.key, changeOn(base, w.putRouteOp(w.path, name)), "same"}
	w.scenario.history.addRace(w.proposeConcurrently(ours, theirs))
}

// writeOutsideSubtree proposes a change that the team has no permission for: a route of another team, or
// the team's own limits.
func (w *writer) writeOutsideSubtree(_ context.Context) {
	base, all := w.observedTree(), w.scenario.tree.teams
	other := all[w.rng.IntN(len(all))]
	if other == w.team || other.parent == w.team || w.rng.IntN(4) == 0 {
		node := w.initialNode()
		node.Priority = 9
		w.propose(w.key, base, "own-limits", ruleSubtree,
			account.Op{Kind: account.SetLimits, Path: w.path, Node: node})
		return
	}
	w.propose(w.key, base, "outside", ruleSubtree, w.putRouteOp(other.path, w.randomRouteName()))
}

// failHalfway proposes a change whose first operation is valid and whose second fails.
func (w *writer) failHalfway(_ context.Context) {
	base := w.observedTree()
	w.propose(w.key, base, "half", ruleAtomic, w.putRouteOp(w.path, partialRouteName),
		account.Op{Kind: account.DeleteNode, Path: w.path + "/none"})
}

// replay submits an accepted entry a second time, which anyone with a copy of the entry can do.
func (w *writer) replay(_ context.Context) {
	if len(w.accepted) > 0 {
		w.scenario.submit(w.accepted[w.rng.IntN(len(w.accepted))], w.agent(), "again", ruleOnce)
	}
}
