package udp

import (
	"net/netip"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/flowtable"
)

// Dispatcher places flows on endpoints; the event loop of package dispatch does.
type Dispatcher interface {
	Submit(placement dispatch.Placement, starter dispatch.AttemptStarter)
	ClientGone(placement dispatch.Placement)
	PlacementEnded(placement dispatch.Placement, outcome balance.Outcome)
	AttemptEstablished(placement dispatch.Placement, attempt int, endpointID string, latency time.Duration)
	AttemptEnded(placement dispatch.Placement, attempt int, endpointID string, outcome balance.Outcome,
		latency time.Duration, load balance.LoadReport)
}

// Endpoints knows the addresses and states of endpoints.
type Endpoints interface {
	// Address is host and port, or empty if the endpoint is not known.
	Address(endpointID string) string
	// CanSend is false once an endpoint's drain grace is over, less a safety margin.
	CanSend(endpointID string, now time.Time) bool
	// MayBegin is whether a new flow may be bound to the endpoint: CanSend, and the list that names it may be
	// relied on.
	MayBegin(endpointID string, now time.Time) bool
	// IsDraining is true of endpoints that drain or were removed.
	IsDraining(endpointID string, now time.Time) bool
	// IsResponsive is the result of the last probe, and true before the first.
	IsResponsive(endpointID string) bool
}

// Options configure the listeners at one address, all together.
type Options struct {
	Listen        netip.AddrPort // one address, since replies come from it; not the unspecified one
	Class         string         // of the placements
	Deadline      time.Duration  // for a placement
	Table         flowtable.Options
	Sources       flowtable.SourceOptions
	FlowQueue     flowtable.QueueLimit  // datagrams of one flow that wait for its placement
	QueueBudget   flowtable.QueueBudget // datagrams of all flows that wait
	NewFlows      flowtable.Pacer       // placements of new flows: what a flood may cost the dispatcher
	ReplacedFlows flowtable.Pacer       // placements of flows that lost their endpoint
	Sockets       int                   // upstream sockets: one for each flow, or each endpoint and listener
	SharedSockets bool                  // flows share an endpoint's socket; replies need ProxyHeader then
	ProxyHeader   bool                  // a PROXY v2 header is put before each datagram to endpoints
	Silence       flowtable.SilenceOptions
	Echo          string // datagram that endpoints answer as a health check; empty to use their probes
}

// share returns the options of one of several listeners at the address. The kernel spreads the
// flows of a source over all listeners, so that the limits of sources are divided too.
func (o Options) share(parts int) Options {
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
