package udp

import "testing"

// While the list may not be relied on no flow begins, and those that stand go on.
func TestExpiredListBeginsNoFlow(t *testing.T) {
	inEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, endpoints := startListener(t, mode)
		standing := dial(t, listener)
		standing.send("1")
		standing.expect("a:1")
		endpoints.listExpired.Store(true)
		late := dial(t, listener)
		late.send("2")
		eventually(t, "the new flow is refused", func() bool { return len(dispatcher.submissions()) == 2 && listener.Counts.Refused.Load() == 1 })
		standing.send("3")
		standing.expect("a:3")
		if endpoints.count("a") != 2 {
			t.Errorf("a got %d datagrams, want those of the flow that stood", endpoints.count("a"))
		}
		endpoints.listExpired.Store(false)
		late.send("4")
		late.expect("a:4")
	})
}
