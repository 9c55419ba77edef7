package replog

import (
	"context"
	"fmt"
	"log/slog"
	"time"
)

// serveFollower serves one follower until its connection or ctx ends. It sends the entries
// that the follower lacks, then each new entry once it is committed, and a heartbeat at each
// confirmation of the leader.
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
	disconnected := make(chan struct{})
	defer func() {
		_ = conn.Close()
		<-disconnected
	}()
	go func() { // ends when either side closes the connection
		defer close(disconnected)
		readSequences(conn, clock, greeting.Name)
	}()
	r.streamUpdates(ctx, conn, clock, greeting.Index, disconnected)
}

// readSequences reads a follower's sequence numbers until a read fails.
func readSequences(conn *sealedConn, clock *upstreamClock, follower string) {
	for {
		if err := clock.readSequence(conn); err != nil {
			slog.Debug("follower disconnected", component, "follower", follower, "error", err)
			return
		}
	}
}

// streamUpdates writes the entries after sentIndex and heartbeats to a follower, until a write
// fails, the follower disconnects or ctx ends.
func (r *Replica) streamUpdates(
	ctx context.Context, conn *sealedConn, clock *upstreamClock, sentIndex uint64, disconnected <-chan struct{},
) {
	sentConfirmedAt := time.Time{}
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
			idle.Reset(2 * r.options.heartbeatInterval()) // a leader's next confirmation arrives earlier
		}
		heartbeatDue = false
		select {
		case <-changed:
		case <-idle.C:
			heartbeatDue = true
		case <-disconnected:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendEntriesAfter writes all entries after index, or the complete state if some of these
// entries are no longer kept. It returns the index of the last entry that the follower then has.
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
	for i := range entries {
		entry := &entries[i]
		if err := writeMessage(conn, msgEntry, encodeEntryHeader(entry), entry.raw); err != nil {
			return index, err
		}
		index = entry.index
	}
	return index, nil
}

// newHeartbeat returns the heartbeat for a view. It acknowledges the follower's last sequence
// number if the view has a confirmation of the leader.
func (r *Replica) newHeartbeat(view View, clock *upstreamClock) heartbeat {
	beat := heartbeat{Leader: view.Leader, Path: append(append([]string{}, view.Path...), r.self.Name)}
	if !view.ConfirmedAt.IsZero() {
		sequence, receivedAt := clock.acknowledge()
		beat.Sequence = sequence
		beat.AgeMicros = receivedAt.Sub(view.ConfirmedAt).Microseconds()
	}
	return beat
}

// admitFollower registers a follower, or returns the rejection to send: its reason and, if
// this member is at capacity, its followers as alternatives. The capacity does not apply to
// voters.
func (r *Replica) admitFollower(greeting *hello, conn *sealedConn) *rejection {
	if greeting.Name == "" || len(greeting.Name) > maxNameLength {
		return &rejection{Reason: fmt.Sprintf("a name of %d bytes", len(greeting.Name))}
	}
	if greeting.Index > r.publisher.view.Load().State.Index {
		return &rejection{Reason: "behind"}
	}
	known, ok := r.publisher.hashAt(greeting.Index)
	if ok && known != greeting.Hash && !r.options.Mutations.SkipHashCheck {
		slog.Warn("follower with a different hash chain rejected", component,
			"follower", greeting.Name, "index", greeting.Index)
		return &rejection{Reason: reasonForked}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if previous := r.followers[greeting.Name]; previous != nil { // the follower restarted or abandoned it
		_ = previous.Close()
	} else if _, isVoter := r.options.findVoter(greeting.Name); !isVoter {
		if nonVoters := r.nonVoterFollowers(); len(nonVoters) >= maxFollowers {
			return &rejection{Reason: "full", Alternatives: nonVoters}
		}
	}
	conn.followerAddr = greeting.Addr
	r.followers[greeting.Name] = conn
	r.publishFollowerCount()
	return nil
}

// nonVoterFollowers returns the followers that are not voters. The caller holds mu.
func (r *Replica) nonVoterFollowers() (nonVoters []Peer) {
	for name, follower := range r.followers {
		if _, isVoter := r.options.findVoter(name); !isVoter {
			nonVoters = append(nonVoters, Peer{Name: name, Addr: follower.followerAddr})
		}
	}
	return nonVoters
}

// removeFollower unregisters a follower, unless a newer connection has replaced conn.
func (r *Replica) removeFollower(greeting *hello, conn *sealedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.followers[greeting.Name] == conn {
		delete(r.followers, greeting.Name)
	}
	r.publishFollowerCount()
}

// publishFollowerCount updates the number of followers in the view. The caller holds mu.
func (r *Replica) publishFollowerCount() {
	count := len(r.followers)
	r.publisher.updateView(func(v *View) { v.FollowerCount = count })
}
