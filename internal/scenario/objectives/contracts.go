package objectives

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/slo"
)

// Tenants that the checks refer to.
const (
	gold       = "gold"   // has the first priority
	silver     = "silver" // may use all zones, like bronze
	bronze     = "bronze"
	lowVolume  = "thin"  // has few transactions
	unmeetable = "dream" // has an objective that no region can meet
)

const (
	accountName = "acme"
	// latencyObjective is the objective of all contracts that can be met.
	latencyObjective = 40 * time.Millisecond
	// unmeetableObjective is the objective of the tenant dream, which no region can meet.
	unmeetableObjective = 5 * time.Millisecond
	contractQuantile    = 0.9
	contractWindow      = 10 * time.Second
	// clientOverhead is the time that a client waits in addition to its server's response time: the
	// node probes the upstream's load first, and the path from the client to the node adds latency.
	clientOverhead = 10 * time.Millisecond
)

// tenant is a tenant with a contract. Its realm has the contract's name.
type tenant struct {
	slo.Contract
	trafficShare float64 // share of all transactions
}

// boundAtClient returns the maximum response time at the client that meets the objective.
func (t *tenant) boundAtClient() time.Duration { return t.Objective + clientOverhead }

// newTenant returns a tenant. Its contract may use all zones if none are given.
func newTenant(name string, priority int, trafficShare, target float64, objective time.Duration,
	zones ...string) tenant {
	return tenant{
		Contract: slo.Contract{
			Name:      name,
			Holder:    accountName + ":" + name,
			Quantile:  contractQuantile,
			Objective: objective,
			Window:    contractWindow,
			Target:    target,
			Priority:  priority,
			Zones:     zones,
		},
		trafficShare: trafficShare,
	}
}

// tenants returns all tenants, which have three priorities. The tenant rigid may use two zones only.
func (r *run) tenants() []tenant {
	return []tenant{
		newTenant(gold, 0, 0.22, 0.8, latencyObjective),
		newTenant("rigid", 1, 0.38, 0.8, latencyObjective, r.firstSlowZone, r.smallZone),
		newTenant(silver, 1, 0.13, 0.8, latencyObjective),
		newTenant(bronze, 2, 0.17, 0.8, latencyObjective),
		newTenant(lowVolume, 2, 0.03, 0.9, latencyObjective),
		newTenant(unmeetable, 0, 0.07, 0.8, unmeetableObjective),
	}
}

// tenant returns the tenant with the name, which must exist.
func (r *run) tenant(name string) tenant {
	all := r.tenants()
	return all[slices.IndexFunc(all, func(t tenant) bool { return t.Name == name })]
}

// createContracts creates an account with a route for each tenant, and sets the tenants' contracts.
func (r *run) createContracts() error {
	unlimited := account.Limits{
		Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1, Routes: -1, Teams: -1,
	}
	accounts := account.Change{Ops: []account.Op{
		{Kind: account.CreateAccount, Path: accountName, Node: &account.Node{Limits: unlimited}},
	}}
	var contracts slo.Change
	for _, t := range r.tenants() {
		route := &account.Route{
			Name: t.Name, Match: account.Match{Tenant: t.Name}, Limits: unlimited, Contract: t.Name,
		}
		accounts.Ops = append(accounts.Ops,
			account.Op{Kind: account.PutRoute, Path: accountName, Route: route})
		contracts.Set = append(contracts.Set, t.Contract)
	}
	if err := r.proposeSigned(logentry.KindAccounts, accounts); err != nil {
		return err
	}
	return r.proposeSigned(logentry.KindContracts, contracts)
}

// proposeSigned signs a change with the root key and proposes it to the first agent. It returns an
// error if the replicated log does not accept the change.
func (r *run) proposeSigned(kind logentry.Kind, change any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	entry := logentry.Entry{
		Kind:       kind,
		ProposedAt: time.Now().UnixMilli(),
		Reason:     "the scenario",
		Body:       body,
		KeyName:    account.KeyName(r.rootKey.Public().(ed25519.PublicKey)),
	}
	entry.Signature = ed25519.Sign(r.rootKey, entry.SignedBytes())
	raw, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	var answer struct{ Outcome logentry.Outcome }
	if err := r.Agents[r.Names[0]].Call(
		agentapi.OperatorRequest{Method: "propose", Entry: raw}, &answer,
	); err != nil {
		return err
	}
	if !answer.Outcome.Accepted {
		return fmt.Errorf("propose %s: not accepted: %s", kind, answer.Outcome.Reason)
	}
	return nil
}
