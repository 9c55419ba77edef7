package replog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/raft"
)

// Raft takes a snapshot after so many entries, and keeps as many behind it for voters that
// were away for a moment.
const keptLogs = 1024

// longestPause bounds how long a voter waits whose disk comes back and fails again.
const longestPause = 30 * time.Second

// voter keeps this member's vote for as long as its disk can be written. When it can't, the
// member goes on in memory, as a follower, and tries the disk each second.
func (r *Replica) voter(ctx context.Context) {
	for pause := again; ctx.Err() == nil; {
		began := time.Now()
		err := r.vote(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("record: no vote, going on in memory", "err", err)
		r.hub.change(func(v *View) { v.Role, v.DiskError = "memory", text(err) })
		r.rehook()
		if time.Since(began) > longestPause {
			pause = again
		}
		for tried := false; !tried || r.probe() != nil; tried = true {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return
			}
		}
		pause = min(2*pause, longestPause)
	}
}

// probe tells whether the disk takes what a vote would need: fresh blocks, at a place behind
// all that the store has.
func (r *Replica) probe() error {
	if err := r.o.InjectFault("probe"); err != nil {
		return err
	}
	const size = 64 << 10
	end := int64(0)
	if info, err := os.Stat(filepath.Join(r.o.Dir, "votes.db")); err == nil {
		end = info.Size()
	}
	path := filepath.Join(r.o.Dir, "probe")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(make([]byte, size), end)
	return errors.Join(err, f.Sync(), f.Close(), os.Remove(path))
}

// vote runs raft until ctx ends or the disk fails, and returns why.
func (r *Replica) vote(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLayer(ctx, r.port, r.me.Addr)
	defer func() { _ = l.Close() }()
	d, why, err := openDisk(&r.o, func() { _ = l.Close() })
	if err != nil {
		return err
	}
	defer func() { _ = d.close() }()
	if why != "" {
		slog.Warn("record: votes set aside", "why", why)
	}
	r.own.Store(&mine{ID: d.st.ID.String(), Founded: !d.blank(), Founders: d.founders})
	defer r.own.Store(nil)
	r.hub.change(func(v *View) { v.Role, v.DiskError = "waiting", "" })
	if err := r.enter(ctx, d); err != nil {
		return err
	}
	r.own.Store(&mine{ID: d.st.ID.String(), Founded: true, Founders: d.founders})

	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(r.me.Name)
	c.HeartbeatTimeout, c.ElectionTimeout = r.o.beat(), r.o.beat()
	c.LeaderLeaseTimeout, c.CommitTimeout = r.o.beat()/2, r.o.beat()/4
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = keptLogs, keptLogs, 15*r.o.Lease
	c.ShutdownOnRemove = false
	leads := make(chan bool, 8)
	c.NotifyCh = leads
	c.LogOutput, c.LogLevel = debugLines{r.o.RaftLog}, "INFO"
	trans := raft.NewNetworkTransport(l, 3, r.o.silence(), debugLines{r.o.RaftLog})
	defer func() { _ = trans.Close() }()
	ra, err := raft.NewRaft(c, &machine{r, r.first}, d, d, d, trans)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	defer func() {
		r.raft.Store(nil)
		r.layer.Store(nil)
		r.ready.Store(0)
		_ = l.Close()
		_ = ra.Shutdown().Error()
		r.rehook()
	}()
	seen := make(chan raft.Observation, 8)
	watcher := raft.NewObserver(seen, false, func(o *raft.Observation) bool { _, ok := o.Data.(raft.LeaderObservation); return ok })
	ra.RegisterObserver(watcher)
	defer ra.DeregisterObserver(watcher)
	r.raft.Store(ra)
	r.layer.Store(l)
	return r.stand(ctx, d, ra, leads, seen)
}

// stand follows raft's changes until the disk fails.
func (r *Replica) stand(ctx context.Context, d *disk, ra *raft.Raft, leads <-chan bool, seen <-chan raft.Observation) error {
	ended := make(chan struct{})
	defer func() { <-ended }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // pulses as long as raft runs; ends with ctx or when raft no longer answers
		defer close(ended)
		r.pulses(ctx, ra)
	}()
	t := time.NewTicker(r.o.beat())
	defer t.Stop()
	for {
		r.show(ra)
		select {
		case <-leads:
			r.show(ra)
			r.rehook()
		case <-seen:
			r.show(ra)
			r.rehook()
		case <-t.C:
			r.askVote(ctx, ra)
		case <-d.broken:
			d.write.Lock()
			defer d.write.Unlock()
			return d.bad
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// show brings role and leader into the view.
func (r *Replica) show(ra *raft.Raft) {
	_, leader := ra.LeaderWithID()
	role := "voter"
	switch {
	case r.IsLeader():
		role = "leader"
	case !hasVote(ra, r.me.Name):
		role = "waiting"
	}
	v := r.hub.view.Load()
	if v.Role == role && (leader == "" || v.Leader == string(leader)) {
		return
	}
	r.hub.change(func(v *View) {
		v.Role = role
		if leader != "" {
			v.Leader = string(leader)
		}
	})
}

// pulses gives the fleet the leader's word while this member leads. A word counts from the
// moment before a majority confirmed it.
func (r *Replica) pulses(ctx context.Context, ra *raft.Raft) {
	t := time.NewTicker(r.o.pulse())
	defer t.Stop()
	for {
		if ra.State() == raft.Leader {
			if term := ra.CurrentTerm(); r.ready.Load() != term && ra.Barrier(r.o.Lease).Error() == nil {
				r.ready.Store(term)
				r.show(ra)
				r.rehook()
			}
			at := time.Now()
			if r.IsLeader() && ra.VerifyLeader().Error() == nil {
				r.hub.heard(at, r.me.Name, nil)
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// debugLines passes raft's lines on, each without its time and with its level's place taken.
type debugLines struct{ to io.Writer }

func (d debugLines) Write(b []byte) (int, error) {
	for _, text := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		if at := strings.IndexByte(text, '['); at >= 0 {
			text = text[at:]
		}
		if _, err := io.WriteString(d.to, "[DEBUG] record: "+text+"\n"); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}
