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

// The tenants that checks name.
const (
	gold   = "gold"   // the first priority
	silver = "silver" // may use all zones, as bronze
	bronze = "bronze"
	thin   = "thin"  // has few transactions
	dream  = "dream" // its objective is one that no region can meet
)

const (
	accountName = "acme"
	// latencyObjective is that of all contracts that can be met.
	latencyObjective = 40 * time.Millisecond
	// unmeetableObjective is that of dream.
	unmeetableObjective = 5 * time.Millisecond
	contractQuantile    = 0.9
	contractWindow      = 10 * time.Second
	// clientOverhead is how much longer a client waits than its server takes: its node asks the
	// upstream for its load first, and the client's own way comes on top.
	clientOverhead = 10 * time.Millisecond
)

// tenant has a contract; its realm has the contract's name.
type tenant struct {
	slo.Contract
	trafficShare float64 // of all transactions
}

// boundAtClient is the objective as a client sees it.
func (t *tenant) boundAtClient() time.Duration { return t.Objective + clientOverhead }

// newTenant returns a tenant; its contract is for all zones if none are named.
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

// tenants returns all, of three priorities. The second may use two zones only.
func (r *run) tenants() []tenant {
	return []tenant{
		newTenant(gold, 0, 0.22, 0.8, latencyObjective),
		newTenant("rigid", 1, 0.38, 0.8, latencyObjective, r.firstSlowZone, r.smallZone),
		newTenant(silver, 1, 0.13, 0.8, latencyObjective),
		newTenant(bronze, 2, 0.17, 0.8, latencyObjective),
		newTenant(thin, 2, 0.03, 0.9, latencyObjective),
		newTenant(dream, 0, 0.07, 0.8, unmeetableObjective),
	}
}

// tenant returns the one of a name; there is one.
func (r *run) tenant(name string) tenant {
	all := r.tenants()
	return all[slices.IndexFunc(all, func(t tenant) bool { return t.Name == name })]
}

// createContracts creates an account with a route for each tenant, and sets the contracts.
func (r *run) createContracts() error {
	unlimited := account.Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1, Routes: -1, Teams: -1}
	accounts := account.Change{Ops: []account.Op{
		{Kind: account.CreateAccount, Path: accountName, Node: &account.Node{Limits: unlimited}},
	}}
	var contracts slo.Change
	for _, t := range r.tenants() {
		route := &account.Route{Name: t.Name, Match: account.Match{Tenant: t.Name}, Limits: unlimited, Contract: t.Name}
		accounts.Ops = append(accounts.Ops, account.Op{Kind: account.PutRoute, Path: accountName, Route: route})
		contracts.Set = append(contracts.Set, t.Contract)
	}
	if err := r.proposeSigned(logentry.KindAccounts, accounts); err != nil {
		return err
	}
	return r.proposeSigned(logentry.KindContracts, contracts)
}

// proposeSigned signs a change with the root key and proposes it to the first agent. It is an
// error if the replicated log does not accept it.
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
	if err := r.Agents[r.Names[0]].Call(agentapi.OperatorRequest{Method: "propose", Entry: raw}, &answer); err != nil {
		return err
	}
	if !answer.Outcome.Accepted {
		return fmt.Errorf("%s: not taken: %s", kind, answer.Outcome.Reason)
	}
	return nil
}
