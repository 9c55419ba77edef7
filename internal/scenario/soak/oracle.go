package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// clientGoneGrace is how long after its client left a request's first line may still arrive at
	// a server.
	clientGoneGrace = 100 * time.Millisecond
	// transitAllowance is the delay that the proxy, two dozen processes on a few cores and the
	// scenario's own scheduling may add to any time.
	transitAllowance = 100 * time.Millisecond
	// idempotencyWindow is the window of the class order in nodeSettings.
	idempotencyWindow = 600 * time.Millisecond
	// linkAllowance is how long after a link fault the data that it delayed may still arrive.
	linkAllowance = 1500 * time.Millisecond
)

// check checks the history rule by rule.
func (r *run) check() {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	byID := map[string][]*opened{}
	for _, a := range r.history.opened {
		byID[a.ID] = append(byID[a.ID], a)
	}
	for _, req := range r.history.requests {
		r.checkAnswer(req)
		r.checkEnd(req, byID[req.ID])
		r.checkAttempts(req, byID[req.ID])
	}
	for _, a := range r.history.opened {
		r.checkDrain(a)
	}
	r.checkSlowStart()
	r.checkLogs()
	r.checkProbeConns()
	r.checkPlayed()
}

// addRequestViolation records a violation with the client's and the servers' records of the
// request.
func (r *run) addRequestViolation(rule string, req *request, attempts []*opened, format string, args ...any) {
	detail := fmt.Sprintf(format, args...) + fmt.Sprintf("; client %+v", *req)
	for _, a := range attempts {
		detail += fmt.Sprintf("; server %+v", *a)
	}
	r.AddViolation(rule, detail)
}

// nodeDown reports whether the node's process had ended, by a kill or by itself, or was not ready
// yet, at some time of a span.
func (r *run) nodeDown(node int, from, to time.Duration) bool {
	return r.nodeDownAfter(node, from, to, "kill", "ended")
}

// nodeKilled is nodeDown for processes that were killed without SIGTERM. A process that ends by
// SIGTERM must not cut any connection.
func (r *run) nodeKilled(node int, from, to time.Duration) bool {
	return r.nodeDownAfter(node, from, to, "kill")
}

// nodeDownAfter reports whether the node was down, after one of the given changes, at some time of
// a span.
func (r *run) nodeDownAfter(node int, from, to time.Duration, changes ...string) bool {
	downFrom := time.Duration(-1)
	for _, c := range r.history.changes {
		if c.Node != node {
			continue
		}
		switch {
		case slices.Contains(changes, c.What):
			if downFrom < 0 {
				downFrom = c.At
			}
		case c.What == "ready":
			if downFrom >= 0 && downFrom <= to+transitAllowance && c.At >= from-transitAllowance {
				return true
			}
			downFrom = -1
		}
	}
	return downFrom >= 0 && downFrom <= to+transitAllowance
}

// affectedNodes returns the nodes at which a fault was played.
func (r *run) affectedNodes(fault *Fault) []int {
	if strings.HasPrefix(string(fault.Kind), "node_") {
		return r.targetNodes(fault)
	}
	return fault.Nodes
}

// faultAt reports whether a fault of one of the kinds was active at a node, or at any node if node
// is negative, within a span extended by allowance.
func (r *run) faultAt(node int, from, to, allowance time.Duration, kinds ...Kind) bool {
	for i := range r.trace.Faults {
		f := &r.trace.Faults[i]
		if slices.Contains(kinds, f.Kind) && (node < 0 || slices.Contains(r.affectedNodes(f), node)) &&
			f.overlaps(from, to, allowance) {
			return true
		}
	}
	return false
}

// acceptFailed reports whether an injected error failed the node's accepts at some time of a span.
// A node that has no descriptor left is not excused, since it can close some connections.
func (r *run) acceptFailed(node int, from, to time.Duration) bool {
	for i := range r.trace.Faults {
		f := &r.trace.Faults[i]
		if f.Kind == nodeSystemCalls && f.failsAccept() &&
			slices.Contains(r.targetNodes(f), node) && f.overlaps(from, to, transitAllowance) {
			return true
		}
	}
	return false
}

