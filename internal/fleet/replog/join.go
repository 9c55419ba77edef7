package replog

import (
	"context"
	"log/slog"
	"time"

	"github.com/hashicorp/raft"
)

// voterSurvey summarizes the other voters' answers about the fleet's bootstrap.
type voterSurvey struct {
	stores     storeIDs // to bootstrap with; nil if this voter cannot bootstrap now
	storeLost  bool     // the fleet was bootstrapped with another store of this voter
	waitReason string   // why this voter has to wait; empty if it need not
}

// join returns nil once raft may run on this voter's store. A store that is not blank may be
// used at once, since it holds the voter's votes and log. A blank store is either one of the
// stores with which the fleet is bootstrapped, or replaces a store that was lost together with
// the votes in it: the leader then readmits this voter, at first as a non-voter.
func (r *Replica) join(ctx context.Context, votes *voterStore) error {
	if !votes.isBlank() {
		return nil
	}
	loggedReason := ""
	for {
		survey := r.surveyVoters(ctx, votes.store.ID.String())
		if survey.stores != nil {
			return votes.bootstrap(r.initialConfiguration(), survey.stores)
		}
		waitReason := survey.waitReason
		if survey.storeLost {
			if r.requestReadmission(ctx) {
				slog.Info("readmitted as a non-voter until the log is replicated", component)
				return nil
			}
			waitReason = "the voter's store was lost, and no leader has readmitted it"
		}
		if waitReason != loggedReason {
			loggedReason = waitReason
			slog.Info("voter waits for its vote", component, "reason", waitReason)
		}
		select {
		case <-time.After(r.options.heartbeatInterval()):
		case <-votes.failed:
			return votes.failure()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// surveyVoters asks all other voters about their stores. The result has stores to bootstrap
// with if the fleet was bootstrapped with ownStore, or if no voter has entries and all voters
// answer with blank stores.
func (r *Replica) surveyVoters(ctx context.Context, ownStore string) voterSurvey {
	survey := voterSurvey{}
	blankStores := storeIDs{r.self.Name: ownStore}
	if r.View().State.Index > 0 {
		survey.waitReason = "this member has entries, so the fleet was bootstrapped before"
	}
	for _, v := range r.options.Voters {
		if v.Name == r.self.Name {
			continue
		}
		info, err := r.queryVoter(ctx, v.Addr, voterRequest{Action: actionDescribe, Name: r.self.Name})
		switch {
		case err != nil || info.StoreID == "":
			survey.waitReason = "voter " + v.Name + " does not answer, or has no store open"
		case info.Bootstrapped && info.BootstrapStores[r.self.Name] == ownStore:
			return voterSurvey{stores: info.BootstrapStores}
		case info.Bootstrapped:
			survey.storeLost = true
		case info.Index > 0:
			survey.waitReason = "voter " + v.Name + " has entries, so the fleet was bootstrapped before"
		default:
			blankStores[v.Name] = info.StoreID
		}
	}
	if !survey.storeLost && survey.waitReason == "" {
		survey.stores = blankStores
	}
	return survey
}

// initialConfiguration returns raft's first configuration, which consists of all voters.
func (r *Replica) initialConfiguration() (configuration raft.Configuration) {
	for _, v := range r.options.Voters {
		server := raft.Server{ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)}
		configuration.Servers = append(configuration.Servers, server)
	}
	return configuration
}

// requestReadmission asks the other voters in turn to readmit this one, and reports whether
// one has. Only the leader does.
func (r *Replica) requestReadmission(ctx context.Context) bool {
	for _, v := range r.options.Voters {
		if v.Name == r.self.Name {
			continue
		}
		info, err := r.queryVoter(ctx, v.Addr, voterRequest{Action: actionReadmit, Name: r.self.Name})
		if err == nil && info.Error == "" {
			return true
		}
	}
	return false
}

// requestPromotion asks the leader to give this member a vote, if it has none.
func (r *Replica) requestPromotion(ctx context.Context, raftNode *raft.Raft) {
	leader, _ := raftNode.LeaderWithID()
	if leader == "" || hasVote(raftNode, r.self.Name) {
		return
	}
	request := voterRequest{Action: actionPromote, Name: r.self.Name, AppliedIndex: raftNode.AppliedIndex()}
	_, _ = r.queryVoter(ctx, string(leader), request)
}

// queryVoter sends a request to a voter and returns its answer.
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
