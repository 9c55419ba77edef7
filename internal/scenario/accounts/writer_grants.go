package accounts

import (
	"context"

	"coralrelay/internal/fleet/account"
)

// revokeChainInUse delegates a grant to a key, which delegates it to a second key, and revokes the first
// grant while the second key uses its own. After the revocation, both keys propose a change again.
func (w *writer) revokeChainInUse(ctx context.Context) {
	first, err := newKey()
	second, err2 := newKey()
	if err != nil || err2 != nil {
		return
	}
	firstGrant := createGrantOp(first, w.path, 1, account.PermissionRoutes, account.PermissionGrants)
	secondGrant := createGrantOp(second, w.path, 0, account.PermissionRoutes)
	base, ok := w.waitForTree(ctx, w.propose(w.key, w.observedTree(), "grant", "", firstGrant))
	if !ok {
		return
	}
	base, ok = w.waitForTree(ctx, w.propose(first, base, "grant-on", "", secondGrant))
	revoked := w.revoke(base, first, second, ok)
	base, isRevoked := w.waitForTree(ctx, revoked)
	if !isRevoked {
		return
	}
	w.scenario.history.addRevokedChain(
		grantChain{[]string{first.name(), second.name()}, revoked.outcome.Index})
	w.scenario.propose(second, w.agent(), changeOn(base, w.putRouteOp(w.path, "line")), "use-revoked", "")
	w.scenario.propose(first, w.agent(), changeOn(base, secondGrant), "grant-revoked", "")
}

// revoke revokes the first key's grant. If the second key has a grant, it proposes a change concurrently.
func (w *writer) revoke(base account.State, first, second key, hasSecondGrant bool) *proposal {
	revoke := changeOn(base, account.Op{Kind: account.RevokeGrant, Path: w.path, Name: first.name()})
	use := changeOn(base, w.putRouteOp(w.path, "line"))
	if !hasSecondGrant {
		return w.scenario.propose(w.key, w.agent(), revoke, "revoke", "")
	}
	both := w.proposeConcurrently(signedChange{w.key, revoke, "revoke"}, signedChange{second, use, "use"})
	return both[0]
}

// waitForTree waits until a random agent has applied a proposal, and returns that agent's tree. ok is
// false if the proposal was not accepted, or did not reach the agent in time.
func (w *writer) waitForTree(ctx context.Context, p *proposal) (tree account.State, ok bool) {
	agent := w.agent()
	ok = p.isAccepted() && w.scenario.watcher.waitForIndex(ctx, agent, p.outcome.Index)
	tree, _ = w.scenario.watcher.tree(agent)
	return tree, ok
}
