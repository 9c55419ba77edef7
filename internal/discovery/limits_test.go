package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"coralrelay/internal/inputlimit"
)

// Heartbeats and other white space between two messages do not count as parts of a message, however many
// there are on a watch that lasts for months.
func TestHeartbeatsAreNoPartOfAMessage(t *testing.T) {
	c := &call{limits: Limits{MessageBytes: len(soundMsg) - 1}, events: make(chan event, 200)}
	body := strings.NewReader(strings.Repeat("\r\n \t", 100) + soundMsg + strings.Repeat("\n", 50) + soundMsg)
	reader := newMessageReader(t.Context(), c, newLimitedConn(nil, "", c.limits), body)
	for range 2 {
		decoded, _, err := reader.next()
		if err != nil || len(decoded.Instances) != 1 {
			t.Fatalf("got %+v, %v", decoded, err)
		}
	}
	if events := len(c.events); events != 100+1+1+50 {
		t.Errorf("%d events, want the first byte and each end of a line", events)
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
	var decoded message
	if err := json.Unmarshal(text, &decoded); err != nil || len(text) > limits.MessageBytes {
		t.Errorf("%d bytes, %d endpoints: %v; limits %+v", len(text), len(instances), err, limits)
	}
}

func TestLimitsFollowFromMemory(t *testing.T) {
	for memoryMB, want := range map[int]Limits{
		16:   {2 << 20},
		32:   {2 << 20},
		64:   {4 << 20},
		128:  {8 << 20},
		4096: {8 << 20},
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
