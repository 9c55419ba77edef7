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
	wantWho  = "who"
	wantBack = "back"
	wantVote = "vote"
)

type ask struct {
	Want    string `json:"want"`
	Name    string `json:"name"`
	Applied uint64 `json:"applied,omitempty"` // of raft's indices
}

// mine is what a voter says of its store. ID is empty where it has none open.
type mine struct {
	ID       string            `json:"id,omitempty"`
	Founded  bool              `json:"founded,omitempty"`
	Founders map[string]string `json:"founders,omitempty"` // stores with which the fleet was founded, by voter
	Index    uint64            `json:"index"`              // of the state that it knows
	Fault    string            `json:"fault,omitempty"`
}

// enter returns when this voter's store may vote. A store that has promised something may.
// A blank one may be one of the first, or in the place of one that was lost, whose promises
// nobody knows any more: then the leader takes this member back as one without a vote.
func (r *Replica) enter(ctx context.Context, d *disk) error {
	if !d.blank() {
		return nil
	}
	id := d.st.ID.String()
	said := ""
	for {
		founders, lost, waits := r.look(ctx, id)
		switch {
		case founders != nil:
			return d.found(r.configuration(), founders)
		case lost:
			waits = r.back(ctx)
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
		case <-time.After(r.o.pulse()):
		case <-d.broken:
			return errors.New("disk")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// look asks all voters. It returns the founding stores if this one is among them, or if all
// are there and blank; lost tells that the fleet was founded with another in its place.
func (r *Replica) look(ctx context.Context, id string) (founders map[string]string, lost bool, waits string) {
	all := map[string]string{r.me.Name: id}
	if r.View().State.Index > 0 {
		waits = "this member knows of entries, so the fleet was founded before"
	}
	for _, v := range r.o.Voters {
		if v.Name == r.me.Name {
			continue
		}
		m, err := r.ask(ctx, v.Addr, ask{Want: wantWho, Name: r.me.Name})
		switch {
		case err != nil || m.ID == "":
			waits = "voter " + v.Name + " can't be asked, or its disk not used"
		case m.Founded && m.Founders[r.me.Name] == id:
			return m.Founders, false, ""
		case m.Founded:
			lost = true
		case m.Index > 0:
			waits = "voter " + v.Name + " knows of entries, so the fleet was founded before"
		default:
			all[v.Name] = m.ID
		}
	}
	if lost || waits != "" {
		return nil, lost, waits
	}
	return all, false, ""
}

func (r *Replica) configuration() (c raft.Configuration) {
	for _, v := range r.o.Voters {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(v.Name), Address: raft.ServerAddress(v.Addr)})
	}
	return c
}

// back asks the voters until one of them, the leader, has taken this member back; else why not.
func (r *Replica) back(ctx context.Context) (waits string) {
	waits = "its store was lost, and no leader takes it back"
	for _, v := range r.o.Voters {
		if v.Name == r.me.Name {
			continue
		}
		if m, err := r.ask(ctx, v.Addr, ask{Want: wantBack, Name: r.me.Name}); err == nil && m.Fault == "" {
			return ""
		}
	}
	return waits
}

// askVote asks for this member's vote, if it has none: it gets it once it holds all that the
// leader had when it was taken back.
func (r *Replica) askVote(ctx context.Context, ra *raft.Raft) {
	if leader, _ := ra.LeaderWithID(); leader != "" && !hasVote(ra, r.me.Name) {
		_, _ = r.ask(ctx, string(leader), ask{Want: wantVote, Name: r.me.Name, Applied: ra.AppliedIndex()})
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

func (r *Replica) ask(ctx context.Context, addr string, q ask) (m mine, err error) {
	c, err := r.port.dial(ctx, addr, forAsk, r.o.silence())
	if err != nil {
		return m, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(mostWait))
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	if err := sayJSON(c, msgAsk, q); err != nil {
		return m, err
	}
	return m, hearJSON(c, msgMine, &m)
}

// answerAsk serves another member's question.
func (r *Replica) answerAsk(c *conn) {
	var q ask
	if hearJSON(c, msgAsk, &q) != nil {
		return
	}
	m := mine{}
	if own := r.own.Load(); own != nil {
		m = *own
	}
	m.Index = r.View().State.Index
	if q.Want != wantWho {
		m.Fault = text(r.seat(q))
	}
	_ = sayJSON(c, msgMine, m)
}

// seat changes raft's members for a voter that has lost its store. Its vote is taken from it
// before it runs raft again, so that no majority counts what it has forgotten.
func (r *Replica) seat(q ask) error {
	ra := r.raft.Load()
	if ra == nil || !r.IsLeader() {
		return errNotLeader
	}
	v, ok := r.o.voter(q.Name)
	if !ok {
		return fmt.Errorf("fleet.record.voters: %.64q is not among them", q.Name)
	}
	id, at := raft.ServerID(v.Name), raft.ServerAddress(v.Addr)
	if q.Want == wantVote {
		f := ra.GetConfiguration() // the change that took it back came after all that it can have promised
		if err := f.Error(); err != nil || q.Applied < f.Index() {
			return errors.Join(err, errors.New("it has not caught up"))
		}
		return ra.AddVoter(id, at, 0, mostWait).Error()
	}
	if err := ra.RemoveServer(id, 0, mostWait).Error(); err != nil {
		return err
	}
	return ra.AddNonvoter(id, at, 0, mostWait).Error()
}
