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

// ErrOutcomeUnknown reports that a proposal may have become part of the log, or may yet: its
// answer was lost. The state will show it.
var ErrOutcomeUnknown = errors.New("what became of the entry is not known")

var (
	errNotLeader = errors.New("not the leader")
	errBusy      = errors.New("too many proposals in flight")
)

const (
	maxProposals   = 64              // in flight at the leader
	requestTimeout = 5 * time.Second // for a proposal or a voterRequest, to the answer
)

// Propose brings an entry to the leader and returns the outcome, once the entry is committed
// and applied there. An entry that would not be accepted is mostly rejected before it is
// logged: then Outcome.Index is 0. It is never sent twice: if its answer is lost, the error
// is ErrOutcomeUnknown. Any other error says that the entry is not part of the log. Propose
// returns within 5 s.
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
	leaderHint := ""
	for attempt := 0; ; attempt++ {
		target := r.proposalTarget(leaderHint, attempt)
		result := r.proposeTo(ctx, target, raw)
		if result.OutcomeUnknown {
			return logentry.Outcome{}, fmt.Errorf("%w: %s: %s", ErrOutcomeUnknown, target.Name, result.Error)
		}
		if result.Error == "" {
			return result.Outcome, nil
		}
		leaderHint = result.Leader
		if leaderHint == target.Name {
			leaderHint = ""
		}
		if leaderHint != "" && attempt%4 != 3 { // two may take each other for the leader
			continue
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return logentry.Outcome{}, fmt.Errorf("not proposed: %w: %s: %s", ctx.Err(), target.Name, result.Error)
		}
	}
}

// proposalTarget returns the voter to send a proposal to. Without a hint each second attempt
// goes to the voters in turn, since the leader known here may be out of date.
func (r *Replica) proposalTarget(leaderHint string, attempt int) Voter {
	leader := leaderHint
	if leader == "" {
		leader = r.View().Leader
	}
	target, ok := r.options.findVoter(leader)
	if ok && (leaderHint != "" || attempt%2 == 0) {
		return target
	}
	return r.options.Voters[attempt/2%len(r.options.Voters)]
}

// proposeTo proposes an entry at a voter, which may be this one.
func (r *Replica) proposeTo(ctx context.Context, target Voter, raw []byte) proposalResult {
	if target.Name == r.self.Name {
		return r.proposeLocally(ctx, raw)
	}
	return r.forwardProposal(ctx, target, raw)
}

// forwardProposal sends an entry to another voter. Until the entry is sent an error says
// that it is not part of the log.
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

// serveProposal answers one proposal that another member has forwarded.
func (r *Replica) serveProposal(ctx context.Context, conn *sealedConn) {
	kind, raw, err := readMessage(conn, maxEntryMessageSize)
	if err != nil || kind != msgProposal {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_ = writeJSON(conn, msgProposalResult, r.proposeLocally(ctx, raw))
}

// proposeLocally proposes an entry here, if this member leads.
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
	go func() { // ends when raft answers, at the latest when that shuts down
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

// commitEntry takes an entry through raft. One that would not be accepted is rejected at
// once, by a state that a barrier has brought up to date. VerifyLeader would not do: the
// answer to a heartbeat from before this process was stopped for a while can confirm it.
func (r *Replica) commitEntry(raftNode *raft.Raft, raw []byte) proposalResult {
	if r.IsLeader() && r.checkEntry(raw) != nil && raftNode.Barrier(requestTimeout).Error() == nil {
		if err := r.checkEntry(raw); err != nil {
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
	err := future.Error()
	if err == nil {
		return proposalResult{Outcome: future.Response().(logentry.Outcome)}
	}
	return proposalResult{OutcomeUnknown: !isNeverLogged(err), Error: err.Error()}
}

// checkEntry reports why the state known here would not accept an entry.
func (r *Replica) checkEntry(raw []byte) error {
	return r.publisher.view.Load().State.Check(raw)
}

// isNeverLogged reports whether raft's error says that the entry is not part of the log.
func isNeverLogged(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) ||
		errors.Is(err, raft.ErrEnqueueTimeout) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}
