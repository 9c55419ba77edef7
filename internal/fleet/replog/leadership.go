package replog

import (
	"context"
	"time"

	"github.com/hashicorp/raft"
)

// raftEvents are the channels on which raft reports changes while it runs.
type raftEvents struct {
	leadership    <-chan bool             // whether this member leads, sent at each change
	leaderChanges <-chan raft.Observation // sent at each change of the known leader
}

// superviseRaft handles raft's events until ctx ends or the voter's store fails, and returns
// the cause.
func (r *Replica) superviseRaft(ctx context.Context, raftNode *raft.Raft, votes *voterStore, events raftEvents) error {
	confirmationEnded := make(chan struct{})
	defer func() { <-confirmationEnded }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // ends after ctx, once raft has answered a pending call
		defer close(confirmationEnded)
		r.confirmLeadership(ctx, raftNode)
	}()
	ticker := time.NewTicker(r.options.electionTimeout())
	defer ticker.Stop()
	for {
		r.publishRole(raftNode)
		select {
		case <-events.leadership:
			r.publishRole(raftNode)
			r.reselectUpstream()
		case <-events.leaderChanges:
			r.publishRole(raftNode)
			r.reselectUpstream()
		case <-ticker.C:
			r.requestPromotion(ctx, raftNode)
		case <-votes.failed:
			return votes.failure()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// publishRole updates this member's role and the leader's name in the view.
func (r *Replica) publishRole(raftNode *raft.Raft) {
	_, leader := raftNode.LeaderWithID()
	role := RoleVoter
	switch {
	case r.IsLeader():
		role = RoleLeader
	case !hasVote(raftNode, r.self.Name):
		role = RoleWaiting
	}
	v := r.publisher.view.Load()
	if v.Role == role && (leader == "" || v.Leader == string(leader)) {
		return
	}
	r.publisher.updateView(func(v *View) {
		v.Role = role
		if leader != "" {
			v.Leader = string(leader)
		}
	})
}

// confirmLeadership calls confirmTerm at each heartbeat interval while this member leads, until
// ctx ends.
func (r *Replica) confirmLeadership(ctx context.Context, raftNode *raft.Raft) {
	ticker := time.NewTicker(r.options.heartbeatInterval())
	defer ticker.Stop()
	for {
		if raftNode.State() == raft.Leader {
			r.confirmTerm(raftNode)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// confirmTerm marks this leader as ready in its term once all earlier commits are applied. It
// then asks a majority whether this member still leads, and publishes the confirmation. The
// confirmation is dated to just before the majority is asked.
func (r *Replica) confirmTerm(raftNode *raft.Raft) {
	term := raftNode.CurrentTerm()
	if r.readyTerm.Load() != term && raftNode.Barrier(r.options.Lease).Error() == nil {
		r.readyTerm.Store(term)
		r.publishRole(raftNode)
		r.reselectUpstream()
	}
	confirmedAt := time.Now()
	if r.IsLeader() && raftNode.VerifyLeader().Error() == nil {
		r.publisher.confirmLeader(confirmedAt, r.self.Name, nil)
	}
}
