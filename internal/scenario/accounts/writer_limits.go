package accounts

import (
	"context"

	"coralrelay/internal/fleet/account"
)

// setRateOp sets a team's setup rate and keeps its other limits.
func setRateOp(t *team, rate float64, shrink string) account.Op {
	node := t.initialNode()
	node.Limits.SetupRate = rate
	return account.Op{Kind: account.SetLimits, Path: t.path, Node: node, ShrinkPolicy: shrink}
}

// initialRate is the setup rate that a team has at first.
func (t *team) initialRate() float64 { return t.initialNode().Limits.SetupRate }

// drawRate draws a rate around a team's initial one: some are more than its parent can give.
func (w *writer) drawRate(t *team) float64 {
	return t.initialRate() * (0.4 + 1.4*w.rng.Float64())
}

func (w *writer) randomChild() *team { return w.children[w.rng.IntN(len(w.children))] }

// changeLimits shrinks or grows a child. Where it shrinks below what its own children hold, it is
// refused or they shrink.
func (w *writer) changeLimits(_ context.Context) {
	child := w.randomChild()
	policies := [...]string{"", account.ShrinkProportionally, account.ShrinkByPriority}
	shrink := policies[w.rng.IntN(len(policies))]
	base := w.observedTree()
	w.propose(w.key, base, "limits", "", setRateOp(child, w.drawRate(child), shrink))
}

// raceShrinkAndGrow has the parent shrink this team, and this team grow a child, at the same moment.
func (w *writer) raceShrinkAndGrow(_ context.Context) {
	base, child := w.observedTree(), w.randomChild()
	shrink := signedChange{w.parent.key, changeOn(base, setRateOp(w.team, w.initialRate()*0.6, "")), "cut"}
	grow := signedChange{w.key, changeOn(base, setRateOp(child, child.initialRate()*1.4, "")), "grow"}
	both := w.proposeConcurrently(shrink, grow)
	if both[0].isAccepted() { // so that there is capacity again
		w.propose(w.parent.key, w.observedTree(), "regrow", "", setRateOp(w.team, w.initialRate(), ""))
	}
}

// swapLimits shrinks one child and grows another in one change.
func (w *writer) swapLimits(_ context.Context) {
	from := w.rng.IntN(len(w.children))
	one, other := w.children[from], w.children[(from+1)%len(w.children)]
	part := w.rng.Float64()
	w.propose(w.key, w.observedTree(), "swap", "",
		setRateOp(one, one.initialRate()*(1-part/2), account.ShrinkProportionally),
		setRateOp(other, other.initialRate()*(1+part/2), ""))
}

// exceedParent asks for more for a child than its parent has.
func (w *writer) exceedParent(_ context.Context) {
	const tooMuch = 10000 // requests a second
	base := w.observedTree()
	w.propose(w.key, base, "over", ruleParent, setRateOp(w.randomChild(), tooMuch, ""))
}
