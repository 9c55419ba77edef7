package main

import (
	"errors"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/operatorconfig"
)

// The methods of an agent that the commands call.
const (
	methodState   = "state"   // what the agent knows, for people
	methodRecord  = "record"  // the replicated log's state
	methodCheck   = "check"   // whether an entry would be accepted
	methodPropose = "propose" // append an entry to the log
)

// agentFlags say which agent is asked.
type agentFlags struct {
	Agent  string `placeholder:"HOST:PORT" xor:"agent" required:"" help:"Where the agent answers, as fleet.agent has it."`
	Config string `placeholder:"FILE" xor:"agent" required:"" help:"The operator's file whose fleet.agent is asked."`
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

// fetchAccounts asks the agent at the address for the tree of accounts as it knows it.
func fetchAccounts(address string) (account.State, error) {
	var logState struct {
		Accounts account.State `json:"accounts"`
	}
	err := agentapi.Call(address, agentapi.OperatorRequest{Method: methodRecord}, &logState)
	return logState.Accounts, err
}

// fetchAccounts asks the agent that the flags name.
func (f *agentFlags) fetchAccounts() (account.State, error) {
	address, err := f.address()
	if err != nil {
		return account.State{}, err
	}
	return fetchAccounts(address)
}
