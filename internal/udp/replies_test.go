package udp

import (
	"testing"
	"time"
)

// Guards against a busy loop when reads of replies fail persistently for a local reason: failed
// reads are retried after readErrorPause.
func TestFailingReadsOfRepliesArePaced(t *testing.T) {
	forEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, _ := startListener(t, mode)
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")
		eventually(t, "the flow is established", func() bool { return len(dispatcher.submissions()) == 1 })
		start := time.Now()
		listener.mu.Lock()
		for i := range listener.bindings {
			if placement := listener.bindings[i].placement; placement != nil {
				_ = placement.socket.conn.SetReadDeadline(time.Unix(1, 0)) // each read fails immediately
			}
		}
		listener.mu.Unlock()
		eventually(t, "reads fail", func() bool { return listener.Counts.ReadErrors.Load() >= 5 })
		if limit := 2 + int64(time.Since(start)/readErrorPause); listener.Counts.ReadErrors.Load() > limit {
			t.Errorf("%d reads failed within %v, want at most %d",
				listener.Counts.ReadErrors.Load(), time.Since(start), limit)
		}
	})
}
