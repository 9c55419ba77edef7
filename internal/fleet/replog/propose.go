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

// ErrOutcomeUnknown reports a proposal whose answer was lost: its entry may be part of the log
// or may still become part of it. If it does, the state shows its effect.
var ErrOutcomeUnknown = errors.New("what became of the entry is not known")

var (
	errNotLeader = errors.New("not the leader")
	errBusy      = errors.New("too many proposals in flight")
)

const (
	maxProposals   = 64              // concurrent proposals at the leader
	requestTimeout = 5 * time.Second // until the answer to a proposal or a voterRequest
)

// Propose sends an entry to the leader and returns its outcome once the entry is committed and
// applied there. An entry that would not be accepted is usually rejected before it is logged;
// Outcome.Index is then 0. If an answer is lost, Propose does not send the entry again and
// returns ErrOutcomeUnknown. Any other error means that the entry is not part of the log.
// Propose returns within 5 s.
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
		if leaderHint != "" && attempt%4 != 3 { // pauses each 4th time: two voters may name each other
			continue
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return logentry.Outcome{}, fmt.Errorf("not proposed: %w: %s: %s", ctx.Err(), target.Name, result.Error)
		}
	}
}

// proposalTarget returns the voter to send a proposal to: the leader. Without a hint every
// second attempt goes to the voters in turn, since the known leader may be out of date.
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

// proposeTo proposes an entry to a voter, which may be this member.
func (r *Replica) proposeTo(ctx context.Context, target Voter, raw []byte) proposalResult {
	if target.Name == r.self.Name {
		return r.proposeLocally(ctx, raw)
	}
	return r.forwardProposal(ctx, target, raw)
}

// forwardProposal sends an entry to another voter. A failure to connect means that the entry
// is not part of the log; after any later failure the outcome is unknown.
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

// serveProposal answers one proposal forwarded by another member.
func (r *Replica) serveProposal(ctx context.Context, conn *sealedConn) {
	kind, raw, err := readMessage(conn, maxEntryMessageSize)
	if err != nil || kind != msgProposal {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_ = writeJSON(conn, msgProposalResult, r.proposeLocally(ctx, raw))
}

// proposeLocally proposes an entry to raft on this member, if it leads.
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
	go func() { // ends when raft answers, at the latest when raft shuts down
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

// commitEntry commits an entry through raft. It rejects an entry without logging it if the
// state does not accept the entry after a barrier has brought the state up to date.
// VerifyLeader cannot replace the barrier: if this process was stopped for a while, the
// answer to a heartbeat from before that can confirm a leader that has been replaced.
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

// checkEntry returns the reason for which this member's state does not accept an entry, or nil.
func (r *Replica) checkEntry(raw []byte) error {
	return r.publisher.view.Load().State.Check(raw)
}

// isNeverLogged reports whether raft's error means that the entry is not part of the log.
func isNeverLogged(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) ||
		errors.Is(err, raft.ErrEnqueueTimeout) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}
