package main

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/keyfile"
)

// changeFlags are the flags of commands that change accounts or routes: the agent, the signing key
// and the reason.
type changeFlags struct {
	agentFlags
	Key    string `required:"" placeholder:"FILE" help:"The signing key, created with 'coralctl account key'."`
	Reason string `name:"why" required:"" help:"Reason that is stored with the change."`
	DryRun bool   `help:"Check whether the change would be accepted, without making it."`
}

// opsBuilder returns the operations of a change, given the accounts as the agent has them.
type opsBuilder func(account.State) ([]account.Op, error)

// submitOps submits operations that do not depend on the current accounts.
func (f *changeFlags) submitOps(ops ...account.Op) error {
	return f.submit(func(account.State) ([]account.Op, error) { return ops, nil })
}

// submit signs a change and sends it to the agent, which appends it to the log or, with --dry-run,
// only checks it. The operations of a change take effect together or not at all.
func (f *changeFlags) submit(buildOps opsBuilder) error {
	privateKey, err := keyfile.LoadAuthority(f.Key)
	if err != nil {
		return err
	}
	address, err := f.address()
	if err != nil {
		return err
	}
	accounts, err := fetchAccounts(address)
	if err != nil {
		return err
	}
	ops, err := buildOps(accounts)
	if err != nil {
		return err
	}
	entry, err := f.signedEntry(privateKey, account.Change{BaseVersion: accounts.Version, Ops: ops})
	if err != nil {
		return err
	}
	outcome, err := f.sendEntry(address, entry)
	if err != nil {
		return err
	}
	return f.reportOutcome(outcome)
}

// signedEntry returns the change as a signed log entry in JSON.
func (f *changeFlags) signedEntry(privateKey ed25519.PrivateKey, change account.Change) ([]byte, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return nil, err
	}
	entry := logentry.Entry{
		Kind:       logentry.KindAccounts,
		ProposedAt: time.Now().UnixMilli(),
		Reason:     f.Reason,
		Body:       body,
		KeyName:    account.KeyName(privateKey.Public().(ed25519.PublicKey)),
	}
	entry.Signature = ed25519.Sign(privateKey, entry.SignedBytes())
	return json.Marshal(entry)
}

// sendEntry sends the entry to the agent, which proposes or checks it. If the agent does not know
// the outcome of a proposal, the error says that the entry may have been accepted.
func (f *changeFlags) sendEntry(address string, entry []byte) (logentry.Outcome, error) {
	request := agentapi.OperatorRequest{Method: methodPropose, Entry: entry}
	if f.DryRun {
		request.Method = methodCheck
	}
	var answer struct {
		Outcome logentry.Outcome `json:"outcome"`
	}
	err := agentapi.Call(address, request, &answer)
	var callError *agentapi.CallError
	if errors.As(err, &callError) && callError.OutcomeUnknown {
		const advice = "it may have been taken or may yet be: look before you try again, it can't be taken twice"
		return logentry.Outcome{}, fmt.Errorf("%w; %s", err, advice)
	}
	return answer.Outcome, err
}

// reportOutcome prints that a change was accepted, or returns an error if it was rejected.
func (f *changeFlags) reportOutcome(outcome logentry.Outcome) error {
	switch {
	case !outcome.Accepted && f.DryRun:
		return fmt.Errorf("would be refused: %s", outcome.Reason)
	case !outcome.Accepted:
		return fmt.Errorf("refused at index %d: %s", outcome.Index, outcome.Reason)
	case f.DryRun:
		fmt.Println("would be taken, as things stand at index", outcome.Index)
	default:
		fmt.Println("taken at index", outcome.Index)
	}
	return nil
}
