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
	failedAt := map[string]time.Time{} // who failed of late is asked last
	for ctx.Err() == nil {
		upstreamCtx, cancel := context.WithCancel(ctx)
		r.mu.Lock()
		r.leaveUpstream = cancel
		r.mu.Unlock()
		if r.IsLeader() {
			<-upstreamCtx.Done() // whoever leads no more is told so
		} else if !r.tryUpstreams(upstreamCtx, failedAt) {
			select {
			case <-time.After(retryInterval + rand.N(retryInterval)):
			case <-upstreamCtx.Done():
			}
		}
		cancel()
	}
}

// round asks one member after the other until one has fed this one, and tells whether one has.
func (r *Replica) tryUpstreams(ctx context.Context, failedAt map[string]time.Time) bool {
	queue, preferredCount := rankUpstreams(r.self.Name, r.options.Voters, r.options.Peers(), r.View().Leader)
	isPreferred := map[string]bool{}
	for _, peer := range queue[:preferredCount] {
		isPreferred[peer.Name] = true
	}
	for name, at := range failedAt {
		if time.Since(at) > r.options.peerTimeout() {
			delete(failedAt, name)
		}
	}
	slices.SortStableFunc(queue, func(a, b Peer) int {
		return boolToInt(!failedAt[a.Name].IsZero()) - boolToInt(!failedAt[b.Name].IsZero())
	})
	tried := map[string]bool{r.self.Name: true}
	for len(queue) > 0 && len(tried) <= maxUpstreamsTried && ctx.Err() == nil {
		peer := queue[0]
		queue = queue[1:]
		if tried[peer.Name] {
			continue
		}
		tried[peer.Name] = true
		fed, alternatives, err := r.followUpstream(ctx, peer, isPreferred[peer.Name])
		if err != nil && ctx.Err() == nil {
			slog.Debug("record: upstream", "peer", peer.Name, "err", err)
			failedAt[peer.Name] = time.Now()
		}
		if fed {
			return true
		}
		queue = append(queue, alternatives[:min(len(alternatives), maxFollowers)]...)
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
func (r *Replica) followUpstream(ctx context.Context, peer Peer, isPreferred bool) (fed bool, alternatives []Peer, err error) {
	conn, err := r.transport.dial(ctx, peer.Addr, purposeFollow, r.options.peerTimeout()/2)
	if err != nil {
		return false, nil, err
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	return r.receive(ctx, conn, peer, isPreferred)
}

// listen is attach once the member is called. It alone reads from c and writes to it.
func (r *Replica) receive(ctx context.Context, conn *sealedConn, peer Peer, isPreferred bool) (fed bool, alternatives []Peer, err error) {
	state := r.publisher.view.Load().State
	var clock followerClock
	clock.nextSequence()
	_ = conn.SetWriteDeadline(time.Now().Add(r.options.peerTimeout()))
	if err := writeJSON(conn, msgHello, hello{Name: r.self.Name, Addr: r.self.Addr, Index: state.Index, Hash: state.Hash}); err != nil {
		return false, nil, err
	}
	lastFreshAt := time.Now()
	reviewAt := lastFreshAt.Add(reviewLeases * r.options.Lease)
	for isPreferred || !fed || time.Now().Before(reviewAt) {
		_ = conn.SetReadDeadline(time.Now().Add(r.options.peerTimeout()))
		kind, payload, err := readMessage(conn, maxStateSize)
		if err != nil {
			return fed, nil, err
		}
		switch kind {
		case msgRejection:
			var rejected rejection
			if err := json.Unmarshal(payload, &rejected); err != nil {
				return fed, nil, err
			}
			if rejected.Reason == reasonForked {
				return fed, nil, fmt.Errorf("it holds that our chain at %d is another than the fleet's", state.Index)
			}
			return fed, rejected.Alternatives, nil
		case msgHeartbeat:
			var beat heartbeat
			if err := json.Unmarshal(payload, &beat); err != nil {
				return fed, nil, err
			}
			if len(beat.Path) > maxPathLength || slices.Contains(beat.Path, r.self.Name) {
				return fed, nil, errors.New("its word comes by way of this member, or by too many")
			}
			confirmedAt, err := clock.confirmedAt(&beat, reviewLeases*r.options.Lease)
			if err != nil {
				return fed, nil, err
			}
			if now := time.Now(); now.Sub(confirmedAt) < r.options.Lease {
				fed, lastFreshAt = true, now
				r.publisher.confirmLeader(confirmedAt, beat.Leader, beat.Path)
			} else if now.Sub(lastFreshAt) > r.options.peerTimeout() {
				return false, nil, errors.New("its word is old")
			}
			if beat.Sequence == clock.lastSequence {
				_ = conn.SetWriteDeadline(time.Now().Add(r.options.peerTimeout()))
				if err := writeMessage(conn, msgSequence, binary.BigEndian.AppendUint64(nil, clock.nextSequence())); err != nil {
					return fed, nil, err
				}
			}
		case msgEntry:
			err = r.applyEntry(payload)
		case msgState:
			err = r.applyState(payload)
		default:
			err = fmt.Errorf("message %q", kind)
		}
		if err != nil {
			slog.Warn("record: what an upstream says is not taken", "peer", peer.Name, "err", err)
			return false, nil, err
		}
	}
	return true, nil, nil
}

// takeEntry applies an entry that follows on what is known, if the chains agree.
func (r *Replica) applyEntry(payload []byte) error {
	const headerSize = 8 + len(logentry.Hash{})
	if len(payload) < headerSize {
		return fmt.Errorf("an entry of %d bytes", len(payload))
	}
	index, hash, raw := binary.BigEndian.Uint64(payload), logentry.Hash(payload[8:headerSize]), payload[headerSize:]
	state := r.publisher.view.Load().State
	if index <= state.Index { // it has come by raft, or by another upstream
		if known, ok := r.publisher.hashAt(index); ok && known != hash && !r.options.Mutations.SkipHashCheck {
			return fmt.Errorf("entry %d: another chain", index)
		}
		return nil
	}
	if index != state.Index+1 {
		return fmt.Errorf("entry %d: after %d", index, state.Index)
	}
	next, _ := state.Apply(raw)
	if next.Hash != hash && !r.options.Mutations.SkipHashCheck {
		return fmt.Errorf("entry %d: another chain", index)
	}
	r.publisher.publishState(next, raw)
	return nil
}

// takeState takes a whole state in place of what is known, if it is later.
func (r *Replica) applyState(payload []byte) error {
	state, err := decodeState(payload)
	if err == nil {
		err = state.AttachGenesis(r.options.Genesis)
	}
	if err == nil {
		r.publisher.publishState(state, nil)
	}
	return err
}
