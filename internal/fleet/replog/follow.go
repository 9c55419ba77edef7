package replog

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"coralrelay/internal/fleet/logentry"
)

const (
	maxUpstreamsTried = 32 // members that are asked in one round
	maxPathLength     = 12 // hops of a word
	reasonForked      = "another chain"
	retryInterval     = 50 * time.Millisecond
	reviewLeases      = 10 // leases after which a member tries once more who suits it best
)

// follow keeps this member fed by another, unless it leads.
func (r *Replica) follow(ctx context.Context) {
	shy := map[string]time.Time{} // who failed of late is asked last
	for ctx.Err() == nil {
		hooked, cancel := context.WithCancel(ctx)
		r.mu.Lock()
		r.leaveUpstream = cancel
		r.mu.Unlock()
		if r.IsLeader() {
			<-hooked.Done() // whoever leads no more is told so
		} else if !r.tryUpstreams(hooked, shy) {
			select {
			case <-time.After(retryInterval + rand.N(retryInterval)):
			case <-hooked.Done():
			}
		}
		cancel()
	}
}

// round asks one member after the other until one has fed this one, and tells whether one has.
func (r *Replica) tryUpstreams(ctx context.Context, shy map[string]time.Time) bool {
	queue, suit := rankUpstreams(r.self.Name, r.options.Voters, r.options.Peers(), r.View().Leader)
	suits := map[string]bool{}
	for _, p := range queue[:suit] {
		suits[p.Name] = true
	}
	for name, at := range shy {
		if time.Since(at) > r.options.peerTimeout() {
			delete(shy, name)
		}
	}
	slices.SortStableFunc(queue, func(a, b Peer) int {
		return boolToInt(!shy[a.Name].IsZero()) - boolToInt(!shy[b.Name].IsZero())
	})
	tried := map[string]bool{r.self.Name: true}
	for len(queue) > 0 && len(tried) <= maxUpstreamsTried && ctx.Err() == nil {
		p := queue[0]
		queue = queue[1:]
		if tried[p.Name] {
			continue
		}
		tried[p.Name] = true
		fed, others, err := r.followUpstream(ctx, p, suits[p.Name])
		if err != nil && ctx.Err() == nil {
			slog.Debug("record: upstream", "peer", p.Name, "err", err)
			shy[p.Name] = time.Now()
		}
		if fed {
			return true
		}
		queue = append(queue, others[:min(len(others), maxFollowers)]...)
	}
	return false
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// attach follows one member until that ends, and tells whether a fresh word came from it; if
// it has no room, who may. One that does not suit is left after a time, without an error.
func (r *Replica) followUpstream(ctx context.Context, p Peer, suits bool) (fed bool, others []Peer, err error) {
	c, err := r.transport.dial(ctx, p.Addr, purposeFollow, r.options.peerTimeout()/2)
	if err != nil {
		return false, nil, err
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	return r.receive(ctx, c, p, suits)
}

// listen is attach once the member is called. It alone reads from c and writes to it.
func (r *Replica) receive(ctx context.Context, c *sealedConn, p Peer, suits bool) (fed bool, others []Peer, err error) {
	s := r.publisher.view.Load().State
	var numbers followerClock
	numbers.nextSequence()
	_ = c.SetWriteDeadline(time.Now().Add(r.options.peerTimeout()))
	if err := writeJSON(c, msgHello, hello{Name: r.self.Name, Addr: r.self.Addr, Index: s.Index, Hash: s.Hash}); err != nil {
		return false, nil, err
	}
	fine := time.Now()
	until := fine.Add(reviewLeases * r.options.Lease)
	for suits || !fed || time.Now().Before(until) {
		_ = c.SetReadDeadline(time.Now().Add(r.options.peerTimeout()))
		kind, text, err := readMessage(c, maxStateSize)
		if err != nil {
			return fed, nil, err
		}
		switch kind {
		case msgRejection:
			var refused rejection
			if err := json.Unmarshal(text, &refused); err != nil {
				return fed, nil, err
			}
			if refused.Reason == reasonForked {
				return fed, nil, fmt.Errorf("it holds that our chain at %d is another than the fleet's", s.Index)
			}
			return fed, refused.Alternatives, nil
		case msgHeartbeat:
			var b heartbeat
			if err := json.Unmarshal(text, &b); err != nil {
				return fed, nil, err
			}
			if len(b.Path) > maxPathLength || slices.Contains(b.Path, r.self.Name) {
				return fed, nil, errors.New("its word comes by way of this member, or by too many")
			}
			at, err := numbers.confirmedAt(&b, reviewLeases*r.options.Lease)
			if err != nil {
				return fed, nil, err
			}
			if now := time.Now(); now.Sub(at) < r.options.Lease {
				fed, fine = true, now
				r.publisher.confirmLeader(at, b.Leader, b.Path)
			} else if now.Sub(fine) > r.options.peerTimeout() {
				return false, nil, errors.New("its word is old")
			}
			if b.Sequence == numbers.lastSequence {
				_ = c.SetWriteDeadline(time.Now().Add(r.options.peerTimeout()))
				if err := writeMessage(c, msgSequence, binary.BigEndian.AppendUint64(nil, numbers.nextSequence())); err != nil {
					return fed, nil, err
				}
			}
		case msgEntry:
			err = r.applyEntry(text)
		case msgState:
			err = r.applyState(text)
		default:
			err = fmt.Errorf("message %q", kind)
		}
		if err != nil {
			slog.Warn("record: what an upstream says is not taken", "peer", p.Name, "err", err)
			return false, nil, err
		}
	}
	return true, nil, nil
}

// takeEntry applies an entry that follows on what is known, if the chains agree.
func (r *Replica) applyEntry(text []byte) error {
	const head = 8 + len(logentry.Hash{})
	if len(text) < head {
		return fmt.Errorf("an entry of %d bytes", len(text))
	}
	index, hash, raw := binary.BigEndian.Uint64(text), logentry.Hash(text[8:head]), text[head:]
	s := r.publisher.view.Load().State
	if index <= s.Index { // it has come by raft, or by another upstream
		if known, ok := r.publisher.hashAt(index); ok && known != hash && !r.options.Mutations.SkipHashCheck {
			return fmt.Errorf("entry %d: another chain", index)
		}
		return nil
	}
	if index != s.Index+1 {
		return fmt.Errorf("entry %d: after %d", index, s.Index)
	}
	next, _ := s.Apply(raw)
	if next.Hash != hash && !r.options.Mutations.SkipHashCheck {
		return fmt.Errorf("entry %d: another chain", index)
	}
	r.publisher.publishState(next, raw)
	return nil
}

// takeState takes a whole state in place of what is known, if it is later.
func (r *Replica) applyState(text []byte) error {
	s, err := decodeState(text)
	if err == nil {
		err = s.AttachGenesis(r.options.Genesis)
	}
	if err == nil {
		r.publisher.publishState(s, nil)
	}
	return err
}
