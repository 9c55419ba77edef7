package main

import (
	"fmt"
	"os"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/logentry"
)

// accountCmd implements "account", the commands on accounts, teams, grants and signing keys.
type accountCmd struct {
	Key        accountKeyCmd        `cmd:"" help:"Make a key that signs changes, and print its public half."`
	List       accountListCmd       `cmd:"" help:"List accounts, teams and grants as an agent knows them."`
	Create     accountCreateCmd     `name:"found" cmd:"" help:"Add an account; the root's alone."`
	CreateTeam accountCreateTeamCmd `name:"team" cmd:"" help:"Add a team below an account or a team."`
	SetLimits  accountSetLimitsCmd  `name:"limits" cmd:"" help:"Change limits; what is not named stays."`
	Delete     accountDeleteCmd     `name:"drop" cmd:"" help:"Take away an account or team that has no teams and no routes."`
	Grant      accountGrantCmd      `cmd:"" help:"Let a key act on a subtree."`
	Revoke     accountRevokeCmd     `cmd:"" help:"Take a key's grant away, and all that was given by it, down the line."`
	Apply      accountApplyCmd      `cmd:"" help:"Several operations in one change."`
}

// accountCreateCmd implements "account found", which creates an account.
type accountCreateCmd struct {
	Path string `arg:"" help:"The account's name."`
	nodeFlags
	changeFlags
}

func (c *accountCreateCmd) Run() error {
	return c.submitOps(account.Op{
		Kind: account.CreateAccount,
		Path: c.Path,
		Node: c.withOverrides(account.Node{}),
	})
}

// accountCreateTeamCmd implements "account team", which creates a team.
type accountCreateTeamCmd struct {
	Path string `arg:"" help:"Its path, such as acme/web."`
	nodeFlags
	changeFlags
}

func (c *accountCreateTeamCmd) Run() error {
	return c.submitOps(account.Op{
		Kind: account.CreateTeam,
		Path: c.Path,
		Node: c.withOverrides(account.Node{}),
	})
}

// accountSetLimitsCmd implements "account limits", which changes the attributes of an account or
// a team.
type accountSetLimitsCmd struct {
	Path         string `arg:"" help:"An account's or team's path."`
	ShrinkPolicy string `name:"shrink" enum:",proportion,priority" default:"" help:"How its teams and routes shrink where they hold more than is left: proportion or priority. Without it such a cut is refused."`
	nodeFlags
	changeFlags
}

func (c *accountSetLimitsCmd) Run() error {
	return c.submit(func(accounts account.State) ([]account.Op, error) {
		node := accounts.Nodes[c.Path]
		if node == nil {
			return nil, fmt.Errorf("%q: no such account or team", c.Path)
		}
		op := account.Op{
			Kind:            account.SetLimits,
			Path:            c.Path,
			ExpectedVersion: node.Version,
			Node:            c.withOverrides(*node),
			ShrinkPolicy:    c.ShrinkPolicy,
		}
		return []account.Op{op}, nil
	})
}

// accountDeleteCmd implements "account drop", which deletes an account or a team.
type accountDeleteCmd struct {
	Path string `arg:"" help:"An account's or team's path."`
	changeFlags
}

func (c *accountDeleteCmd) Run() error {
	return c.submitOps(account.Op{Kind: account.DeleteNode, Path: c.Path})
}

// accountApplyCmd implements "account apply", which submits the operations of a file as one change.
type accountApplyCmd struct {
	changeFlags
	File string `arg:"" help:"JSON: a list of operations as docs/operate/accounts.md has them. All take hold together or none does."`
}

func (c *accountApplyCmd) Run() error {
	raw, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var ops []account.Op
	if err := logentry.UnmarshalStrict(raw, &ops); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.submitOps(ops...)
}
