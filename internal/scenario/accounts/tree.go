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

// team is a team, or an account with its administrator's key.
type team struct {
	key
	path     string
	parent   *team   // nil for an account
	children []*team // in the tree's order
}

// tree has the accounts, the teams and the teams of teams that exist when the writers start.
type tree struct {
	root   key
	admins []*team // of the accounts
	teams  []*team
}

const (
	teamsPerAccount = 6
	teamsPerTeam    = 2 // below each team on the first level
)

// newTree returns a tree with a number of teams and their accounts, and generates their keys.
func newTree(teams int) (*tree, error) {
	var errs []error
	generate := func() key {
		k, err := newKey()
		errs = append(errs, err)
		return k
	}
	t := &tree{root: generate()}
	for i := range teams {
		if i%teamsPerAccount == 0 {
			t.admins = append(t.admins, &team{key: generate(), path: fmt.Sprintf("acc%d", len(t.admins))})
		}
		parent := t.admins[len(t.admins)-1]
		if n := len(parent.children); n > 0 && len(parent.children[n-1].children) < teamsPerTeam {
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

// initialNode returns the limits and priority that a team is created with. The limits of its children
// add up to a little less than its own.
func (t *team) initialNode() *account.Node {
	limits := [...]account.Limits{
		{Connections: 3000, SetupRate: 300, RetryRate: 60, ProbeRate: 60, Routes: 200, Teams: 60},
		{Connections: 1000, SetupRate: 100, RetryRate: 20, ProbeRate: 20, Routes: 60, Teams: 10},
		{Connections: 300, SetupRate: 30, RetryRate: 6, ProbeRate: 6, Routes: 20, Teams: 2},
	}[t.level()]
	return &account.Node{Limits: limits, Priority: len(t.path) % 3}
}

// initialGrantOp returns the operation that grants a team's key all permissions; the parent's key signs
// it. The delegation depth of the grant decreases with the team's level.
func (t *team) initialGrantOp() account.Op {
	return createGrantOp(t.key, t.path, 4-t.level(),
		account.PermissionRoutes, account.PermissionLimits, account.PermissionTeams, account.PermissionGrants)
}

// createGrantOp returns the operation that grants a key permissions on a path.
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

// proposeUntilAccepted proposes a change repeatedly until it is accepted, and fails after 10 s.
func (s *scenario) proposeUntilAccepted(ctx context.Context, k key, ops ...account.Op) error {
	var p *proposal
	for begun := time.Now(); time.Since(begun) < 10*time.Second; {
		agent := s.Names[len(ops)%len(s.Names)]
		base, _ := s.watcher.tree(agent)
		if p = s.propose(k, agent, changeOn(base, ops...), "found", ""); p.isAccepted() {
			s.watcher.waitForIndex(ctx, agent, p.outcome.Index)
			return nil
		}
		if !fake.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("create %q: not accepted within 10 s: %+v %s", ops[0].Path, p.outcome, p.failure)
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
