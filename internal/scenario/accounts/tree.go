package accounts

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"time"

	"coralrelay/internal/fake"
	"coralrelay/internal/fleet/account"
)

// key signs changes.
type key ed25519.PrivateKey

func newKey() (key, error) {
	_, private, err := ed25519.GenerateKey(nil)
	return key(private), err
}

func (k key) public() []byte { return ed25519.PrivateKey(k).Public().(ed25519.PublicKey) }

func (k key) name() string { return account.KeyName(k.public()) }

// team is a team, or an account as its administrator sees it.
type team struct {
	key
	path     string
	parent   *team   // nil for an account
	children []*team // in the tree's order
}

// tree is what is founded: accounts, teams, and teams of teams.
type tree struct {
	root   key
	admins []*team // of the accounts
	teams  []*team
}

const (
	teamsOfAccount = 6
	teamsOfTeam    = 2 // of the teams on the first level, one after another
)

// newTree names accounts and teams and makes their keys.
func newTree(teams int) (*tree, error) {
	var errs []error
	fresh := func() key {
		k, err := newKey()
		errs = append(errs, err)
		return k
	}
	t := &tree{root: fresh()}
	for i := range teams {
		if i%teamsOfAccount == 0 {
			t.admins = append(t.admins, &team{key: fresh(), path: fmt.Sprintf("acc%d", len(t.admins))})
		}
		above := t.admins[len(t.admins)-1]
		if n := len(above.children); n > 0 && len(above.children[n-1].children) < teamsOfTeam {
			above = above.children[n-1]
		}
		one := &team{key: fresh(), path: fmt.Sprintf("%s/t%d", above.path, i), parent: above}
		above.children = append(above.children, one)
		t.teams = append(t.teams, one)
	}
	return t, errors.Join(errs...)
}

// level is 0 for an account.
func (t *team) level() int {
	if t.parent == nil {
		return 0
	}
	return t.parent.level() + 1
}

// node is what a team has at first: its children together hold a little less than it has.
func (t *team) initialNode() *account.Node {
	l := [3]account.Limits{
		{Connections: 3000, SetupRate: 300, RetryRate: 60, ProbeRate: 60, Routes: 200, Teams: 60},
		{Connections: 1000, SetupRate: 100, RetryRate: 20, ProbeRate: 20, Routes: 60, Teams: 10},
		{Connections: 300, SetupRate: 30, RetryRate: 6, ProbeRate: 6, Routes: 20, Teams: 2},
	}[t.level()]
	return &account.Node{Limits: l, Priority: len(t.path) % 3}
}

// grant is what is given to a team's key, by the key above: each level can hand on less deep.
func (t *team) initialGrantOp() account.Op {
	return createGrantOp(t.key, t.path, 4-t.level(), account.PermissionRoutes, account.PermissionLimits, account.PermissionTeams, account.PermissionGrants)
}

func createGrantOp(k key, path string, depth int, acts ...string) account.Op {
	return account.Op{Kind: account.CreateGrant, Path: path, Grant: &account.Grant{Key: k.name(), PublicKey: k.public(), Path: path, Permissions: acts, DelegationDepth: depth}}
}

// found brings the tree into the record, each level by the key above it.
func (s *scenario) createTree(ctx context.Context) error {
	for _, a := range s.tree.admins {
		if err := s.proposeUntilAccepted(ctx, s.tree.root, account.Op{Kind: account.CreateAccount, Path: a.path, Node: a.initialNode()}, a.initialGrantOp()); err != nil {
			return err
		}
	}
	for _, t := range s.tree.teams {
		if err := s.proposeUntilAccepted(ctx, t.parent.key, account.Op{Kind: account.CreateTeam, Path: t.path, Node: t.initialNode()}, t.initialGrantOp()); err != nil {
			return err
		}
	}
	return nil
}

// must proposes until a change is taken.
func (s *scenario) proposeUntilAccepted(ctx context.Context, k key, ops ...account.Op) error {
	var o *proposal
	for begun := time.Now(); time.Since(begun) < 10*time.Second; {
		to := s.Names[len(ops)%len(s.Names)]
		base, _ := s.watcher.tree(to)
		if o = s.propose(k, to, account.Change{BaseVersion: base.Version, Ops: ops}, "found", ""); o.isAccepted() {
			s.watcher.waitForIndex(ctx, to, o.outcome.Index)
			return nil
		}
		if !fake.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%q was not founded: %+v %s", ops[0].Path, o.outcome, o.failure)
}

// writers is one for each team and for each account's administrator.
func (t *tree) writers() (all []*writer) {
	for _, list := range [2][]*team{t.admins, t.teams} {
		for _, one := range list {
			all = append(all, &writer{team: one})
		}
	}
	return all
}
