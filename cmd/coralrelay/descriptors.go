package main

import (
	"coralrelay/internal/admin"
	"coralrelay/internal/config"
	"coralrelay/internal/downstream"
	"coralrelay/internal/instancelock"
	"coralrelay/internal/operatorconfig"
)

const (
	// leastSockets are the line path's, whatever is taken for others.
	minClientSockets = 64
	// processDescriptors are open whoever comes: the three of every process, the runtime's
	// two, the clients' listener, the watch of discovery and the one that it replaces, a
	// file that is read again, and two whose branch has just ended.
	baseDescriptors = 11
	// besideDescriptors are a process's that may have another beside it: its place, where
	// it takes connections, who gives them, and whom it gives them to.
	siblingDescriptors = 4
	// fleetDescriptors are for the link to the agent, and the one that it replaces.
	agentDescriptors = 2
)

// descriptors shares out what a process may hold. Discovery, operators and one kept probe
// connection to each listed next hop have theirs however many callers there are.
type descriptorBudget struct {
	total int
	fixed int // of all, for what does not grow with the list
}

// shareOut counts the descriptors of the parts that are switched on.
func newDescriptorBudget(cfg config.Config, operatorFile operatorconfig.File, lock *instancelock.Lock) descriptorBudget {
	budget := descriptorBudget{total: cfg.Limits.Sockets, fixed: baseDescriptors}
	if operatorFile.UDP.Listen != "" {
		budget.total = max(budget.total-operatorFile.UDP.Sockets, minClientSockets)
	}
	if cfg.AdminAddr != "" { // a listener, and one that waits for its turn
		budget.fixed += admin.MaxCalls + 2
	}
	if lock != nil {
		budget.fixed += siblingDescriptors
	}
	if operatorFile.Fleet.Agent != "" {
		budget.fixed += agentDescriptors
	}
	if operatorFile.Resume.Enabled { // a file, a listener, and a connection from and to each peer
		budget.fixed += 2 + 2*len(operatorFile.Resume.ReplayGuard.Peers)
	}
	return budget
}

// callers is what is left for callers and their branches while so many next hops are
// listed; a quarter is theirs whatever the list says.
func (d descriptorBudget) forClients(endpoints int) int {
	remaining := max(d.total-d.fixed-endpoints, d.total/4)
	return remaining - downstream.LingeringSockets(remaining*16/17)
}
