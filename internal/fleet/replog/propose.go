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
	maxProposals   = 64              // under way at the leader
	requestTimeout = 5 * time.Second // for an answer
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
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	last := errors.New("no leader is known")
	for hint, turn := "", 0; ; turn++ {
		leader := hint
		if leader == "" {
			leader = r.View().Leader
		}
		to, ok := r.options.findVoter(leader)
		if !ok || turn%2 == 1 && hint == "" { // what is known may be old: any voter may know better
			to = r.options.Voters[turn/2%len(r.options.Voters)]
		}
		var a proposalResult
		if to.Name == r.self.Name {
			a = r.proposeLocally(ctx, raw)
		} else {
			a = r.forwardProposal(ctx, to, raw)
		}
		switch {
		case a.OutcomeUnknown:
			return logentry.Outcome{}, fmt.Errorf("%w: %s: %s", ErrOutcomeUnknown, to.Name, a.Error)
		case a.Error == "":
			return a.Outcome, nil
		}
		last = fmt.Errorf("%s: %s", to.Name, a.Error)
		if hint = a.Leader; hint == to.Name {
			hint = ""
		}
		if hint != "" && turn%4 != 3 { // two may hold each other for the leader
			continue
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return logentry.Outcome{}, fmt.Errorf("not proposed: %w: %w", ctx.Err(), last)
		}
	}
}

// send asks another member. Up to the moment that the entry goes out its faults are sure.
func (r *Replica) forwardProposal(ctx context.Context, to Voter, raw []byte) (a proposalResult) {
	c, err := r.transport.dial(ctx, to.Addr, purposePropose, r.options.peerTimeout()/2)
	if err != nil {
		return proposalResult{Error: err.Error()}
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if err = writeMessage(c, msgProposal, raw); err == nil {
		err = readJSON(c, msgProposalResult, &a)
	}
	if err != nil {
		return proposalResult{OutcomeUnknown: true, Error: err.Error()}
	}
	return a
}

// answerProposal serves one proposal of another member.
func (r *Replica) serveProposal(ctx context.Context, c *sealedConn) {
	kind, raw, err := readMessage(c, maxEntryMessageSize)
	if err != nil || kind != msgProposal {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_ = writeJSON(c, msgProposalResult, r.proposeLocally(ctx, raw))
}

// decide proposes an entry here, if this member leads.
func (r *Replica) proposeLocally(ctx context.Context, raw []byte) proposalResult {
	ra := r.raft.Load()
	if ra == nil || ra.State() != raft.Leader {
		return proposalResult{Error: errNotLeader.Error(), Leader: r.View().Leader}
	}
	select {
	case r.proposalSlots <- struct{}{}:
	default:
		return proposalResult{Error: errBusy.Error()}
	}
	done := make(chan proposalResult, 1)
	go func() { // ends with its raft, at the latest when that steps down
		defer func() { <-r.proposalSlots }()
		done <- r.commitEntry(ra, raw)
	}()
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return proposalResult{OutcomeUnknown: true, Error: ctx.Err().Error()}
	}
}

// commit takes an entry through raft. What would not be taken is refused at once, by a state
// that a barrier has brought up to date: VerifyLeader is not enough, as an answer to a
// heartbeat from before this process was stopped for a while can confirm it.
func (r *Replica) commitEntry(ra *raft.Raft, raw []byte) proposalResult {
	if r.IsLeader() && r.publisher.view.Load().State.Check(raw) != nil && ra.Barrier(requestTimeout).Error() == nil {
		if err := r.publisher.view.Load().State.Check(raw); err != nil {
			return proposalResult{Outcome: logentry.Outcome{Reason: err.Error()}}
		}
	}
	if r.options.Mutations.ApplyUncommitted {
		next, out := r.publisher.view.Load().State.Apply(raw)
		r.publisher.publishState(next, raw)
		ra.Apply(raw, requestTimeout)
		return proposalResult{Outcome: out}
	}
	f := ra.Apply(raw, requestTimeout)
	switch err := f.Error(); {
	case err == nil:
		return proposalResult{Outcome: f.Response().(logentry.Outcome)}
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return proposalResult{Error: err.Error()}
	default:
		return proposalResult{OutcomeUnknown: true, Error: err.Error()}
	}
}
