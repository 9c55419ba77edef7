package accounts

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi"
	"coralrelay/internal/fleet/logentry"
)

// What is known of a proposal's end.
const (
	unknown = iota // it may have been taken, or may yet be
	decided        // out tells
	absent         // it is no part of the log
)

// op is a proposal as its author saw it.
type op struct {
	entry     logentry.Entry
	raw       []byte // the entry as its agent hands it on
	what      string
	never     string // the rule that is broken if it is taken; empty where it may be
	to        string
	call, ret time.Time
	end       int
	out       logentry.Outcome
	why       string // it is not decided
}

func (o *op) taken() bool { return o.end == decided && o.out.Accepted }

// history is all proposals.
type history struct {
	mu    sync.Mutex
	ops   []*op
	lines []line
	races [][2]*op
}

// line is a line of grants that was revoked at an index: nothing by its keys is taken later.
type line struct {
	keys    []string
	revoked uint64
}

func (h *history) add(o *op) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

// propose signs a change and brings it to an agent.
func (s *scene) propose(k key, to string, c account.Change, what, never string) *op {
	body, err := json.Marshal(c)
	if err != nil {
		return &op{end: absent, why: err.Error()}
	}
	e := logentry.Entry{Kind: logentry.KindAccounts, ProposedAt: time.Now().UnixMilli(), Reason: what, KeyName: k.name(), Body: body}
	e.Signature = ed25519.Sign(ed25519.PrivateKey(k), e.SignedBytes())
	return s.bring(e, to, what, never)
}

// bring proposes an entry that is signed.
func (s *scene) bring(e logentry.Entry, to, what, never string) *op {
	e.ProposedBy = to
	raw, err := json.Marshal(&e)
	if err != nil {
		return &op{end: absent, why: err.Error()}
	}
	o := &op{entry: e, raw: raw, what: what, never: never, to: to}
	s.room[to] <- struct{}{} // as many as the agent has room for, beside the watchers
	o.call = time.Now()
	var answer struct {
		Outcome logentry.Outcome `json:"outcome"`
	}
	err = s.Agents[to].Call(agentapi.OperatorRequest{Method: "propose", Entry: raw}, &answer)
	o.ret = time.Now()
	<-s.room[to]
	var no *agentapi.CallError
	var dial *net.OpError
	switch {
	case err == nil:
		o.end, o.out = decided, answer.Outcome
	case errors.As(err, &no) && !no.OutcomeUnknown, errors.As(err, &dial) && dial.Op == "dial":
		o.end, o.why = absent, err.Error()
	default:
		o.why = err.Error()
	}
	s.log.add(o)
	return o
}

func (o *op) String() string {
	return fmt.Sprintf("%s by way of %s, %v: %+v %s", o.what, o.to, o.ret.Sub(o.call).Round(time.Millisecond), o.out, o.why)
}
