package accounts

import (
	"context"

	"coralrelay/internal/fleet/account"
)

// set replaces a team's limits.
func setRateOp(t *team, rate float64, shrink string) account.Op {
	n := t.initialNode()
	n.Limits.SetupRate = rate
	return account.Op{Kind: account.SetLimits, Path: t.path, Node: n, ShrinkPolicy: shrink}
}

// draw is a rate about what a team has at first: some are more than its parent can give.
func (w *writer) drawRate(t *team) float64 {
	return t.initialNode().Limits.SetupRate * (0.4 + 1.4*w.rng.Float64())
}

func (w *writer) randomChild() *team { return w.children[w.rng.IntN(len(w.children))] }

// limits cuts or grows a team below; where it is cut below what its own hold, it is refused
// or they shrink.
func (w *writer) changeLimits(_ context.Context) {
	t := w.randomChild()
	shrink := [3]string{"", account.ShrinkProportionally, account.ShrinkByPriority}[w.rng.IntN(3)]
	w.propose(w.key, w.observedTree(), "limits", "", setRateOp(t, w.drawRate(t), shrink))
}

// cutAndGrow has who is above cut this team, and this team grow one of its own, at once.
func (w *writer) raceShrinkAndGrow(_ context.Context) {
	base, t := w.observedTree(), w.randomChild()
	cut := account.Change{BaseVersion: base.Version, Ops: []account.Op{setRateOp(w.team, w.initialNode().Limits.SetupRate*0.6, "")}}
	grow := account.Change{BaseVersion: base.Version, Ops: []account.Op{setRateOp(t, t.initialNode().Limits.SetupRate*1.4, "")}}
	pair := w.proposeConcurrently(func(to string) *proposal { return w.scenario.propose(w.parent.key, to, cut, "cut", "") },
		func(to string) *proposal { return w.scenario.propose(w.key, to, grow, "grow", "") })
	if pair[0].isAccepted() { // so that there is room again
		w.propose(w.parent.key, w.observedTree(), "regrow", "", setRateOp(w.team, w.initialNode().Limits.SetupRate, ""))
	}
}

// swap takes from one team below and gives to another, together.
func (w *writer) swapLimits(_ context.Context) {
	from := w.rng.IntN(len(w.children))
	one, other := w.children[from], w.children[(from+1)%len(w.children)]
	part := w.rng.Float64()
	w.propose(w.key, w.observedTree(), "swap", "", setRateOp(one, one.initialNode().Limits.SetupRate*(1-part/2), account.ShrinkProportionally), setRateOp(other, other.initialNode().Limits.SetupRate*(1+part/2), ""))
}

// over asks for a team more than its parent has.
func (w *writer) exceedParent(_ context.Context) {
	w.propose(w.key, w.observedTree(), "over", ruleParent, setRateOp(w.randomChild(), 10000, ""))
}

// line hands a grant on, has who got it hand it on once more, and revokes it while it is
// used. It is tried again by the last in the line once it is known to be revoked.
func (w *writer) revokeChainInUse(ctx context.Context) {
	first, err := newKey()
	second, err2 := newKey()
	if err != nil || err2 != nil {
		return
	}
	base, ok := w.waitForTree(ctx, w.propose(w.key, w.observedTree(), "grant", "", createGrantOp(first, w.path, 1, account.PermissionRoutes, account.PermissionGrants)))
	if !ok {
		return
	}
	base, ok = w.waitForTree(ctx, w.propose(first, base, "grant-on", "", createGrantOp(second, w.path, 0, account.PermissionRoutes)))
	revoke := account.Change{BaseVersion: base.Version, Ops: []account.Op{{Kind: account.RevokeGrant, Path: w.path, Name: first.name()}}}
	use := func() account.Change {
		return account.Change{BaseVersion: base.Version, Ops: []account.Op{w.putRouteOp(w.path, "line")}}
	}
	used := use()
	var pair [2]*proposal
	if ok {
		pair = w.proposeConcurrently(func(to string) *proposal { return w.scenario.propose(w.key, to, revoke, "revoke", "") },
			func(to string) *proposal { return w.scenario.propose(second, to, used, "use", "") })
	} else { // it is taken back all the same
		pair[0] = w.scenario.propose(w.key, w.agent(), revoke, "revoke", "")
	}
	if base, ok = w.waitForTree(ctx, pair[0]); !ok {
		return
	}
	w.scenario.history.mu.Lock()
	w.scenario.history.revokedChains = append(w.scenario.history.revokedChains, grantChain{[]string{first.name(), second.name()}, pair[0].outcome.Index})
	w.scenario.history.mu.Unlock()
	w.scenario.propose(second, w.agent(), use(), "use-revoked", "")
	w.scenario.propose(first, w.agent(), account.Change{BaseVersion: base.Version, Ops: []account.Op{createGrantOp(second, w.path, 0, account.PermissionRoutes)}}, "grant-revoked", "")
}

// after is the tree as soon as some agent has what was taken; not ok where it was not.
func (w *writer) waitForTree(ctx context.Context, o *proposal) (account.State, bool) {
	to := w.agent()
	ok := o.isAccepted() && w.scenario.watcher.waitForIndex(ctx, to, o.outcome.Index)
	s, _ := w.scenario.watcher.tree(to)
	return s, ok
}
