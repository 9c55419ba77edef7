package accounts

import (
	"context"

	"coralrelay/internal/fleet/account"
)

// set replaces a team's limits.
func set(t *team, rate float64, shrink string) account.Op {
	n := t.node()
	n.Limits.SetupRate = rate
	return account.Op{Kind: account.SetLimits, Path: t.path, Node: n, ShrinkPolicy: shrink}
}

// draw is a rate about what a team has at first: some are more than its parent can give.
func (w *writer) draw(t *team) float64 {
	return t.node().Limits.SetupRate * (0.4 + 1.4*w.rng.Float64())
}

func (w *writer) child() *team { return w.below[w.rng.IntN(len(w.below))] }

// limits cuts or grows a team below; where it is cut below what its own hold, it is refused
// or they shrink.
func (w *writer) limits(_ context.Context) {
	t := w.child()
	shrink := [3]string{"", account.ShrinkProportionally, account.ShrinkByPriority}[w.rng.IntN(3)]
	w.propose(w.key, w.seen(), "limits", "", set(t, w.draw(t), shrink))
}

// cutAndGrow has who is above cut this team, and this team grow one of its own, at once.
func (w *writer) cutAndGrow(_ context.Context) {
	base, t := w.seen(), w.child()
	cut := account.Change{BaseVersion: base.Version, Ops: []account.Op{set(w.team, w.node().Limits.SetupRate*0.6, "")}}
	grow := account.Change{BaseVersion: base.Version, Ops: []account.Op{set(t, t.node().Limits.SetupRate*1.4, "")}}
	pair := w.both(func(to string) *op { return w.scene.propose(w.above.key, to, cut, "cut", "") },
		func(to string) *op { return w.scene.propose(w.key, to, grow, "grow", "") })
	if pair[0].taken() { // so that there is room again
		w.propose(w.above.key, w.seen(), "regrow", "", set(w.team, w.node().Limits.SetupRate, ""))
	}
}

// swap takes from one team below and gives to another, together.
func (w *writer) swap(_ context.Context) {
	from := w.rng.IntN(len(w.below))
	one, other := w.below[from], w.below[(from+1)%len(w.below)]
	part := w.rng.Float64()
	w.propose(w.key, w.seen(), "swap", "", set(one, one.node().Limits.SetupRate*(1-part/2), account.ShrinkProportionally), set(other, other.node().Limits.SetupRate*(1+part/2), ""))
}

// over asks for a team more than its parent has.
func (w *writer) over(_ context.Context) {
	w.propose(w.key, w.seen(), "over", ruleParent, set(w.child(), 10000, ""))
}

// line hands a grant on, has who got it hand it on once more, and revokes it while it is
// used. It is tried again by the last in the line once it is known to be revoked.
func (w *writer) line(ctx context.Context) {
	first, err := newKey()
	second, err2 := newKey()
	if err != nil || err2 != nil {
		return
	}
	base, ok := w.after(ctx, w.propose(w.key, w.seen(), "grant", "", give(first, w.path, 1, account.PermissionRoutes, account.PermissionGrants)))
	if !ok {
		return
	}
	base, ok = w.after(ctx, w.propose(first, base, "grant-on", "", give(second, w.path, 0, account.PermissionRoutes)))
	revoke := account.Change{BaseVersion: base.Version, Ops: []account.Op{{Kind: account.RevokeGrant, Path: w.path, Name: first.name()}}}
	use := func() account.Change {
		return account.Change{BaseVersion: base.Version, Ops: []account.Op{w.put(w.path, "line")}}
	}
	used := use()
	var pair [2]*op
	if ok {
		pair = w.both(func(to string) *op { return w.scene.propose(w.key, to, revoke, "revoke", "") },
			func(to string) *op { return w.scene.propose(second, to, used, "use", "") })
	} else { // it is taken back all the same
		pair[0] = w.scene.propose(w.key, w.agent(), revoke, "revoke", "")
	}
	if base, ok = w.after(ctx, pair[0]); !ok {
		return
	}
	w.scene.log.mu.Lock()
	w.scene.log.lines = append(w.scene.log.lines, line{[]string{first.name(), second.name()}, pair[0].out.Index})
	w.scene.log.mu.Unlock()
	w.scene.propose(second, w.agent(), use(), "use-revoked", "")
	w.scene.propose(first, w.agent(), account.Change{BaseVersion: base.Version, Ops: []account.Op{give(second, w.path, 0, account.PermissionRoutes)}}, "grant-revoked", "")
}

// after is the tree as soon as some agent has what was taken; not ok where it was not.
func (w *writer) after(ctx context.Context, o *op) (account.State, bool) {
	to := w.agent()
	ok := o.taken() && w.scene.watch.await(ctx, to, o.out.Index)
	s, _ := w.scene.watch.tree(to)
	return s, ok
}