// checkAnswer checks that each request whose client stays gets exactly one final answer within the
// client's patience.
func (r *run) checkAnswer(req *request) {
	if req.SecondAnswer != "" &&
		!r.faultAt(-1, req.WrittenAt, req.WrittenAt+10*time.Second, 0, serverDoubles) {
		r.addRequestViolation("answer", req, nil, "a second answer %q", req.SecondAnswer)
	}
	until := max(req.AnsweredAt, req.EndedAt, req.WrittenAt)
	if r.nodeDown(req.Node, req.ConnectedAt, until) || r.acceptFailed(req.Node, req.ConnectedAt, until) {
		return
	}
	if req.WrittenAt == 0 {
		r.checkBadClient(req)
		return
	}
	switch {
	case req.LeftAt > 0 && req.AnsweredAt == 0:
	case req.AnsweredAt == 0:
		r.addRequestViolation("answer", req, nil, "no answer")
	case req.AnsweredAt-req.WrittenAt > req.Patience+answerGrace+r.answerAllowance(req):
		r.addRequestViolation("answer", req, nil, "answered after %v", req.AnsweredAt-req.WrittenAt)
	}
}

// answerAllowance returns how late an answer may be for reasons that lie in the scenario.
func (r *run) answerAllowance(req *request) time.Duration {
	if r.faultAt(req.Node, req.ConnectedAt, req.AnsweredAt, transitAllowance, linkPieces, nodeShortIO) {
		return 3 * transitAllowance
	}
	return transitAllowance
}

// checkBadClient checks that a client that sends no complete first line gets an error or a close
// within firstLineTimeout, 3 s.
func (r *run) checkBadClient(req *request) {
	if req.LeftAt > 0 || req.Behaviour == "" {
		return
	}
	if took := req.EndedAt - req.ConnectedAt; req.End == "timeout" ||
		took > firstLineTimeout+answerGrace+transitAllowance {
		r.addRequestViolation("bad client", req, nil, "ended %q after %v", req.End, took)
	}
}

// checkEnd checks that a served connection is not cut without MOVE while its server runs, and that
// none of its lines stays unanswered on an open connection.
func (r *run) checkEnd(req *request, attempts []*opened) {
	if !strings.HasPrefix(req.Answer, "UP ") || len(attempts) == 0 ||
		r.nodeKilled(req.Node, req.ConnectedAt, req.EndedAt) {
		return
	}
	if req.Unanswered > 0 {
		r.addRequestViolation("silent", req, attempts,
			"a line was not answered and the connection stayed open")
	}
	last := attempts[len(attempts)-1]
	if req.LeftAt > 0 || req.Moved || req.End == "" || last.EndedBy == "server" {
		return
	}
	if r.faultAt(req.Node, req.WrittenAt, req.EndedAt, linkAllowance,
		linkCut, linkOneWay, linkResets, linkLate) {
		return // the link fault ended it
	}
	r.addRequestViolation("cut", req, attempts, "cut without MOVE: %s", req.End)
}

// checkSlowStart checks that a server in slow start gets no more first lines than its budget within
// any overloadDuration.
func (r *run) checkSlowStart() {
	byServer := map[[2]int][]*opened{}
	for _, record := range r.history.opened {
		key := [2]int{record.Server, record.Incarnation}
		byServer[key] = append(byServer[key], record)
	}
	for _, list := range byServer {
		slices.SortFunc(list, func(a, b *opened) int { return int(a.At - b.At) })
		first := 0
		for i, record := range list {
			for record.At-list[first].At > overloadDuration {
				first++
			}
			count := float64(i - first + 1)
			if record.WorkAllowed > 0 {
				r.Metrics["slow_start_peak"] = max(r.Metrics["slow_start_peak"], count/record.WorkAllowed)
			}
			if record.WorkAllowed > 0 && count > record.WorkAllowed {
				r.AddViolation("slow start", fmt.Sprintf("%g first lines in %v, %.1f allowed: %+v",
					count, overloadDuration, record.WorkAllowed, *record))
			}
		}
	}
}
