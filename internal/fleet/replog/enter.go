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
func (r *Replica) join(ctx context.Context, d *voterStore) error {
	if !d.isBlank() {
		return nil
	}
	id := d.store.ID.String()
	said := ""
	for {
		founders, lost, waits := r.surveyVoters(ctx, id)
		switch {
		case founders != nil:
			return d.bootstrap(r.initialConfiguration(), founders)
		case lost:
			waits = r.requestReadmission(ctx)
			if waits == "" {
				slog.Info("record: taken back, without a vote until the log is here")
				return nil
			}
		}
		if waits != said {
			said = waits
			slog.Info("record: no vote yet", "why", waits)
		}
		select {
		case <-time.After(r.options.heartbeatInterval()):
		case <-d.failed:
			return errors.New("disk")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// look asks all voters. It returns the founding stores if this one is among them, or if all
// are there and blank; lost tells that the fleet was founded with another in its place.
func (r *Replica) surveyVoters(ctx context.Context, id string) (founders map[string]string, lost bool, waits string) {
	all := map[string]string{r.self.Name: id}
	if r.View().State.Index > 0 {
		waits = "this member knows of entries, so the fleet was founded before"
	}
	for _, v := range r.options.Voters {
		if v.Name == r.self.Name {
			continue
		}
		m, err := r.queryVoter(ctx, v.Addr, voterRequest{Action: actionDescribe, Name: r.self.Name})
		switch {
		case err != nil || m.StoreID == "":
			waits = "voter " + v.Name + " can't be asked, or its disk not used"
		case m.Bootstrapped && m.BootstrapStores[r.self.Name] == id:
			return m.BootstrapStores, false, ""
		case m.Bootstrapped:
			lost = true
		case m.Index > 0:
			waits = "voter " + v.Name + " knows of entries, so the fleet was founded before"
		default:
			all[v.Name] = m.StoreID
		}
	}
	if lost || waits != "" {
		return nil, lost, waits
	}
	return all, false, ""
}

func (r *Replica) initialConfiguration() (c raft.Configuration) {
	for _, v := range r.options.Voters {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
	}
	return c
}

// back asks the voters until one of them, the leader, has taken this member back; else why not.
func (r *Replica) requestReadmission(ctx context.Context) (waits string) {
	waits = "its store was lost, and no leader takes it back"
	for _, v := range r.options.Voters {
		if v.Name == r.self.Name {
			continue
		}
		if m, err := r.queryVoter(ctx, v.Addr, voterRequest{Action: actionReadmit, Name: r.self.Name}); err == nil && m.Error == "" {
			return ""
		}
	}
	return waits
}

// askVote asks for this member's vote, if it has none: it gets it once it holds all that the
// leader had when it was taken back.
func (r *Replica) requestPromotion(ctx context.Context, ra *raft.Raft) {
	if leader, _ := ra.LeaderWithID(); leader != "" && !hasVote(ra, r.self.Name) {
		_, _ = r.queryVoter(ctx, string(leader), voterRequest{Action: actionPromote, Name: r.self.Name, AppliedIndex: ra.AppliedIndex()})
	}
}

func hasVote(ra *raft.Raft, name string) bool {
	f := ra.GetConfiguration()
	if f.Error() != nil {
		return false
	}
	for _, s := range f.Configuration().Servers {
		if s.ID == raft.ServerID(name) {
			return s.Suffrage == raft.Voter
		}
	}
	return false
}

func (r *Replica) queryVoter(ctx context.Context, addr string, q voterRequest) (m voterInfo, err error) {
	c, err := r.transport.dial(ctx, addr, purposeVoterRequest, r.options.peerTimeout())
	if err != nil {
		return m, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if err := writeJSON(c, msgVoterRequest, q); err != nil {
		return m, err
	}
	return m, readJSON(c, msgVoterInfo, &m)
}

// answerAsk serves another member's question.
func (r *Replica) serveVoterRequest(c *sealedConn) {
	var q voterRequest
	if readJSON(c, msgVoterRequest, &q) != nil {
		return
	}
	m := voterInfo{}
	if own := r.voterInfo.Load(); own != nil {
		m = *own
	}
	m.Index = r.View().State.Index
	if q.Action != actionDescribe {
		m.Error = errorText(r.changeMembership(q))
	}
	_ = writeJSON(c, msgVoterInfo, m)
}

// seat changes raft's members for a voter that has lost its store. Its vote is taken from it
// before it runs raft again, so that no majority counts what it has forgotten.
func (r *Replica) changeMembership(q voterRequest) error {
	ra := r.raft.Load()
	if ra == nil || !r.IsLeader() {
		return errNotLeader
	}
	v, ok := r.options.findVoter(q.Name)
	if !ok {
		return fmt.Errorf("fleet.record.voters: %.64q is not among them", q.Name)
	}
	id, at := raft.ServerID(v.Name), raft.ServerAddress(v.Addr)
	if q.Action == actionPromote {
		f := ra.GetConfiguration() // the change that took it back came after all that it can have promised
		if err := f.Error(); err != nil || q.AppliedIndex < f.Index() {
			return errors.Join(err, errors.New("it has not caught up"))
		}
		return ra.AddVoter(id, at, 0, requestTimeout).Error()
	}
	if err := ra.RemoveServer(id, 0, requestTimeout).Error(); err != nil {
		return err
	}
	return ra.AddNonvoter(id, at, 0, requestTimeout).Error()
}
