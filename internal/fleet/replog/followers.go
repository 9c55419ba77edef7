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
func (r *Replica) serveFollower(ctx context.Context, conn *sealedConn) {
	defer func() { _ = conn.Close() }()
	var greeting hello
	_ = conn.SetDeadline(time.Now().Add(r.options.peerTimeout()))
	if err := readJSON(conn, msgHello, &greeting); err != nil {
		return
	}
	if rejected := r.admitFollower(&greeting, conn); rejected != nil {
		_ = writeJSON(conn, msgRejection, rejected)
		return
	}
	defer r.removeFollower(&greeting, conn)
	clock := &upstreamClock{lastSequence: 1, receivedAt: time.Now()}
	_ = conn.SetReadDeadline(time.Time{})
	gone := make(chan struct{})
	defer func() { _ = conn.Close(); <-gone }()
	go func() { // reads numbers until the connection is closed, by either side
		defer close(gone)
		for {
			if err := clock.readSequence(conn); err != nil {
				slog.Debug("record: a follower is gone", "follower", greeting.Name, "err", err)
				return
			}
		}
	}()
	sentIndex, sentConfirmedAt := greeting.Index, time.Time{}
	idle := time.NewTimer(0)
	defer idle.Stop()
	for heartbeatDue := true; ; {
		_, changed := r.publisher.changes()
		view := r.View()
		_ = conn.SetWriteDeadline(time.Now().Add(r.options.peerTimeout()))
		index, err := r.sendEntriesAfter(conn, sentIndex)
		if err != nil {
			return
		}
		sentIndex = index
		if heartbeatDue || view.ConfirmedAt.After(sentConfirmedAt) {
			if err := writeJSON(conn, msgHeartbeat, r.newHeartbeat(view, clock)); err != nil {
				return
			}
			sentConfirmedAt = view.ConfirmedAt
			idle.Reset(2 * r.options.heartbeatInterval()) // where the leader is heard, its pulse comes first
		}
		heartbeatDue = false
		select {
		case <-changed:
		case <-idle.C:
			heartbeatDue = true
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}

// pass writes all that comes after an index, and returns the last that was written.
func (r *Replica) sendEntriesAfter(conn *sealedConn, index uint64) (uint64, error) {
	entries, ok := r.publisher.entriesAfter(index)
	if !ok {
		state := r.publisher.view.Load().State
		payload, err := encodeState(state)
		if err != nil {
			return index, err
		}
		return state.Index, writeMessage(conn, msgState, payload)
	}
	for _, entry := range entries {
		if err := writeMessage(conn, msgEntry, binary.BigEndian.AppendUint64(nil, entry.index), entry.hash[:], entry.raw); err != nil {
			return index, err
		}
		index = entry.index
	}
	return index, nil
}

// beat is this member's word, its age told as of the last number.
func (r *Replica) newHeartbeat(view View, clock *upstreamClock) heartbeat {
	beat := heartbeat{Leader: view.Leader, Path: append(append([]string{}, view.Path...), r.self.Name)}
	if !view.ConfirmedAt.IsZero() {
		sequence, receivedAt := clock.acknowledge()
		beat.Sequence, beat.AgeMicros = sequence, receivedAt.Sub(view.ConfirmedAt).Microseconds()
	}
	return beat
}

// admit takes a follower in, or says why not and who may. Voters always have room.
func (r *Replica) admitFollower(greeting *hello, conn *sealedConn) *rejection {
	if greeting.Name == "" || len(greeting.Name) > maxNameLength {
		return &rejection{Reason: fmt.Sprintf("a name of %d bytes", len(greeting.Name))}
	}
	if greeting.Index > r.publisher.view.Load().State.Index {
		return &rejection{Reason: "behind"}
	}
	if known, ok := r.publisher.hashAt(greeting.Index); ok && known != greeting.Hash && !r.options.Mutations.SkipHashCheck {
		slog.Warn("record: a follower has another chain and is refused", "follower", greeting.Name, "index", greeting.Index)
		return &rejection{Reason: reasonForked}
	}
	_, isVoter := r.options.findVoter(greeting.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if previous := r.followers[greeting.Name]; previous != nil { // its process is a new one, or it has given the other up
		_ = previous.Close()
	} else if n := r.nonVoterFollowers(); !isVoter && n >= maxFollowers {
		rejected := &rejection{Reason: "full"}
		for name, follower := range r.followers {
			if _, isVoter := r.options.findVoter(name); !isVoter {
				rejected.Alternatives = append(rejected.Alternatives, Peer{Name: name, Addr: follower.followerAddr})
			}
		}
		return rejected
	}
	conn.followerAddr = greeting.Addr
	r.followers[greeting.Name] = conn
	n := len(r.followers)
	r.publisher.updateView(func(v *View) { v.FollowerCount = n })
	return nil
}

// fed counts the followers that have no vote. The lock is held.
func (r *Replica) nonVoterFollowers() (count int) {
	for name := range r.followers {
		if _, isVoter := r.options.findVoter(name); !isVoter {
			count++
		}
	}
	return count
}

func (r *Replica) removeFollower(greeting *hello, conn *sealedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followers[greeting.Name] == conn {
		delete(r.followers, greeting.Name)
	}
	n := len(r.followers)
	r.publisher.updateView(func(v *View) { v.FollowerCount = n })
}
