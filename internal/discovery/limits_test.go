package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/inputlimit"
	"coralrelay/internal/listlease"
)

// Guards against a change that never ends on a connection that stays alive: it counts as notified long
// before it is complete, and no call would follow.
func TestMessageHasToArriveInTime(t *testing.T) {
	const pause = 1900 * time.Millisecond // within heartbeatTimeout
	pieces := []string{bodyHead + soundMsg, `{"generation":44`, " ", " "}
	synctest.Test(t, func(t *testing.T) {
		before := inputlimit.ExceededCount(inputlimit.DiscoveryMessageTime)
		got, times := streamUpdates(t, pieces, pause, false)
		if want := pause + messageTimeout; len(got) != 2 || times[1] != want {
			t.Errorf("got %+v at %v, want one list and the end at %v", got, times, want)
		}
		if count := inputlimit.ExceededCount(inputlimit.DiscoveryMessageTime) - before; count != 1 {
			t.Errorf("the limit was exceeded %d times, want once", count)
		}
	})
}

// Heartbeats and other white space between two messages do not count as parts of a message, however many
// there are on a watch that lasts for months.
func TestHeartbeatsAreNoPartOfAMessage(t *testing.T) {
	c := &call{limits: Limits{MessageBytes: len(soundMsg) - 1, Endpoints: 1}, events: make(chan event, 200)}
	body := strings.NewReader(strings.Repeat("\r\n \t", 100) + soundMsg + strings.Repeat("\n", 50) + soundMsg)
	reader := newMessageReader(t.Context(), c, newLimitedConn(nil, "", c.limits), body)
	for range 2 {
		decoded, _, err := reader.next()
		if err != nil || len(decoded.Instances.endpoints) != 1 {
			t.Fatalf("got %+v, %v", decoded, err)
		}
	}
	if events := len(c.events); events != 100+1+1+50 {
		t.Errorf("%d events, want the first byte and each end of a line", events)
	}
}

// A call whose changes make the list too large ends, and the next one requests a complete list.
func TestListSizeIsLimited(t *testing.T) {
	requests := make(chan string, 2)
	change := func(generation int, id, lifecycle string) string {
		return fmt.Sprintf(`{"generation":%d,"instances":[{"instanceId":%q,"hostPort":"h:1","lifecycle":%q}]}`+"\n",
			generation, id, lifecycle)
	}
	addr := startFakeDiscovery(t, func(conn net.Conn, request string) {
		fmt.Fprint(conn, bodyHead+soundMsg+change(44, "s2", "active")+change(45, "s1", "left")+
			change(46, "s3", "leaving")+change(47, "s4", "active"))
		requests <- request
	}, func(_ net.Conn, request string) { requests <- request })
	sink := make(bufferedSink, 16)
	watcher := New(addr, sink)
	watcher.Limits.Endpoints = 2
	t.Cleanup(runWatcher(t.Context(), watcher))
	watcher.Subscribe()
	for _, want := range []int64{41, 43, 44, 45, 46} {
		if update := sink.next(t); update.Generation != want {
			t.Fatalf("got %+v, want generation %d", update, want)
		}
	}
	if update := sink.next(t); update.Kind != balance.ListFailed || watcher.CallCount(listlease.Unusable) != 1 {
		t.Errorf("got %+v, want the end of the call", update)
	}
	<-requests
	watcher.Subscribe()
	if request := <-requests; !strings.Contains(request, "from=0 ") {
		t.Errorf("got request %q, want one for the complete list", request)
	}
}

// The least limits are enough for an indented list of the largest known fleet, 3,200 endpoints, while six
// in ten are being replaced.
func TestLargestFleetFitsIntoLeastLimits(t *testing.T) {
	var instances []map[string]any
	for i := range 3200 * 16 / 10 {
		instances = append(instances, map[string]any{"instanceId": fmt.Sprintf("s-%08x", i),
			"hostPort": fmt.Sprintf("127.100.%d.%d:17070", i/256, i%256), "zone": "montevideo-1",
			"machineType": "standard-16", "cell": i, "lifecycle": "leaving", "weight": 0.9123456789,
			"startedAtMs": 1796122725000 + i})
	}
	text, err := json.MarshalIndent(map[string]any{"generation": 1 << 40, "reset": true, "instances": instances}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	limits := LimitsFor(0)
	decoded := message{Instances: entryList{max: limits.Endpoints}}
	if err := json.Unmarshal(text, &decoded); err != nil || len(text) > limits.MessageBytes {
		t.Errorf("%d bytes, %d endpoints: %v; limits %+v", len(text), len(instances), err, limits)
	}
}

func TestLimitsFollowFromMemory(t *testing.T) {
	for memoryMB, want := range map[int]Limits{
		16:   {2 << 20, 8192},
		32:   {2 << 20, 8192},
		64:   {4 << 20, 16384},
		128:  {8 << 20, 32768},
		4096: {8 << 20, 32768},
	} {
		if got := LimitsFor(memoryMB); got != want {
			t.Errorf("%d MiB: got %+v, want %+v", memoryMB, got, want)
		}
	}
}

// The error names the limit, the peer and how much was received.
func TestLimitErrorIsTyped(t *testing.T) {
	limited := newLimitedConn(&endlessConn{next: repeated("x")}, "127.0.0.1:8500", testLimits)
	var err error
	for buffer := make([]byte, 4096); err == nil; {
		_, err = limited.Read(buffer)
	}
	limitErr := (*inputlimit.Error)(nil)
	if !errors.As(newHeaderError(&headError{err}), &limitErr) || *limitErr != (inputlimit.Error{
		Limit: inputlimit.DiscoveryHead, Peer: "127.0.0.1:8500", Received: maxHeadBytes, Max: maxHeadBytes}) {
		t.Errorf("got %v", err)
	}
}
