package accounts

import (
	"context"

	"coralrelay/internal/fleet/account"
)

// setRateOp returns the operation that sets a team's setup rate, and its other limits to the initial ones.
func setRateOp(t *team, rate float64, shrink string) account.Op {
	node := t.initialNode()
	node.Limits.SetupRate = rate
	return account.Op{Kind: account.SetLimits, Path: t.path, Node: node, ShrinkPolicy: shrink}
}

// initialRate returns the setup rate that a team is created with.
func (t *team) initialRate() float64 { return t.initialNode().Limits.SetupRate }

// randomRate returns a random rate around a team's initial one. Some of these rates exceed what is left
// of the parent's limit.
func (w *writer) randomRate(t *team) float64 {
	return t.initialRate() * (0.4 + 1.4*w.rng.Float64())
}

func (w *writer) randomChild() *team { return w.children[w.rng.IntN(len(w.children))] }

// changeLimits shrinks or grows the limits of a child. If it shrinks them below the sum of what the
// child's own children hold, the change is rejected or their limits shrink, depending on its policy.
func (w *writer) changeLimits(_ context.Context) {
	child := w.randomChild()
	policies := [...]string{"", account.ShrinkProportionally, account.ShrinkByPriority}
	shrink := policies[w.rng.IntN(len(policies))]
	base := w.observedTree()
	w.propose(w.key, base, "limits", "", setRateOp(child, w.randomRate(child), shrink))
}

// raceShrinkAndGrow proposes two changes concurrently: the parent shrinks this team's limits, and this
// team grows those of a child.
func (w *writer) raceShrinkAndGrow(_ context.Context) {
	base, child := w.observedTree(), w.randomChild()
	shrink := signedChange{w.parent.key, changeOn(base, setRateOp(w.team, w.initialRate()*0.6, "")), "cut"}
	grow := signedChange{w.key, changeOn(base, setRateOp(child, child.initialRate()*1.4, "")), "grow"}
	both := w.proposeConcurrently(shrink, grow)
	if both[0].isAccepted() { // restores the team's capacity
		w.propose(w.parent.key, w.observedTree(), "regrow", "", setRateOp(w.team, w.initialRate(), ""))
	}
}

// swapLimits shrinks the limits of one child and grows those of another in a single change.
func (w *writer) swapLimits(_ context.Context) {
	from := w.rng.IntN(len(w.children))
	one, other := w.children[from], w.children[(from+1)%len(w.children)]
	part := w.rng.Float64()
	w.propose(w.key, w.observedTree(), "swap", "",
		setRateOp(one, one.initialRate()*(1-part/2), account.ShrinkProportionally),
		setRateOp(other, other.initialRate()*(1+part/2), ""))
}

// exceedParent proposes limits for a child that exceed those of its parent.
func (w *writer) exceedParent(_ context.Context) {
	const excessiveRate = 10000 // requests per second, above every team's limit
	base := w.observedTree()
	w.propose(w.key, base, "over", ruleParentLimit, setRateOp(w.randomChild(), excessiveRate, ""))
}
