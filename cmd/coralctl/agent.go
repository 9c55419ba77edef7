package main

import (
	"errors"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/operatorconfig"
)

// Methods of the agent API that the commands call.
const (
	methodState   = "state"   // returns the agent's view of the fleet, an agentapi.State
	methodRecord  = "record"  // returns the state of the replicated log
	methodCheck   = "check"   // reports whether an entry would be accepted
	methodPropose = "propose" // appends an entry to the replicated log
)

// agentFlags select the agent that a command calls.
type agentFlags struct {
	Agent  string `placeholder:"HOST:PORT" xor:"agent" required:"" help:"The agent's address, as in fleet.agent."`
	Config string `placeholder:"FILE" xor:"agent" required:"" help:"The operator's file whose fleet.agent is called."`
}

// address returns the agent's host and port.
func (f *agentFlags) address() (string, error) {
	if f.Agent != "" {
		return f.Agent, nil
	}
	exported, err := (&configFileArg{f.Config}).exportJSON()
	if err != nil {
		return "", err
	}
	config, err := operatorconfig.Parse(exported)
	if err == nil && config.Fleet.AgentAddr == "" {
		err = errors.New("fleet.agent: empty, there is no agent to ask")
	}
	return config.Fleet.AgentAddr, err
}

// fetchAccounts returns the accounts of the replicated log, as the agent at the address has them.
func fetchAccounts(address string) (account.State, error) {
	var logState struct {
		Accounts account.State `json:"accounts"`
	}
	err := agentapi.Call(address, agentapi.OperatorRequest{Method: methodRecord}, &logState)
	return logState.Accounts, err
}

// fetchAccounts returns the accounts as the agent that the flags select has them.
func (f *agentFlags) fetchAccounts() (account.State, error) {
	address, err := f.address()
	if err != nil {
		return account.State{}, err
	}
	return fetchAccounts(address)
}
