package replog

import (
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"time"
)

// feed serves one follower until it goes: what it lacks at once, then each entry as it
// comes, and each new word of the leader's.
func (r *Replica) serveFollower(ctx context.Context, c *sealedConn) {
	defer func() { _ = c.Close() }()
	var h hello
	_ = c.SetDeadline(time.Now().Add(r.options.peerTimeout()))
	if err := readJSON(c, msgHello, &h); err != nil {
		return
	}
	if refused := r.admitFollower(&h, c); refused != nil {
		_ = writeJSON(c, msgRejection, refused)
		return
	}
	defer r.removeFollower(&h, c)
	numbers := &upstreamClock{lastSequence: 1, receivedAt: time.Now()}
	_ = c.SetReadDeadline(time.Time{})
	gone := make(chan struct{})
	defer func() { _ = c.Close(); <-gone }()
	go func() { // reads numbers until the connection is closed, by either side
		defer close(gone)
		for {
			if err := numbers.readSequence(c); err != nil {
				slog.Debug("record: a follower is gone", "follower", h.Name, "err", err)
				return
			}
		}
	}()
	at, told := h.Index, time.Time{}
	idle := time.NewTimer(0)
	defer idle.Stop()
	for due := true; ; {
		_, moved := r.publisher.changes()
		v := r.View()
		_ = c.SetWriteDeadline(time.Now().Add(r.options.peerTimeout()))
		n, err := r.sendEntriesAfter(c, at)
		if err != nil {
			return
		}
		at = n
		if due || v.ConfirmedAt.After(told) {
			if err := writeJSON(c, msgHeartbeat, r.newHeartbeat(v, numbers)); err != nil {
				return
			}
			told = v.ConfirmedAt
			idle.Reset(2 * r.options.heartbeatInterval()) // where the leader is heard, its pulse comes first
		}
		due = false
		select {
		case <-moved:
		case <-idle.C:
			due = true
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// pass writes all that comes after an index, and returns the last that was written.
func (r *Replica) sendEntriesAfter(c *sealedConn, at uint64) (uint64, error) {
	lines, ok := r.publisher.entriesAfter(at)
	if !ok {
		s := r.publisher.view.Load().State
		text, err := encodeState(s)
		if err != nil {
			return at, err
		}
		return s.Index, writeMessage(c, msgState, text)
	}
	for _, l := range lines {
		if err := writeMessage(c, msgEntry, binary.BigEndian.AppendUint64(nil, l.index), l.hash[:], l.raw); err != nil {
			return at, err
		}
		at = l.index
	}
	return at, nil
}

// beat is this member's word, its age told as of the last number.
func (r *Replica) newHeartbeat(v View, n *upstreamClock) heartbeat {
	b := heartbeat{Leader: v.Leader, Path: append(append([]string{}, v.Path...), r.self.Name)}
	if !v.ConfirmedAt.IsZero() {
		number, at := n.acknowledge()
		b.Sequence, b.AgeMicros = number, at.Sub(v.ConfirmedAt).Microseconds()
	}
	return b
}

// admit takes a follower in, or says why not and who may. Voters always have room.
func (r *Replica) admitFollower(h *hello, c *sealedConn) *rejection {
	if h.Name == "" || len(h.Name) > maxNameLength {
		return &rejection{Reason: fmt.Sprintf("a name of %d bytes", len(h.Name))}
	}
	if h.Index > r.publisher.view.Load().State.Index {
		return &rejection{Reason: "behind"}
	}
	if known, ok := r.publisher.hashAt(h.Index); ok && known != h.Hash && !r.options.Mutations.SkipHashCheck {
		slog.Warn("record: a follower has another chain and is refused", "follower", h.Name, "index", h.Index)
		return &rejection{Reason: reasonForked}
	}
	_, votes := r.options.findVoter(h.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.followers[h.Name]; old != nil { // its process is a new one, or it has given the other up
		_ = old.Close()
	} else if n := r.nonVoterFollowers(); !votes && n >= maxFollowers {
		refused := &rejection{Reason: "full"}
		for name, child := range r.followers {
			if _, votes := r.options.findVoter(name); !votes {
				refused.Alternatives = append(refused.Alternatives, Peer{Name: name, Addr: child.followerAddr})
			}
		}
		return refused
	}
	c.followerAddr = h.Addr
	r.followers[h.Name] = c
	n := len(r.followers)
	r.publisher.updateView(func(v *View) { v.FollowerCount = n })
	return nil
}

// fed counts the followers that have no vote. The lock is held.
func (r *Replica) nonVoterFollowers() (n int) {
	for name := range r.followers {
		if _, votes := r.options.findVoter(name); !votes {
			n++
		}
	}
	return n
}

func (r *Replica) removeFollower(h *hello, c *sealedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followers[h.Name] == c {
		delete(r.followers, h.Name)
	}
	n := len(r.followers)
	r.publisher.updateView(func(v *View) { v.FollowerCount = n })
}
