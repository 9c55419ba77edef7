package main

import (
	"net"
	"testing"
	"time"
)

// The times of the tests of lists that nobody confirms, from the start of the node's process. A change that
// discovery has had since then counts as notified after the delay, and nothing new goes to its endpoint after the
// grace.
const (
	departureAt      = 2 * time.Second
	notifyDelay      = 6 * time.Second
	staleDrainGrace  = 300 * time.Millisecond // of settingsJSON
	staleRunDuration = 10 * time.Second
	staleSendPause   = 40 * time.Millisecond
	// promptAnswer is how long an answer may take that waits for nothing.
	promptAnswer = 250 * time.Millisecond
)

// Where discovery can be reached and does not confirm the list, a change that it had at departureAt counts as
// notified after the delay: nothing is sent by the list any more after the grace, and requests are rejected at once.
// That holds for a process that knows its list from its configuration alone, and for one whose watch fell silent.
func TestStopsUsingUnconfirmedList(t *testing.T) {
	t.Parallel()
	troubles := map[string]troubledCall{
		"accepted, never answered":       hold,
		"503 at once":                    answerAfter(0, unavailable),
		"reset at once":                  resetAtOnce,
		"503 after a second":             answerAfter(time.Second, unavailable),
		"503 after two seconds":          answerAfter(2*time.Second, unavailable),
		"reset after a second":           func(conn net.Conn) { answerAfter(time.Second, "")(conn); resetAtOnce(conn) },
		"header, then nothing":           answerThenHold(okHead),
		"header and half a list":         answerThenHold(okHead + `{"generation":9,"reset":true,"instances":[{"inst`),
		"a byte each half second":        trickle,
		"a list that is none":            answerThenHold(okHead + `{"generation":9,"reset":true}` + "\n"),
		"a list older than the one held": answerThenHold(okHead + `{"generation":0,"reset":false,"instances":[]}` + "\n"),
	}
	starts := map[string]func(list string) troubledCall{"known alone": nil, "silent watch": answerThenHold}
	nodes := map[string]*staleNode{}
	for name, trouble := range troubles {
		for start, firstCall := range starts {
			nodes[name+", "+start] = startStaleNode(t, 4, firstCall, trouble)
		}
	}
	bound := departureAt + notifyDelay + staleDrainGrace
	for name, answers := range sendRequests(nodes, bound) {
		if sent := nodes[name].lastSent(); sent > bound {
			t.Errorf("%s: a first line went out %v after the start; nothing is known since %v", name, sent, departureAt)
		}
		if answers.counts["BUSY"] == 0 || len(answers.counts) > 1 || answers.slow > 0 {
			t.Errorf("%s: answers: %v, %d of them slow; all should be BUSY at once", name, answers.counts, answers.slow)
		}
	}
	endStaleNodes(nodes)
}

// While discovery is down nothing counts as notified, and the node goes on with the list that it has. It is down if
// nobody listens, or if it ended a watch and refuses calls at once since.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	resetWatch := func(list string) troubledCall { return resetAfter(time.Second, list) }
	outages := map[string]struct {
		firstCall func(list string) troubledCall
		outage    troubledCall
	}{
		"nobody listens":                  {nil, nil},
		"a reset watch, then 503 at once": {resetWatch, answerAfter(0, unavailable)},
		"a reset watch, then resets":      {resetWatch, resetAtOnce},
	}
	nodes := map[string]*staleNode{}
	for name, tt := range outages {
		nodes[name] = startStaleNode(t, 4, tt.firstCall, tt.outage)
	}
	for name, answers := range sendRequests(nodes, notifyDelay) {
		if answers.counts["UP"] == 0 || len(answers.counts) > 1 {
			t.Errorf("%s: answers: %v; all should be UP", name, answers.counts)
		}
	}
	endStaleNodes(nodes)
}
