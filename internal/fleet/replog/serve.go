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
func (r *Replica) feed(ctx context.Context, c *conn) {
	defer func() { _ = c.Close() }()
	var h hello
	_ = c.SetDeadline(time.Now().Add(r.o.silence()))
	if err := hearJSON(c, msgHello, &h); err != nil {
		return
	}
	if refused := r.admit(&h, c); refused != nil {
		_ = sayJSON(c, msgNo, refused)
		return
	}
	defer r.dismiss(&h, c)
	numbers := &readNumbers{last: 1, at: time.Now()}
	_ = c.SetReadDeadline(time.Time{})
	gone := make(chan struct{})
	defer func() { _ = c.Close(); <-gone }()
	go func() { // reads numbers until the connection is closed, by either side
		defer close(gone)
		for {
			if err := numbers.read(c); err != nil {
				slog.Debug("record: a follower is gone", "follower", h.Name, "err", err)
				return
			}
		}
	}()
	at, told := h.Index, time.Time{}
	idle := time.NewTimer(0)
	defer idle.Stop()
	for due := true; ; {
		_, moved := r.hub.waits()
		v := r.View()
		_ = c.SetWriteDeadline(time.Now().Add(r.o.silence()))
		n, err := r.pass(c, at)
		if err != nil {
			return
		}
		at = n
		if due || v.ConfirmedAt.After(told) {
			if err := sayJSON(c, msgBeat, r.beat(v, numbers)); err != nil {
				return
			}
			told = v.ConfirmedAt
			idle.Reset(2 * r.o.pulse()) // where the leader is heard, its pulse comes first
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
func (r *Replica) pass(c *conn, at uint64) (uint64, error) {
	lines, ok := r.hub.since(at)
	if !ok {
		s := r.hub.view.Load().State
		text, err := sealState(s)
		if err != nil {
			return at, err
		}
		return s.Index, say(c, msgState, text)
	}
	for _, l := range lines {
		if err := say(c, msgEntry, binary.BigEndian.AppendUint64(nil, l.index), l.hash[:], l.raw); err != nil {
			return at, err
		}
		at = l.index
	}
	return at, nil
}

// beat is this member's word, its age told as of the last number.
func (r *Replica) beat(v View, n *readNumbers) beat {
	b := beat{Leader: v.Leader, Path: append(append([]string{}, v.Path...), r.me.Name)}
	if !v.ConfirmedAt.IsZero() {
		number, at := n.tell()
		b.Number, b.Age = number, at.Sub(v.ConfirmedAt).Microseconds()
	}
	return b
}

// admit takes a follower in, or says why not and who may. Voters always have room.
func (r *Replica) admit(h *hello, c *conn) *no {
	if h.Name == "" || len(h.Name) > longestName {
		return &no{Why: fmt.Sprintf("a name of %d bytes", len(h.Name))}
	}
	if h.Index > r.hub.view.Load().State.Index {
		return &no{Why: "behind"}
	}
	if known, ok := r.hub.hash(h.Index); ok && known != h.Hash && !r.o.Mutations.SkipHashCheck {
		slog.Warn("record: a follower has another chain and is refused", "follower", h.Name, "index", h.Index)
		return &no{Why: forked}
	}
	_, votes := r.o.voter(h.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.children[h.Name]; old != nil { // its process is a new one, or it has given the other up
		_ = old.Close()
	} else if n := r.fed(); !votes && n >= fan {
		refused := &no{Why: "full"}
		for name, child := range r.children {
			if _, votes := r.o.voter(name); !votes {
				refused.Others = append(refused.Others, Peer{Name: name, Addr: child.peer})
			}
		}
		return refused
	}
	c.peer = h.Addr
	r.children[h.Name] = c
	n := len(r.children)
	r.hub.change(func(v *View) { v.Followers = n })
	return nil
}

// fed counts the followers that have no vote. The lock is held.
func (r *Replica) fed() (n int) {
	for name := range r.children {
		if _, votes := r.o.voter(name); !votes {
			n++
		}
	}
	return n
}

func (r *Replica) dismiss(h *hello, c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.children[h.Name] == c {
		delete(r.children, h.Name)
	}
	n := len(r.children)
	r.hub.change(func(v *View) { v.Followers = n })
}
