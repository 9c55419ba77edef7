package soak

import (
	"context"

	"coralrelay/internal/fake"
)

// playServerFault plays a fault at its servers.
func (r *run) playServerFault(ctx context.Context, fault *Fault) {
	for _, number := range fault.Servers {
		r.servers[number].begin(fault.Kind)
	}
	r.awaitEnd(ctx, fault)
	for _, number := range fault.Servers {
		r.servers[number].end(fault.Kind)
	}
}

// begin starts a fault of the server.
func (s *server) begin(kind Kind) {
	switch kind {
	case serverHangs:
		s.hangs.Store(true)
	case serverDrains:
		s.relist(fake.Leaving)
		s.drains.Store(true)
	case serverLeaves:
		s.relist(fake.Left)
	case serverDies:
		s.stop()
		_ = s.run.proxy.SetDown(s.name(), true)
		s.run.history.addChange("died", -1, s.number)
	case serverClosesIdle:
		s.closesIdle.Store(true)
	case serverForgets:
		s.ignoresIdle.Store(true)
	case serverSpoils:
		s.corruptsReplies.Store(true)
	case serverDoubles:
		s.duplicatesReplies.Store(true)
	case serverBusy:
		s.busy.Store(true)
	}
}

// end ends a fault of the server. A server that had died comes back cold.
func (s *server) end(kind Kind) {
	switch kind {
	case serverHangs:
		s.hangs.Store(false)
	case serverDrains:
		s.drains.Store(false)
		s.relist(fake.Active)
	case serverLeaves:
		s.relist(fake.Active)
	case serverDies:
		if err := s.start(); err != nil {
			return // another fault has already started the server
		}
		_ = s.run.proxy.SetDown(s.name(), false)
		s.relist(fake.Active)
	case serverClosesIdle:
		s.closesIdle.Store(false)
	case serverForgets:
		s.ignoresIdle.Store(false)
	case serverSpoils:
		s.corruptsReplies.Store(false)
	case serverDoubles:
		s.duplicatesReplies.Store(false)
	case serverBusy:
		s.busy.Store(false)
	}
}
