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
	leastSockets = 64
	// processDescriptors are open whoever comes: the three of every process, the runtime's
	// two, the clients' listener, the watch of discovery and the one that it replaces, a
	// file that is read again, and two whose branch has just ended.
	processDescriptors = 11
	// besideDescriptors are a process's that may have another beside it: its place, where
	// it takes connections, who gives them, and whom it gives them to.
	besideDescriptors = 4
	// fleetDescriptors are for the link to the agent, and the one that it replaces.
	fleetDescriptors = 2
)

// descriptors shares out what a process may hold. Discovery, operators and one kept probe
// connection to each listed next hop have theirs however many callers there are.
type descriptors struct {
	all   int
	fixed int // of all, for what does not grow with the list
}

// shareOut counts the descriptors of the parts that are switched on.
func shareOut(c config.Config, own operatorconfig.File, place *instancelock.Lock) descriptors {
	d := descriptors{all: c.Limits.Sockets, fixed: processDescriptors}
	if own.UDP.Listen != "" {
		d.all = max(d.all-own.UDP.Sockets, leastSockets)
	}
	if c.AdminAddr != "" { // a listener, and one that waits for its turn
		d.fixed += admin.MaxCalls + 2
	}
	if place != nil {
		d.fixed += besideDescriptors
	}
	if own.Fleet.Agent != "" {
		d.fixed += fleetDescriptors
	}
	if own.Resume.Enabled { // a file, a listener, and a connection from and to each peer
		d.fixed += 2 + 2*len(own.Resume.ReplayGuard.Peers)
	}
	return d
}

// callers is what is left for callers and their branches while so many next hops are
// listed; a quarter is theirs whatever the list says.
func (d descriptors) callers(listed int) int {
	left := max(d.all-d.fixed-listed, d.all/4)
	return left - downstream.LingeringSockets(left*16/17)
}
