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

// The rules that an accepted change may break by itself.
const (
	ruleParent  = "sums"    // children hold more than their parent
	ruleSubtree = "subtree" // it reaches outside the key's subtree
	ruleHalf    = "half"    // a change is applied in part
	ruleTwice   = "twice"   // an entry is applied twice
)

// halfRouteName is the name of a route that is only put by changes of which another part fails.
const halfRouteName = "half"

// maxAccepted is how many of its accepted entries a writer keeps to replay.
const maxAccepted = 8

// writer is a team that makes moves, each through random agents.
type writer struct {
	*team
	scenario *scenario
	rng      *rand.Rand
	accepted []logentry.Entry // the last few of its own
}

// move is something that a writer does, and how often.
type move struct {
	name    string
	weight  int
	applies func(*writer) bool // nil for all writers
	run     func(*writer, context.Context)
}

func hasChildren(w *writer) bool        { return len(w.children) > 0 }
func hasTwoChildren(w *writer) bool     { return len(w.children) > 1 }
func isTeamWithChildren(w *writer) bool { return hasChildren(w) && isTeam(w) }
func isTeam(w *writer) bool             { return w.parent != nil }

var moves = []move{
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

// run makes moves until ctx ends.
func (w *writer) run(ctx context.Context) {
	var applicable []move
	totalWeight := 0
	for _, m := range moves {
		if m.applies == nil || m.applies(w) {
			applicable = append(applicable, m)
			totalWeight += m.weight
		}
	}
	for fake.Sleep(ctx, time.Duration(w.rng.ExpFloat64()*float64(meanMovePause))) {
		n := w.rng.IntN(totalWeight)
		for _, m := range applicable {
			if n -= m.weight; n < 0 {
				w.scenario.AddMetric("moves_"+m.name, 1)
				m.run(w, ctx)
				break
			}
		}
	}
}

func (w *writer) agent() string { return w.scenario.Names[w.rng.IntN(len(w.scenario.Names))] }

// observedTree returns the tree of a random agent, which may be behind.
func (w *writer) observedTree() account.State {
	s, _ := w.scenario.watcher.tree(w.agent())
	return s
}

// propose proposes a change of an observed tree, signed by a key, and keeps the entry if it was
// accepted.
func (w *writer) propose(k key, base account.State, label, brokenRule string, ops ...account.Op) *proposal {
	o := w.scenario.propose(k, w.agent(), changeOn(base, ops...), label, brokenRule)
	if o.isAccepted() && brokenRule == "" {
		w.accepted = append(w.accepted[max(0, len(w.accepted)-maxAccepted+1):], o.entry)
	}
	return o
}

// signedChange is a change with the key that signs it.
type signedChange struct {
	key    key
	change account.Change
	label  string
}

// proposeConcurrently proposes two changes at the same moment, each to a random agent.
func (w *writer) proposeConcurrently(one, other signedChange) race {
	var both race
	agent, otherAgent := w.agent(), w.agent()
	var wg sync.WaitGroup
	wg.Go(func() { both[0] = w.scenario.propose(one.key, agent, one.change, one.label, "") })
	both[1] = w.scenario.propose(other.key, otherAgent, other.change, other.label, "")
	wg.Wait()
	return both
}

// putRouteOp puts a route of a team. Its tenant is the team, so that no two teams' routes conflict.
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

// raceWithParent has the team and its parent change one route on the same base version: at most one
// is accepted.
func (w *writer) raceWithParent(_ context.Context) {
	base, name := w.observedTree(), w.randomRouteName()
	ours := signedChange{w.key, changeOn(base, w.putRouteOp(w.path, name)), "same"}
	theirs := signedChange{w.parent.key, changeOn(base, w.putRouteOp(w.path, name)), "same"}
	w.scenario.history.addRace(w.proposeConcurrently(ours, theirs))
}

// writeOutsideSubtree writes where the team has no permission: to another team, or its own limits.
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

// failHalfway proposes a change of which the second part fails.
func (w *writer) failHalfway(_ context.Context) {
	base := w.observedTree()
	w.propose(w.key, base, "half", ruleHalf, w.putRouteOp(w.path, halfRouteName),
		account.Op{Kind: account.DeleteNode, Path: w.path + "/none"})
}

// replay submits an accepted entry a second time, as anyone can who has a copy of it.
func (w *writer) replay(_ context.Context) {
	if len(w.accepted) > 0 {
		w.scenario.submit(w.accepted[w.rng.IntN(len(w.accepted))], w.agent(), "again", ruleTwice)
	}
}
