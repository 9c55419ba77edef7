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
	outcomeUnknown = iota // it may have been taken, or may yet be
	outcomeKnown          // out tells
	notProposed           // it is no part of the log
)

// op is a proposal as its author saw it.
type proposal struct {
	entry                logentry.Entry
	raw                  []byte // the entry as its agent hands it on
	label                string
	brokenRule           string // the rule that is broken if it is taken; empty where it may be
	agent                string
	calledAt, returnedAt time.Time
	status               int
	outcome              logentry.Outcome
	failure              string // it is not decided
}

func (o *proposal) isAccepted() bool { return o.status == outcomeKnown && o.outcome.Accepted }

// history is all proposals.
type history struct {
	mu            sync.Mutex
	proposals     []*proposal
	revokedChains []grantChain
	races         [][2]*proposal
}

// line is a line of grants that was revoked at an index: nothing by its keys is taken later.
type grantChain struct {
	keyNames  []string
	revokedAt uint64
}

func (h *history) add(o *proposal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proposals = append(h.proposals, o)
}

// propose signs a change and brings it to an agent.
func (s *scenario) propose(k key, to string, c account.Change, what, never string) *proposal {
	body, err := json.Marshal(c)
	if err != nil {
		return &proposal{status: notProposed, failure: err.Error()}
	}
	e := logentry.Entry{Kind: logentry.KindAccounts, ProposedAt: time.Now().UnixMilli(), Reason: what, KeyName: k.name(), Body: body}
	e.Signature = ed25519.Sign(ed25519.PrivateKey(k), e.SignedBytes())
	return s.submit(e, to, what, never)
}

// bring proposes an entry that is signed.
func (s *scenario) submit(e logentry.Entry, to, what, never string) *proposal {
	e.ProposedBy = to
	raw, err := json.Marshal(&e)
	if err != nil {
		return &proposal{status: notProposed, failure: err.Error()}
	}
	o := &proposal{entry: e, raw: raw, label: what, brokenRule: never, agent: to}
	s.proposalSlots[to] <- struct{}{} // as many as the agent has room for, beside the watchers
	o.calledAt = time.Now()
	var answer struct {
		Outcome logentry.Outcome `json:"outcome"`
	}
	err = s.Agents[to].Call(agentapi.OperatorRequest{Method: "propose", Entry: raw}, &answer)
	o.returnedAt = time.Now()
	<-s.proposalSlots[to]
	var no *agentapi.CallError
	var dial *net.OpError
	switch {
	case err == nil:
		o.status, o.outcome = outcomeKnown, answer.Outcome
	case errors.As(err, &no) && !no.OutcomeUnknown, errors.As(err, &dial) && dial.Op == "dial":
		o.status, o.failure = notProposed, err.Error()
	default:
		o.failure = err.Error()
	}
	s.history.add(o)
	return o
}

func (o *proposal) String() string {
	return fmt.Sprintf("%s by way of %s, %v: %+v %s", o.label, o.agent, o.returnedAt.Sub(o.calledAt).Round(time.Millisecond), o.outcome, o.failure)
}
