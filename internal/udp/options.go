package udp

import (
	"net/netip"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/flowtable"
)

// Dispatcher places flows on endpoints. The event loop of package dispatch implements it.
type Dispatcher interface {
	Submit(placement dispatch.Placement, starter dispatch.AttemptStarter)
	ClientGone(placement dispatch.Placement)
	PlacementEnded(placement dispatch.Placement, outcome balance.Outcome)
	AttemptEstablished(placement dispatch.Placement, attempt int, endpointID string, latency time.Duration)
	AttemptEnded(placement dispatch.Placement, attempt int, endpointID string, outcome balance.Outcome,
		latency time.Duration, load balance.LoadReport)
}

// Endpoints provides the addresses and states of endpoints.
type Endpoints interface {
	// Address returns host and port, or the empty string if the endpoint is not known.
	Address(endpointID string) string
	// CanSend reports whether datagrams may still be sent to an endpoint. It returns false from a
	// safety margin before the end of the endpoint's drain grace.
	CanSend(endpointID string, now time.Time) bool
	// CanBindFlow reports whether a new flow may be bound to an endpoint: CanSend must hold, and the
	// lease of the list that names the endpoint must be valid.
	CanBindFlow(endpointID string, now time.Time) bool
	// IsDraining reports whether an endpoint drains or was removed.
	IsDraining(endpointID string, now time.Time) bool
	// IsResponsive reports whether an endpoint answered its last probe. It returns true before the
	// first probe.
	IsResponsive(endpointID string) bool
}

// Options configure the listeners at one address. Limits apply to all listeners together.
type Options struct {
	Listen        netip.AddrPort // a specific address, because replies are sent from it
	Class         string         // class of the placements
	Deadline      time.Duration  // time limit of a placement
	Table         flowtable.Options
	Sources       flowtable.SourceOptions
	FlowQueue     flowtable.QueueLimit  // limit for datagrams of one flow that wait for its placement
	QueueBudget   flowtable.QueueBudget // limit for waiting datagrams of all flows
	NewFlows      flowtable.Pacer       // placements of new flows; limits the dispatcher's load in a flood
	ReplacedFlows flowtable.Pacer       // placements of flows that lost their endpoint
	Sockets       int                   // upstream sockets: one per flow, or per endpoint and listener
	SharedSockets bool                  // flows share a socket per endpoint; replies then need ProxyHeader
	ProxyHeader   bool                  // put a PROXY v2 header before each datagram to an endpoint
	Silence       flowtable.SilenceOptions
	Echo          string // echo request that endpoints answer as a health check; empty to use probes
}

// divide returns the options of one of several listeners at an address, with an equal part of each
// limit. The limits of sources are divided too, because the kernel distributes the flows of a
// source over all listeners.
func (o Options) divide(parts int) Options {
	divideUp := func(limit int) int { return max(1, (limit+parts-1)/parts) }
	o.Table.Entries = divideUp(o.Table.Entries)
	o.Sockets = max(1, o.Sockets/parts)
	o.QueueBudget.Count = divideUp(o.QueueBudget.Count)
	o.QueueBudget.Bytes = divideUp(o.QueueBudget.Bytes)
	o.Sources.Rate /= float64(parts)
	o.Sources.Burst = max(1, o.Sources.Burst/float64(parts))
	for _, pacer := range []*flowtable.Pacer{&o.NewFlows, &o.ReplacedFlows} {
		pacer.Rate /= float64(parts)
		pacer.Burst = max(1, pacer.Burst/float64(parts))
	}
	return o
}
