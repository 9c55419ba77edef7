package objectives

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/slo"
)

// tenant is who has a contract: his realm has its name.
type tenant struct {
	slo.Contract
	trafficShare float64 // of all transactions
}

// within is the bound of all contracts that can be kept.
const latencyBound = 40 * time.Millisecond

// tenants have contracts of three priorities; one may use two zones only, one has few
// transactions, and one is promised what no region can keep.
func (r *run) tenants() []tenant {
	of := func(name string, priority int, part, share float64, bound time.Duration, zones ...string) tenant {
		return tenant{slo.Contract{Name: name, Holder: "acme:" + name, Quantile: 0.9, Objective: bound, Window: 10 * time.Second,
			Target: share, Priority: priority, Zones: zones}, part}
	}
	return []tenant{of("gold", 0, 0.22, 0.8, latencyBound), of("rigid", 1, 0.38, 0.8, latencyBound, r.firstSlowZone, r.smallZone), of("silver", 1, 0.13, 0.8, latencyBound),
		of("bronze", 2, 0.17, 0.8, latencyBound), of("thin", 2, 0.03, 0.9, latencyBound), of("dream", 0, 0.07, 0.8, 5*time.Millisecond)}
}

// agree founds an account with a route for each tenant, and sets the contracts.
func (r *run) createContracts() error {
	none := account.Limits{Connections: -1, SetupRate: -1, RetryRate: -1, ProbeRate: -1, Routes: -1, Teams: -1}
	accounts := account.Change{Ops: []account.Op{{Kind: account.CreateAccount, Path: "acme", Node: &account.Node{Limits: none}}}}
	var contracts slo.Change
	for _, t := range r.tenants() {
		accounts.Ops = append(accounts.Ops, account.Op{Kind: account.PutRoute, Path: "acme", Route: &account.Route{Name: t.Name,
			Match: account.Match{Tenant: t.Name}, Limits: none, Contract: t.Name}})
		contracts.Set = append(contracts.Set, t.Contract)
	}
	if err := r.proposeSigned(logentry.KindAccounts, accounts); err != nil {
		return err
	}
	return r.proposeSigned(logentry.KindContracts, contracts)
}

func (r *run) proposeSigned(kind logentry.Kind, change any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	e := logentry.Entry{Kind: kind, ProposedAt: time.Now().UnixMilli(), Reason: "the scene", Body: body, KeyName: account.KeyName(r.rootKey.Public().(ed25519.PublicKey))}
	e.Signature = ed25519.Sign(r.rootKey, e.SignedBytes())
	raw, err := json.Marshal(e)
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
