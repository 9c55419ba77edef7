package main

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/keyfile"
)

// A changeArg says who changes accounts or routes, by which agent and why.
type changeFlags struct {
	agentFlags
	Key    string `required:"" placeholder:"FILE" help:"The key that signs, made with 'coralctl account key'."`
	Reason string `name:"why" required:"" help:"Stands with the change, for people."`
	DryRun bool   `help:"Ask whether it would be taken, and change nothing."`
}

// accounts asks the agent for the tree as it knows it.
func (a *agentFlags) fetchAccounts() (addr string, s account.State, err error) {
	if addr, err = a.address(); err != nil {
		return "", s, err
	}
	var all struct {
		Accounts account.State `json:"accounts"`
	}
	err = agentapi.Call(addr, agentapi.OperatorRequest{Method: "record"}, &all)
	return addr, all.Accounts, err
}

// send has operations taken together, on the tree as the agent knows it.
func (c *changeFlags) submit(ops func(account.State) ([]account.Op, error)) error {
	private, err := keyfile.LoadAuthority(c.Key)
	if err != nil {
		return err
	}
	addr, s, err := c.fetchAccounts()
	if err != nil {
		return err
	}
	change := account.Change{BaseVersion: s.Version}
	if change.Ops, err = ops(s); err != nil {
		return err
	}
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	e := logentry.Entry{Kind: logentry.KindAccounts, ProposedAt: time.Now().UnixMilli(), Reason: c.Reason, Body: body,
		KeyName: account.KeyName(private.Public().(ed25519.PublicKey))}
	e.Signature = ed25519.Sign(private, e.SignedBytes())
	raw, err := json.Marshal(e)
	if err != nil {
		return err
	}
	ask := agentapi.OperatorRequest{Method: "propose", Entry: raw}
	if c.DryRun {
		ask.Method = "check"
	}
	var answer struct {
		Outcome logentry.Outcome `json:"outcome"`
	}
	var no *agentapi.CallError
	if err := agentapi.Call(addr, ask, &answer); errors.As(err, &no) && no.OutcomeUnknown {
		return fmt.Errorf("%w; it may have been taken or may yet be: look before you try again, it can't be taken twice", err)
	} else if err != nil {
		return err
	}
	switch o := answer.Outcome; {
	case !o.Accepted && c.DryRun:
		return fmt.Errorf("would be refused: %s", o.Reason)
	case !o.Accepted:
		return fmt.Errorf("refused at index %d: %s", o.Index, o.Reason)
	case c.DryRun:
		fmt.Println("would be taken, as things stand at index", o.Index)
	default:
		fmt.Println("taken at index", o.Index)
	}
	return nil
}

// one is send for a single operation.
func (c *changeFlags) submitOne(op account.Op) error {
	return c.submit(func(account.State) ([]account.Op, error) { return []account.Op{op}, nil })
}

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
	return c.submit(func(account.State) ([]account.Op, error) { return ops, nil })
}
