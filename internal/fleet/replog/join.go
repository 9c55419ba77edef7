package replog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// What a member is asked: who it is, to take a voter back that has lost its store, and to
// give that its vote again.
const (
	actionDescribe = "who"
	actionReadmit  = "back"
	actionPromote  = "vote"
)

type voterRequest struct {
	Action       string `json:"want"`
	Name         string `json:"name"`
	AppliedIndex uint64 `json:"applied,omitempty"` // of raft's indices
}

// mine is what a voter says of its store. ID is empty where it has none open.
type voterInfo struct {
	StoreID         string            `json:"id,omitempty"`
	Bootstrapped    bool              `json:"founded,omitempty"`
	BootstrapStores map[string]string `json:"founders,omitempty"` // stores with which the fleet was founded, by voter
	Index           uint64            `json:"index"`              // of the state that it knows
	Error           string            `json:"fault,omitempty"`
}

// enter returns when this voter's store may vote. A store that has promised something may.
// A blank one may be one of the first, or in the place of one that was lost, whose promises
// nobody knows any more: then the leader takes this member back as one without a vote.
func (r *Replica) join(ctx context.Context, store *voterStore) error {
	if !store.isBlank() {
		return nil
	}
	id := store.store.ID.String()
	logged := ""
	for {
		stores, lost, waitReason := r.surveyVoters(ctx, id)
		switch {
		case stores != nil:
			return store.bootstrap(r.initialConfiguration(), stores)
		case lost:
			waitReason = r.requestReadmission(ctx)
			if waitReason == "" {
				slog.Info("record: taken back, without a vote until the log is here")
				return nil
			}
		}
		if waitReason != logged {
			logged = waitReason
			slog.Info("record: no vote yet", "why", waitReason)
		}
		select {
		case <-time.After(r.options.heartbeatInterval()):
		case <-store.failed:
			return errors.New("disk")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// look asks all voters. It returns the founding stores if this one is among them, or if all
// are there and blank; lost tells that the fleet was founded with another in its place.
func (r *Replica) surveyVoters(ctx context.Context, ownStore string) (stores map[string]string, lost bool, waitReason string) {
	blankStores := map[string]string{r.self.Name: ownStore}
	if r.View().State.Index > 0 {
		waitReason = "this member knows of entries, so the fleet was founded before"
	}
	for _, v := range r.options.Voters {
		if v.Name == r.self.Name {
			continue
		}
		info, err := r.queryVoter(ctx, v.Addr, voterRequest{Action: actionDescribe, Name: r.self.Name})
		switch {
		case err != nil || info.StoreID == "":
			waitReason = "voter " + v.Name + " can't be asked, or its disk not used"
		case info.Bootstrapped && info.BootstrapStores[r.self.Name] == ownStore:
			return info.BootstrapStores, false, ""
		case info.Bootstrapped:
			lost = true
		case info.Index > 0:
			waitReason = "voter " + v.Name + " knows of entries, so the fleet was founded before"
		default:
			blankStores[v.Name] = info.StoreID
		}
	}
	if lost || waitReason != "" {
		return nil, lost, waitReason
	}
	return blankStores, false, ""
}

func (r *Replica) initialConfiguration() (configuration raft.Configuration) {
	for _, v := range r.options.Voters {
		configuration.Servers = append(configuration.Servers, raft.Server{ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
	}
	return configuration
}

// back asks the voters until one of them, the leader, has taken this member back; else why not.
func (r *Replica) requestReadmission(ctx context.Context) (waitReason string) {
	waitReason = "its store was lost, and no leader takes it back"
	for _, v := range r.options.Voters {
		if v.Name == r.self.Name {
			continue
		}
		if info, err := r.queryVoter(ctx, v.Addr, voterRequest{Action: actionReadmit, Name: r.self.Name}); err == nil && info.Error == "" {
			return ""
		}
	}
	return waitReason
}

// askVote asks for this member's vote, if it has none: it gets it once it holds all that the
// leader had when it was taken back.
func (r *Replica) requestPromotion(ctx context.Context, raftNode *raft.Raft) {
	if leader, _ := raftNode.LeaderWithID(); leader != "" && !hasVote(raftNode, r.self.Name) {
		_, _ = r.queryVoter(ctx, string(leader), voterRequest{Action: actionPromote, Name: r.self.Name, AppliedIndex: raftNode.AppliedIndex()})
	}
}

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

func (r *Replica) queryVoter(ctx context.Context, addr string, request voterRequest) (info voterInfo, err error) {
	conn, err := r.transport.dial(ctx, addr, purposeVoterRequest, r.options.peerTimeout())
	if err != nil {
		return info, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if err := writeJSON(conn, msgVoterRequest, request); err != nil {
		return info, err
	}
	return info, readJSON(conn, msgVoterInfo, &info)
}

// answerAsk serves another member's question.
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

// seat changes raft's members for a voter that has lost its store. Its vote is taken from it
// before it runs raft again, so that no majority counts what it has forgotten.
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
		future := raftNode.GetConfiguration() // the change that took it back came after all that it can have promised
		if err := future.Error(); err != nil || request.AppliedIndex < future.Index() {
			return errors.Join(err, errors.New("it has not caught up"))
		}
		return raftNode.AddVoter(id, address, 0, requestTimeout).Error()
	}
	if err := raftNode.RemoveServer(id, 0, requestTimeout).Error(); err != nil {
		return err
	}
	return raftNode.AddNonvoter(id, address, 0, requestTimeout).Error()
}
