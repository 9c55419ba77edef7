package main

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// Times of the tests of unconfirmed lists. At departureAt after the start of the node's process, an
// endpoint leaves discovery's list. This change counts as notified notifyDelay later, and staleDrainGrace
// after that no new request may be sent to the endpoint.
const (
	departureAt          = 2 * time.Second
	notifyDelay          = 6 * time.Second
	staleDrainGrace      = 300 * time.Millisecond // drainGrace in settingsJSON
	staleRunDuration     = 10 * time.Second
	staleRequestInterval = 40 * time.Millisecond
	// promptAnswerLimit bounds the time of an answer that does not wait for an event.
	promptAnswerLimit = 250 * time.Millisecond
)

// If discovery can be reached but does not confirm the list, a change that it received at departureAt
// counts as notified after notifyDelay. After the drain grace, the node must not use the list any more
// and must reject requests at once. This applies to a process whose list comes from its configuration
// alone, and to a process whose watch has become silent.
func TestStopsUsingUnconfirmedList(t *testing.T) {
	t.Parallel()
	faults := map[string]faultyCall{
		"accepted, never answered":       hold,
		"503 at once":                    answerAfter(0, unavailable),
		"reset at once":                  resetAtOnce,
		"503 after a second":             answerAfter(time.Second, unavailable),
		"503 after two seconds":          answerAfter(2*time.Second, unavailable),
		"reset after a second":           func(conn net.Conn) { answerAfter(time.Second, "")(conn); resetAtOnce(conn) },
		"header, then nothing":           answerThenHold(okHead),
		"header and half a list":         answerThenHold(okHead + `{"generation":9,"reset":true,"instances":[{"inst`),
		"a byte each half second":        trickle,
		"a malformed list":               answerThenHold(okHead + `{"generation":9,"reset":true}` + "\n"),
		"a list older than the one held": answerThenHold(okHead + `{"generation":0,"reset":false,"instances":[]}` + "\n"),
	}
	starts := map[string]func(list string) faultyCall{"configured list": nil, "silent watch": answerThenHold}
	nodes := map[string]*staleNode{}
	for name, fault := range faults {
		for start, firstCall := range starts {
			nodes[name+", "+start] = startStaleNode(t, staleFleet{1, 4}, firstCall, fault)
		}
	}
	sendAndExpectRejections(t, nodes)
	endStaleNodes(nodes)
}

// sendAndExpectRejections sends requests to all nodes. It requires that none is forwarded any more once a
// change at departureAt counts as notified and the drain grace is over: from then on, each request is
// rejected at once, with a Retry-After.
func sendAndExpectRejections(t *testing.T, nodes map[string]*staleNode) {
	t.Helper()
	bound := departureAt + notifyDelay + staleDrainGrace
	for name, answers := range sendRequests(nodes, bound) {
		if sent := nodes[name].lastSent(); sent > bound {
			t.Errorf("%s: first line forwarded %v after the start, list unconfirmed since %v", name, sent, departureAt)
		}
		if answers.counts["BUSY"] == 0 || len(answers.counts) > 1 || answers.slow > 0 ||
			answers.withoutRetryAfter > 0 {
			t.Errorf("%s: answers: %v, %d slow, %d without Retry-After; want prompt BUSY with Retry-After",
				name, answers.counts, answers.slow, answers.withoutRetryAfter)
		}
	}
}

// A discovery with a full queue ends its watches and answers with 503 or a reset at once, as it also does
// during an outage. Since it can be reached, nodes must stop using their lists in time, in fleets of any
// size. They must serve again as soon as calls are answered.
//
// The fault: each prompt 503 was logged as "endpoint list watch ended" with the outcome "unavailable" and
// renewed the lease, so that "endpoint list may not be relied on" was never logged. After a watch reset
// at 1 s and the departure of an endpoint at 2 s, the node still sent this endpoint a quarter of all
// requests at 10 s.
func TestPromptFailuresAfterEndedWatchDoNotRenewLease(t *testing.T) {
	t.Parallel()
	const recoveryLimit = 3 * time.Second // rejected calls are at most 2.4 s apart
	resetWatch := func(list string) faultyCall { return resetAfter(time.Second, list) }
	faults := map[string]faultyCall{"503 at once": answerAfter(0, unavailable), "resets": resetAtOnce}
	nodes := map[string]*staleNode{}
	for name, fault := range faults {
		for _, instances := range []int{4, 300} {
			nodes[fmt.Sprint(name, ", ", instances, " instances")] = startStaleNode(
				t, staleFleet{instances, 4}, resetWatch, fault,
			)
		}
	}
	sendAndExpectRejections(t, nodes)
	for name, n := range nodes {
		if took := n.restoreDiscovery(); took > recoveryLimit {
			t.Errorf("%s: the node served again %v after the end of the outage", name, took)
		}
	}
	endStaleNodes(nodes)
}

// While no process listens at discovery's address, no change counts as notified, and the node keeps using
// its list.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	nodes := map[string]*staleNode{"connection refused": startStaleNode(t, staleFleet{1, 4}, nil, nil)}
	for name, answers := range sendRequests(nodes, notifyDelay) {
		if answers.counts["UP"] == 0 || len(answers.counts) > 1 {
			t.Errorf("%s: answers: %v; want UP only", name, answers.counts)
		}
	}
	endStaleNodes(nodes)
}
