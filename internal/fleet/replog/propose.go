package replog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
)

// ErrUnknown is that a proposal may have become part of the log, or may yet: its answer was
// lost. The state tells in time.
var ErrOutcomeUnknown = errors.New("what became of the entry is not known")

var (
	errNotLeader = errors.New("it does not lead")
	errBusy      = errors.New("too many proposals are under way there")
)

const (
	mostProposals = 64              // under way at the leader
	mostWait      = 5 * time.Second // for an answer
)

// Propose brings an entry to the leader and returns what became of it, once it is committed
// and applied there. An entry that would not be taken is mostly refused before it is logged:
// then Outcome.Index is 0. It is never sent twice: an answer that is lost is ErrUnknown; any
// other error says that it is no part of the log. It waits 5 s at most.
func (r *Replica) Propose(ctx context.Context, e logentry.Entry) (logentry.Outcome, error) {
	raw, err := json.Marshal(&e)
	if err != nil {
		return logentry.Outcome{}, fmt.Errorf("entry: %w", err)
	}
	if len(raw) > logentry.MaxSize {
		return logentry.Outcome{}, fmt.Errorf("entry: %d bytes, at most %d are taken", len(raw), logentry.MaxSize)
	}
	ctx, cancel := context.WithTimeout(ctx, mostWait)
	defer cancel()
	last := errors.New("no leader is known")
	for hint, turn := "", 0; ; turn++ {
		leader := hint
		if leader == "" {
			leader = r.View().Leader
		}
		to, ok := r.o.voter(leader)
		if !ok || turn%2 == 1 && hint == "" { // what is known may be old: any voter may know better
			to = r.o.Voters[turn/2%len(r.o.Voters)]
		}
		var a answer
		if to.Name == r.me.Name {
			a = r.decide(ctx, raw)
		} else {
			a = r.send(ctx, to, raw)
		}
		switch {
		case a.Unknown:
			return logentry.Outcome{}, fmt.Errorf("%w: %s: %s", ErrOutcomeUnknown, to.Name, a.Fault)
		case a.Fault == "":
			return a.Outcome, nil
		}
		last = fmt.Errorf("%s: %s", to.Name, a.Fault)
		if hint = a.Leader; hint == to.Name {
			hint = ""
		}
		if hint != "" && turn%4 != 3 { // two may hold each other for the leader
			continue
		}
		select {
		case <-time.After(retry):
		case <-ctx.Done():
			return logentry.Outcome{}, fmt.Errorf("not proposed: %w: %w", ctx.Err(), last)
		}
	}
}

// send asks another member. Up to the moment that the entry goes out its faults are sure.
func (r *Replica) send(ctx context.Context, to Voter, raw []byte) (a answer) {
	c, err := r.port.dial(ctx, to.Addr, forPropose, r.o.silence()/2)
	if err != nil {
		return answer{Fault: err.Error()}
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if err = say(c, msgPropose, raw); err == nil {
		err = hearJSON(c, msgAnswer, &a)
	}
	if err != nil {
		return answer{Unknown: true, Fault: err.Error()}
	}
	return a
}

// answerProposal serves one proposal of another member.
func (r *Replica) answerProposal(ctx context.Context, c *conn) {
	kind, raw, err := hear(c, mostEntry)
	if err != nil || kind != msgPropose {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, mostWait)
	defer cancel()
	_ = sayJSON(c, msgAnswer, r.decide(ctx, raw))
}

// decide proposes an entry here, if this member leads.
func (r *Replica) decide(ctx context.Context, raw []byte) answer {
	ra := r.raft.Load()
	if ra == nil || ra.State() != raft.Leader {
		return answer{Fault: errNotLeader.Error(), Leader: r.View().Leader}
	}
	select {
	case r.proposes <- struct{}{}:
	default:
		return answer{Fault: errBusy.Error()}
	}
	done := make(chan answer, 1)
	go func() { // ends with its raft, at the latest when that steps down
		defer func() { <-r.proposes }()
		done <- r.commit(ra, raw)
	}()
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return answer{Unknown: true, Fault: ctx.Err().Error()}
	}
}

// commit takes an entry through raft. What would not be taken is refused at once, by a state
// that a barrier has brought up to date: VerifyLeader is not enough, as an answer to a
// heartbeat from before this process was stopped for a while can confirm it.
func (r *Replica) commit(ra *raft.Raft, raw []byte) answer {
	if r.IsLeader() && r.hub.view.Load().State.Check(raw) != nil && ra.Barrier(mostWait).Error() == nil {
		if err := r.hub.view.Load().State.Check(raw); err != nil {
			return answer{Outcome: logentry.Outcome{Reason: err.Error()}}
		}
	}
	if r.o.Mutations.ApplyUncommitted {
		next, out := r.hub.view.Load().State.Apply(raw)
		r.hub.put(next, raw)
		ra.Apply(raw, mostWait)
		return answer{Outcome: out}
	}
	f := ra.Apply(raw, mostWait)
	switch err := f.Error(); {
	case err == nil:
		return answer{Outcome: f.Response().(logentry.Outcome)}
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return answer{Fault: err.Error()}
	default:
		return answer{Unknown: true, Fault: err.Error()}
	}
}
