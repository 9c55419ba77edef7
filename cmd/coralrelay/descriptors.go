package main

import (
	"coralrelay/internal/admin"
	"coralrelay/internal/config"
	"coralrelay/internal/downstream"
	"coralrelay/internal/instancelock"
	"coralrelay/internal/operatorconfig"
)

const (
	// minClientSockets are left for the line protocol, whatever the configuration takes for UDP.
	minClientSockets = 64
	// baseDescriptors are open without any client: the three of every process, the runtime's
	// two, the clients' listener, the watch of discovery and the one that it replaces, a
	// file that is read again, and two whose attempt has just ended. The listener's spare one is not
	// counted: it is given up where no other is left.
	baseDescriptors = 11
	// siblingDescriptors are those of a process that may have a sibling: the instance lock, the
	// hot restart's listener, its sender's connection, and the one to a successor.
	siblingDescriptors = 4
	// agentDescriptors are for the connection to the agent, and the one that it replaces.
	agentDescriptors = 2
	// maxProbeConns bounds the probe connections: as many as a fleet of the usual size has endpoints.
	// Beside a larger one a node keeps connections to some of them (balance/subset.go).
	maxProbeConns = 200
	// probeConnsDivisor is the part of all descriptors that probe connections may take.
	probeConnsDivisor = 4
)

// descriptorBudget divides the descriptors that a process may hold. Discovery, operators and probe
// connections have theirs however many clients there are.
type descriptorBudget struct {
	total int
	fixed int // of total, for what does not grow with the list
}

// newDescriptorBudget counts the descriptors of the parts that are switched on.
func newDescriptorBudget(
	cfg config.Config, operatorFile operatorconfig.File, lock *instancelock.Lock,
) descriptorBudget {
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
	if operatorFile.Fleet.AgentAddr != "" {
		budget.fixed += agentDescriptors
	}
	if operatorFile.Resume.Enabled { // a file, a listener, and a connection from and to each peer
		budget.fixed += 2 + 2*len(operatorFile.Resume.ReplayGuard.Peers)
	}
	return budget
}

// forProbes is how many probe connections there may be.
func (d descriptorBudget) forProbes() int { return min(d.total/probeConnsDivisor, maxProbeConns) }

// forClients is what is left for clients and their attempts while so many endpoints are listed,
// without the sockets that linger after their last answer; a quarter is theirs whatever the list
// says.
func (d descriptorBudget) forClients(endpoints int) int {
	remaining := max(d.total-d.fixed-min(endpoints, d.forProbes()), d.total/4)
	return remaining - downstream.LingeringSockets(remaining*16/17)
}
