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
func (r *Replica) Propose(ctx context.Context, entry logentry.Entry) (logentry.Outcome, error) {
	raw, err := json.Marshal(&entry)
	if err != nil {
		return logentry.Outcome{}, fmt.Errorf("entry: %w", err)
	}
	if len(raw) > logentry.MaxSize {
		return logentry.Outcome{}, fmt.Errorf("entry: %d bytes, at most %d are taken", len(raw), logentry.MaxSize)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	lastErr := errors.New("no leader is known")
	for leaderHint, attempt := "", 0; ; attempt++ {
		leader := leaderHint
		if leader == "" {
			leader = r.View().Leader
		}
		target, ok := r.options.findVoter(leader)
		if !ok || attempt%2 == 1 && leaderHint == "" { // what is known may be old: any voter may know better
			target = r.options.Voters[attempt/2%len(r.options.Voters)]
		}
		var result proposalResult
		if target.Name == r.self.Name {
			result = r.proposeLocally(ctx, raw)
		} else {
			result = r.forwardProposal(ctx, target, raw)
		}
		switch {
		case result.OutcomeUnknown:
			return logentry.Outcome{}, fmt.Errorf("%w: %s: %s", ErrOutcomeUnknown, target.Name, result.Error)
		case result.Error == "":
			return result.Outcome, nil
		}
		lastErr = fmt.Errorf("%s: %s", target.Name, result.Error)
		if leaderHint = result.Leader; leaderHint == target.Name {
			leaderHint = ""
		}
		if leaderHint != "" && attempt%4 != 3 { // two may hold each other for the leader
			continue
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return logentry.Outcome{}, fmt.Errorf("not proposed: %w: %w", ctx.Err(), lastErr)
		}
	}
}

// send asks another member. Up to the moment that the entry goes out its faults are sure.
func (r *Replica) forwardProposal(ctx context.Context, target Voter, raw []byte) (result proposalResult) {
	conn, err := r.transport.dial(ctx, target.Addr, purposePropose, r.options.peerTimeout()/2)
	if err != nil {
		return proposalResult{Error: err.Error()}
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err = writeMessage(conn, msgProposal, raw); err == nil {
		err = readJSON(conn, msgProposalResult, &result)
	}
	if err != nil {
		return proposalResult{OutcomeUnknown: true, Error: err.Error()}
	}
	return result
}

// answerProposal serves one proposal of another member.
func (r *Replica) serveProposal(ctx context.Context, conn *sealedConn) {
	kind, raw, err := readMessage(conn, maxEntryMessageSize)
	if err != nil || kind != msgProposal {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_ = writeJSON(conn, msgProposalResult, r.proposeLocally(ctx, raw))
}

// decide proposes an entry here, if this member leads.
func (r *Replica) proposeLocally(ctx context.Context, raw []byte) proposalResult {
	raftNode := r.raft.Load()
	if raftNode == nil || raftNode.State() != raft.Leader {
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
		done <- r.commitEntry(raftNode, raw)
	}()
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
		return proposalResult{OutcomeUnknown: true, Error: ctx.Err().Error()}
	}
}

// commit takes an entry through raft. What would not be taken is refused at once, by a state
// that a barrier has brought up to date: VerifyLeader is not enough, as an answer to a
// heartbeat from before this process was stopped for a while can confirm it.
func (r *Replica) commitEntry(raftNode *raft.Raft, raw []byte) proposalResult {
	if r.IsLeader() && r.publisher.view.Load().State.Check(raw) != nil && raftNode.Barrier(requestTimeout).Error() == nil {
		if err := r.publisher.view.Load().State.Check(raw); err != nil {
			return proposalResult{Outcome: logentry.Outcome{Reason: err.Error()}}
		}
	}
	if r.options.Mutations.ApplyUncommitted {
		next, outcome := r.publisher.view.Load().State.Apply(raw)
		r.publisher.publishState(next, raw)
		raftNode.Apply(raw, requestTimeout)
		return proposalResult{Outcome: outcome}
	}
	future := raftNode.Apply(raw, requestTimeout)
	switch err := future.Error(); {
	case err == nil:
		return proposalResult{Outcome: future.Response().(logentry.Outcome)}
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return proposalResult{Error: err.Error()}
	default:
		return proposalResult{OutcomeUnknown: true, Error: err.Error()}
	}
}
