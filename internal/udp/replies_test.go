package udp

import (
	"testing"
	"time"
)

// A read of replies that goes on failing for a reason of this machine is tried again now and then, and keeps no
// processor busy.
func TestFailingReadsOfRepliesArePaced(t *testing.T) {
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, _ := startListener(t, mode)
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")
		eventually(t, "the flow is established", func() bool { return len(dispatcher.submissions()) == 1 })
		begun := time.Now()
		listener.mu.Lock()
		for i := range listener.bindings {
			if placement := listener.bindings[i].placement; placement != nil {
				_ = placement.socket.conn.SetReadDeadline(time.Unix(1, 0)) // each read fails at once
			}
		}
		listener.mu.Unlock()
		eventually(t, "reads fail", func() bool { return listener.Counts.ReadErrors.Load() >= 5 })
		if most := 2 + int64(time.Since(begun)/readErrorPause); listener.Counts.ReadErrors.Load() > most {
			t.Errorf("%d reads failed within %v, at most %d should", listener.Counts.ReadErrors.Load(), time.Since(begun), most)
		}
	})
}
