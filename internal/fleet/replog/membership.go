package replog

import (
	"errors"
	"fmt"

	"github.com/hashicorp/raft"
)

// errBehind reports a promotion request from a voter that has not caught up.
var errBehind = errors.New("the voter has not caught up")

// hasVote reports whether the latest raft configuration known to this member gives the named
// member a vote.
func hasVote(raftNode *raft.Raft, name string) bool {
	future := raftNode.GetConfiguration()
	if future.Error() != nil {
		return false
	}
	for _, server := range future.Configuration().Servers {
		if server.ID == raft.ServerID(name) {
			return server.Suffrage == raft.Voter
		}
	}
	return false
}

// serveVoterRequest answers one request from another voter.
func (r *Replica) serveVoterRequest(conn *sealedConn) {
	var request voterRequest
	if readJSON(conn, msgVoterRequest, &request) != nil {
		return
	}
	info := voterInfo{}
	if own := r.voterInfo.Load(); own != nil {
		info = *own
	}
	info.Index = r.View().State.Index
	if request.Action != actionDescribe {
		info.Error = errorText(r.changeMembership(request))
	}
	_ = writeJSON(conn, msgVoterInfo, info)
}

// changeMembership changes raft's configuration for a voter that has lost its store, if this
// member leads. Readmission removes that voter's vote before that voter runs raft again, so
// that no majority relies on the votes and entries lost with the store. Promotion gives the
// vote back.
func (r *Replica) changeMembership(request voterRequest) error {
	raftNode := r.raft.Load()
	if raftNode == nil || !r.IsLeader() {
		return errNotLeader
	}
	voter, ok := r.options.findVoter(request.Name)
	if !ok {
		return fmt.Errorf("fleet.record.voters: %.64q is not among them", request.Name)
	}
	id, address := raft.ServerID(voter.Name), raft.ServerAddress(voter.Addr)
	if request.Action == actionPromote {
		// The readmission was logged after every entry that the lost store may have held, so a
		// voter that has applied the latest configuration has recovered them.
		future := raftNode.GetConfiguration()
		if err := future.Error(); err != nil || request.AppliedIndex < future.Index() {
			return errors.Join(err, errBehind)
		}
		return raftNode.AddVoter(id, address, 0, requestTimeout).Error()
	}
	if err := raftNode.RemoveServer(id, 0, requestTimeout).Error(); err != nil {
		return err
	}
	return raftNode.AddNonvoter(id, address, 0, requestTimeout).Error()
}
