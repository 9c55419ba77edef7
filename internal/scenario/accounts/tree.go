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

// key is a private key that signs changes.
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

// tree is what is created at first: accounts, teams, and teams of teams.
type tree struct {
	root   key
	admins []*team // of the accounts
	teams  []*team
}

const (
	teamsOfAccount = 6
	teamsOfTeam    = 2 // of the teams on the first level
)

// newTree names accounts and teams and generates their keys.
func newTree(teams int) (*tree, error) {
	var errs []error
	generate := func() key {
		k, err := newKey()
		errs = append(errs, err)
		return k
	}
	t := &tree{root: generate()}
	for i := range teams {
		if i%teamsOfAccount == 0 {
			t.admins = append(t.admins, &team{key: generate(), path: fmt.Sprintf("acc%d", len(t.admins))})
		}
		parent := t.admins[len(t.admins)-1]
		if n := len(parent.children); n > 0 && len(parent.children[n-1].children) < teamsOfTeam {
			parent = parent.children[n-1]
		}
		one := &team{key: generate(), path: fmt.Sprintf("%s/t%d", parent.path, i), parent: parent}
		parent.children = append(parent.children, one)
		t.teams = append(t.teams, one)
	}
	return t, errors.Join(errs...)
}

// level is the depth in the tree, 0 for an account.
func (t *team) level() int {
	if t.parent == nil {
		return 0
	}
	return t.parent.level() + 1
}

// initialNode is what a team has at first: its children together hold a little less than it has.
func (t *team) initialNode() *account.Node {
	limits := [...]account.Limits{
		{Connections: 3000, SetupRate: 300, RetryRate: 60, ProbeRate: 60, Routes: 200, Teams: 60},
		{Connections: 1000, SetupRate: 100, RetryRate: 20, ProbeRate: 20, Routes: 60, Teams: 10},
		{Connections: 300, SetupRate: 30, RetryRate: 6, ProbeRate: 6, Routes: 20, Teams: 2},
	}[t.level()]
	return &account.Node{Limits: limits, Priority: len(t.path) % 3}
}

// initialGrantOp grants a team's key all permissions, signed by the parent's key: the deeper the
// level, the less often the grant can be delegated.
func (t *team) initialGrantOp() account.Op {
	return createGrantOp(t.key, t.path, 4-t.level(),
		account.PermissionRoutes, account.PermissionLimits, account.PermissionTeams, account.PermissionGrants)
}

func createGrantOp(k key, path string, depth int, permissions ...string) account.Op {
	grant := &account.Grant{
		Key: k.name(), PublicKey: k.public(), Path: path, Permissions: permissions, DelegationDepth: depth,
	}
	return account.Op{Kind: account.CreateGrant, Path: path, Grant: grant}
}

// createTree creates the tree in the replicated log, each level signed by the parent's key.
func (s *scenario) createTree(ctx context.Context) error {
	for _, a := range s.tree.admins {
		create := account.Op{Kind: account.CreateAccount, Path: a.path, Node: a.initialNode()}
		if err := s.proposeUntilAccepted(ctx, s.tree.root, create, a.initialGrantOp()); err != nil {
			return err
		}
	}
	for _, t := range s.tree.teams {
		create := account.Op{Kind: account.CreateTeam, Path: t.path, Node: t.initialNode()}
		if err := s.proposeUntilAccepted(ctx, t.parent.key, create, t.initialGrantOp()); err != nil {
			return err
		}
	}
	return nil
}

// proposeUntilAccepted proposes a change until it is accepted.
func (s *scenario) proposeUntilAccepted(ctx context.Context, k key, ops ...account.Op) error {
	var o *proposal
	for begun := time.Now(); time.Since(begun) < 10*time.Second; {
		agent := s.Names[len(ops)%len(s.Names)]
		base, _ := s.watcher.tree(agent)
		if o = s.propose(k, agent, changeOn(base, ops...), "found", ""); o.isAccepted() {
			s.watcher.waitForIndex(ctx, agent, o.outcome.Index)
			return nil
		}
		if !fake.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%q was not created: %+v %s", ops[0].Path, o.outcome, o.failure)
}

// writers returns a writer for each team and for each account's administrator.
func (t *tree) writers() (all []*writer) {
	for _, list := range [2][]*team{t.admins, t.teams} {
		for _, one := range list {
			all = append(all, &writer{team: one})
		}
	}
	return all
}
