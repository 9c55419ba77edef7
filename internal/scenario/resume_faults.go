package scenario

import (
	"context"
	"sync"
	"time"

	"coralrelay/internal/fake"
)

// fault makes one fault happen and, in time, heal.
func (s *scene) fault(ctx context.Context, wg *sync.WaitGroup) error {
	now := time.Now()
	free := func(name string, hold time.Duration) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if now.Before(s.busy[name]) {
			return false
		}
		s.busy[name] = now.Add(hold)
		return true
	}
	// Some servers and nodes have to be sound at any time, or there is nowhere to
	// move to; a plan that finds none free waits for its turn.
	server := s.servers[s.rng.IntN(len(s.servers))]
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	if len(s.deck) == 0 {
		s.deck = s.rng.Perm(10) // all kinds come in a short scene too
	}
	kind := s.deck[0]
	s.deck = s.deck[1:]
	happens := false
	defer func() {
		if !happens {
			s.deck = append(s.deck, kind)
		}
	}()
	switch {
	case kind < 4:
		if happens = free("drained", 1200*time.Millisecond) && free(server.Name, 6*time.Second); happens {
			s.AddMetric("drains", 1)
			away := time.Duration(0)
			if kind%2 == 0 {
				away = 800 * time.Millisecond // it sends its clients away itself
			}
			wg.Go(func() { s.drain(ctx, server, away) })
		}
	case kind < 5:
		if happens = free(server.Name, 3*time.Second); happens {
			s.AddMetric("overloads", 1)
			wg.Go(func() {
				server.SetLoad(1.3)
				fake.Sleep(ctx, 1500*time.Millisecond)
				server.SetLoad(0)
			})
		}
	case kind < 6:
		if happens = free("killed", 4*time.Second) && free(server.Name, 8*time.Second); happens {
			s.AddMetric("servers killed", 1)
			wg.Go(func() { s.BounceServer(ctx, s.roster, server, s.names, 200*time.Millisecond, 800*time.Millisecond) })
		}
	case kind < 8:
		if happens = free("node", 4*time.Second); happens {
			s.AddMetric("planned restarts", 1)
			wg.Go(func() {
				if err := node.Restart(ctx); err != nil && ctx.Err() == nil {
					s.AddViolation("restart", err.Error())
				}
			})
		}
	default:
		if happens = free("node", 3*time.Second) && free(server.Name, 6*time.Second); happens {
			// Clients are told to move, and the node falls among their returns.
			s.AddMetric("nodes killed", 1)
			wg.Go(func() { s.drain(ctx, server, 0) })
			wait := 100*time.Millisecond + time.Duration(s.rng.IntN(1400))*time.Millisecond
			wg.Go(func() {
				fake.Sleep(ctx, wait)
				node.Kill()
				fake.Sleep(ctx, 300*time.Millisecond)
				if err := node.Start(ctx); err != nil && ctx.Err() == nil {
					s.AddViolation("restart", err.Error())
				}
			})
		}
	}
	return ctx.Err()
}

// drain has a server drain, and come back later.
func (s *scene) drain(ctx context.Context, v *fake.Server, away time.Duration) {
	s.roster.Set(v.Name, fake.Leaving, time.Time{}, nil)
	if s.Mutation != "drain" { // else it takes what it is wrongly sent, so that it is seen
		v.Drain(away)
	}
	fake.Sleep(ctx, 2500*time.Millisecond)
	v.Undrain()
	s.roster.Set(v.Name, fake.Active, time.Time{}, nil)
}
