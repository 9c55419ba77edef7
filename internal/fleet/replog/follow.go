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
	mostTried = 32 // members that are asked in one round
	mostPath  = 12 // hops of a word
	forked    = "another chain"
	retry     = 50 * time.Millisecond
	settle    = 10 // leases after which a member tries once more who suits it best
)

// follow keeps this member fed by another, unless it leads.
func (r *Replica) follow(ctx context.Context) {
	shy := map[string]time.Time{} // who failed of late is asked last
	for ctx.Err() == nil {
		hooked, cancel := context.WithCancel(ctx)
		r.mu.Lock()
		r.unhook = cancel
		r.mu.Unlock()
		if r.IsLeader() {
			<-hooked.Done() // whoever leads no more is told so
		} else if !r.round(hooked, shy) {
			select {
			case <-time.After(retry + rand.N(retry)):
			case <-hooked.Done():
			}
		}
		cancel()
	}
}

// round asks one member after the other until one has fed this one, and tells whether one has.
func (r *Replica) round(ctx context.Context, shy map[string]time.Time) bool {
	queue, suit := order(r.me.Name, r.o.Voters, r.o.Peers(), r.View().Leader)
	suits := map[string]bool{}
	for _, p := range queue[:suit] {
		suits[p.Name] = true
	}
	for name, at := range shy {
		if time.Since(at) > r.o.silence() {
			delete(shy, name)
		}
	}
	slices.SortStableFunc(queue, func(a, b Peer) int {
		return b2i(!shy[a.Name].IsZero()) - b2i(!shy[b.Name].IsZero())
	})
	tried := map[string]bool{r.me.Name: true}
	for len(queue) > 0 && len(tried) <= mostTried && ctx.Err() == nil {
		p := queue[0]
		queue = queue[1:]
		if tried[p.Name] {
			continue
		}
		tried[p.Name] = true
		fed, others, err := r.attach(ctx, p, suits[p.Name])
		if err != nil && ctx.Err() == nil {
			slog.Debug("record: upstream", "peer", p.Name, "err", err)
			shy[p.Name] = time.Now()
		}
		if fed {
			return true
		}
		queue = append(queue, others[:min(len(others), fan)]...)
	}
	return false
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// attach follows one member until that ends, and tells whether a fresh word came from it; if
// it has no room, who may. One that does not suit is left after a time, without an error.
func (r *Replica) attach(ctx context.Context, p Peer, suits bool) (fed bool, others []Peer, err error) {
	c, err := r.port.dial(ctx, p.Addr, forFollow, r.o.silence()/2)
	if err != nil {
		return false, nil, err
	}
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer func() { _ = c.Close() }()
	return r.listen(ctx, c, p, suits)
}

// listen is attach once the member is called. It alone reads from c and writes to it.
func (r *Replica) listen(ctx context.Context, c *conn, p Peer, suits bool) (fed bool, others []Peer, err error) {
	s := r.hub.view.Load().State
	var numbers sentNumbers
	numbers.next()
	_ = c.SetWriteDeadline(time.Now().Add(r.o.silence()))
	if err := sayJSON(c, msgHello, hello{Name: r.me.Name, Addr: r.me.Addr, Index: s.Index, Hash: s.Hash}); err != nil {
		return false, nil, err
	}
	fine := time.Now()
	until := fine.Add(settle * r.o.Lease)
	for suits || !fed || time.Now().Before(until) {
		_ = c.SetReadDeadline(time.Now().Add(r.o.silence()))
		kind, text, err := hear(c, mostState)
		if err != nil {
			return fed, nil, err
		}
		switch kind {
		case msgNo:
			var refused no
			if err := json.Unmarshal(text, &refused); err != nil {
				return fed, nil, err
			}
			if refused.Why == forked {
				return fed, nil, fmt.Errorf("it holds that our chain at %d is another than the fleet's", s.Index)
			}
			return fed, refused.Others, nil
		case msgBeat:
			var b beat
			if err := json.Unmarshal(text, &b); err != nil {
				return fed, nil, err
			}
			if len(b.Path) > mostPath || slices.Contains(b.Path, r.me.Name) {
				return fed, nil, errors.New("its word comes by way of this member, or by too many")
			}
			at, err := numbers.word(&b, settle*r.o.Lease)
			if err != nil {
				return fed, nil, err
			}
			if now := time.Now(); now.Sub(at) < r.o.Lease {
				fed, fine = true, now
				r.hub.heard(at, b.Leader, b.Path)
			} else if now.Sub(fine) > r.o.silence() {
				return false, nil, errors.New("its word is old")
			}
			if b.Number == numbers.last {
				_ = c.SetWriteDeadline(time.Now().Add(r.o.silence()))
				if err := say(c, msgNumber, binary.BigEndian.AppendUint64(nil, numbers.next())); err != nil {
					return fed, nil, err
				}
			}
		case msgEntry:
			err = r.takeEntry(text)
		case msgState:
			err = r.takeState(text)
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
func (r *Replica) takeEntry(text []byte) error {
	const head = 8 + len(logentry.Hash{})
	if len(text) < head {
		return fmt.Errorf("an entry of %d bytes", len(text))
	}
	index, hash, raw := binary.BigEndian.Uint64(text), logentry.Hash(text[8:head]), text[head:]
	s := r.hub.view.Load().State
	if index <= s.Index { // it has come by raft, or by another upstream
		if known, ok := r.hub.hash(index); ok && known != hash && !r.o.Mutations.SkipHashCheck {
			return fmt.Errorf("entry %d: another chain", index)
		}
		return nil
	}
	if index != s.Index+1 {
		return fmt.Errorf("entry %d: after %d", index, s.Index)
	}
	next, _ := s.Apply(raw)
	if next.Hash != hash && !r.o.Mutations.SkipHashCheck {
		return fmt.Errorf("entry %d: another chain", index)
	}
	r.hub.put(next, raw)
	return nil
}

// takeState takes a whole state in place of what is known, if it is later.
func (r *Replica) takeState(text []byte) error {
	s, err := unsealState(text)
	if err == nil {
		err = s.AttachGenesis(r.o.Genesis)
	}
	if err == nil {
		r.hub.put(s, nil)
	}
	return err
}
