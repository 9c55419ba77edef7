package flowtable

import (
	"hash/maphash"
	"time"
)

// Policy says what becomes of a new flow when the table is full.
type Policy uint8

// The policies.
const (
	// Reserve keeps a share of the table for settled flows. In the rest a new flow evicts
	// the oldest unsettled flow, so that a flood of flows of one datagram evicts its own.
	Reserve Policy = iota
	// RefuseNew rejects new flows until others expire.
	RefuseNew
	// EvictIdle evicts the flow that has been idle longest.
	EvictIdle
)

// Options configure a table.
type Options struct {
	Entries          int           // capacity in flows, 1 to 1<<30
	IdleTimeout      time.Duration // a flow without datagrams for so long expires; at least 64 ns
	Policy           Policy
	ReservedShare    float64       // share of the table for settled flows alone, 0 to 1; for Reserve
	SettledDatagrams int           // a flow settles after so many datagrams
	SettledAge       time.Duration // that came over at least so long
	Seed             maphash.Seed  // secret, so that clients can't choose addresses that collide
}
