package main

import (
	"fmt"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/inputlimit"
)

// accountCmd implements "account", the commands on accounts, teams, grants and signing keys.
type accountCmd struct {
	Key        accountKeyCmd        `cmd:"" help:"Create a key that signs changes, and print its public key."`
	List       accountListCmd       `cmd:"" help:"List the accounts, teams and grants as an agent has them."`
	Create     accountCreateCmd     `name:"found" cmd:"" help:"Create an account; only the root key may."`
	CreateTeam accountCreateTeamCmd `name:"team" cmd:"" help:"Create a team in an account or a team."`
	SetLimits  accountSetLimitsCmd  `name:"limits" cmd:"" help:"Change the limits of an account or a team; limits that are not given stay."`
	Delete     accountDeleteCmd     `name:"drop" cmd:"" help:"Delete an account or a team that has no teams and no routes."`
	Grant      accountGrantCmd      `cmd:"" help:"Give a key permissions on a subtree."`
	Revoke     accountRevokeCmd     `cmd:"" help:"Revoke a key's grant and all grants delegated from it."`
	Apply      accountApplyCmd      `cmd:"" help:"Apply several operations in one change."`
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
	Path string `arg:"" help:"The team's path, such as acme/web."`
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
	Path         string `arg:"" help:"Path of the account or team."`
	ShrinkPolicy string `name:"shrink" enum:",proportion,priority" default:"" help:"How the limits of its teams and routes are reduced if they exceed the new ones: proportion or priority. Without this flag such a change is rejected."`
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
	Path string `arg:"" help:"Path of the account or team."`
	changeFlags
}

func (c *accountDeleteCmd) Run() error {
	return c.submitOps(account.Op{Kind: account.DeleteNode, Path: c.Path})
}

// accountApplyCmd implements "account apply", which submits the operations of a file as one change.
type accountApplyCmd struct {
	changeFlags
	File string `arg:"" help:"JSON file with a list of operations, see docs/operate/accounts.md. They take effect together or not at all."`
}

func (c *accountApplyCmd) Run() error {
	raw, err := inputlimit.ReadFile(c.File, logentry.MaxSize)
	if err != nil {
		return err
	}
	var ops []account.Op
	if err := logentry.UnmarshalStrict(raw, &ops); err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.submitOps(ops...)
}
