package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// clientGoneGrace is how long after its client left a first line may still arrive.
	clientGoneGrace = 100 * time.Millisecond
	// transit is what the proxy, two dozen processes on few cores and the scenario's own scheduling may
	// add to any time.
	transit = 100 * time.Millisecond
	// keyWindow is that of the class order in the settings.
	keyWindow = 600 * time.Millisecond
	// linkAllowance is how long after a fault of links what it kept back may still come.
	linkAllowance = 1500 * time.Millisecond
)

// check checks the history rule by rule.
func (r *run) check() {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	byID := map[string][]*opened{}
	for _, o := range r.history.opened {
		byID[o.ID] = append(byID[o.ID], o)
	}
	for _, q := range r.history.requests {
		r.checkAnswer(q)
		r.checkEnd(q, byID[q.ID])
		r.checkAttempts(q, byID[q.ID])
	}
	for _, o := range r.history.opened {
		r.checkDrain(o)
	}
	r.checkSlowStart()
	r.checkLogs()
	r.checkProbeConns()
	r.checkPlayed()
}

// violate notes a broken rule with both sides of the request.
func (r *run) violate(rule string, q *request, attempts []*opened, format string, args ...any) {
	detail := fmt.Sprintf(format, args...) + fmt.Sprintf("; client %+v", *q)
	for _, o := range attempts {
		detail += fmt.Sprintf("; server %+v", *o)
	}
	r.AddViolation(rule, detail)
}

// nodeDown reports whether the node's process was killed or had ended, or was not ready yet, at some time of a span.
func (r *run) nodeDown(node int, from, to time.Duration) bool {
	return r.nodeDownAfter(node, from, to, "kill", "ended")
}

// nodeKilled is nodeDown for processes that were killed outright: one that ends by SIGTERM cuts nobody.
func (r *run) nodeKilled(node int, from, to time.Duration) bool {
	return r.nodeDownAfter(node, from, to, "kill")
}

// nodeDownAfter reports whether the node was down, after one of some changes, at some time of a span.
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
			if downFrom >= 0 && downFrom <= to+transit && c.At >= from-transit {
				return true
			}
			downFrom = -1
		}
	}
	return downFrom >= 0 && downFrom <= to+transit
}

// playedAt is at which nodes a fault was played.
func (r *run) playedAt(fault *Fault) []int {
	if strings.HasPrefix(string(fault.Kind), "node_") {
		return r.nodesFor(fault)
	}
	return fault.Nodes
}

// faultAt reports whether a fault of some kinds was at a node within a span.
func (r *run) faultAt(node int, from, to, allowance time.Duration, kinds ...Kind) bool {
	for i := range r.trace.Faults {
		f := &r.trace.Faults[i]
		if slices.Contains(kinds, f.Kind) && (node < 0 || slices.Contains(r.playedAt(f), node)) &&
			f.overlaps(from, to, allowance) {
			return true
		}
	}
	return false
}

// acceptFailed reports whether the node's accepts failed whatever it did at some time of a span. Where
// they fail for want of a descriptor there is no such excuse: it can give up some.
func (r *run) acceptFailed(node int, from, to time.Duration) bool {
	for i := range r.trace.Faults {
		f := &r.trace.Faults[i]
		if f.Kind == nodeSystemCalls && f.failsAccept() && slices.Contains(r.nodesFor(f), node) && f.overlaps(from, to, transit) {
			return true
		}
	}
	return false
}

// checkAnswer: exactly one final answer for each request whose client stays, before it gives up.
func (r *run) checkAnswer(q *request) {
	if q.SecondAnswer != "" && !r.faultAt(-1, q.WrittenAt, q.WrittenAt+10*time.Second, 0, serverDoubles) {
		r.violate("answer", q, nil, "a second answer %q", q.SecondAnswer)
	}
	until := max(q.AnsweredAt, q.EndedAt, q.WrittenAt)
	if r.nodeDown(q.Node, q.ConnectedAt, until) || r.acceptFailed(q.Node, q.ConnectedAt, until) {
		return
	}
	if q.WrittenAt == 0 {
		r.checkBadClient(q)
		return
	}
	switch {
	case q.LeftAt > 0 && q.AnsweredAt == 0:
	case q.AnsweredAt == 0:
		r.violate("answer", q, nil, "no answer")
	case q.AnsweredAt-q.WrittenAt > q.Patience+answerGrace+r.slowTransit(q):
		r.violate("answer", q, nil, "answered after %v", q.AnsweredAt-q.WrittenAt)
	}
}

// slowTransit is how late an answer may be for reasons of the scenario.
func (r *run) slowTransit(q *request) time.Duration {
	if r.faultAt(q.Node, q.ConnectedAt, q.AnsweredAt, transit, linkPieces, nodeShortIO) {
		return 3 * transit
	}
	return transit
}

// checkBadClient: a client that sends no whole first line has its error or its close within 3 s.
func (r *run) checkBadClient(q *request) {
	if q.LeftAt > 0 || q.Behaviour == "" {
		return
	}
	if took := q.EndedAt - q.ConnectedAt; q.End == "timeout" || took > halfLineTimeout+answerGrace+transit {
		r.violate("bad client", q, nil, "ended %q after %v", q.End, took)
	}
}

// checkEnd: a served connection is not cut without MOVE while its server goes on, and none of its lines
// stays unanswered for good.
func (r *run) checkEnd(q *request, attempts []*opened) {
	if !strings.HasPrefix(q.Answer, "UP ") || len(attempts) == 0 || r.nodeKilled(q.Node, q.ConnectedAt, q.EndedAt) {
		return
	}
	if q.Unanswered > 0 {
		r.violate("silent", q, attempts, "a line was not answered, and the connection not ended")
	}
	last := attempts[len(attempts)-1]
	if q.LeftAt > 0 || q.Moved || q.End == "" || last.EndedBy == "server" {
		return
	}
	if r.faultAt(q.Node, q.WrittenAt, q.EndedAt, linkAllowance, linkCut, linkOneWay, linkResets, linkLate) {
		return // the link ended it
	}
	r.violate("cut", q, attempts, "cut without MOVE: %s", q.End)
}

// checkSlowStart: a server that warms up gets no more than its budget in any window.
func (r *run) checkSlowStart() {
	byServer := map[[2]int][]*opened{}
	for _, o := range r.history.opened {
		key := [2]int{o.Server, o.Incarnation}
		byServer[key] = append(byServer[key], o)
	}
	for _, list := range byServer {
		slices.SortFunc(list, func(a, b *opened) int { return int(a.At - b.At) })
		first := 0
		for i, o := range list {
			for o.At-list[first].At > overloadDuration {
				first++
			}
			count := float64(i - first + 1)
			if o.WorkAllowed > 0 {
				r.Metrics["slow_start_peak"] = max(r.Metrics["slow_start_peak"], count/o.WorkAllowed)
			}
			if o.WorkAllowed > 0 && count > o.WorkAllowed {
				r.AddViolation("slow start", fmt.Sprintf("%g first lines in %v, %.1f allowed: %+v", count, overloadDuration, o.WorkAllowed, *o))
			}
		}
	}
}
