package udp

import "testing"

// While the lease of the endpoint list is expired, new flows are rejected and established flows
// continue.
func TestExpiredListRejectsNewFlows(t *testing.T) {
	forEachSocketMode(t, func(t *testing.T, mode configure) {
		listener, dispatcher, endpoints := startListener(t, mode)
		established := dial(t, listener)
		established.send("1")
		established.expect("a:1")
		endpoints.listExpired.Store(true)
		newClient := dial(t, listener)
		newClient.send("2")
		eventually(t, "the new flow is rejected", func() bool {
			return len(dispatcher.submissions()) == 2 && listener.Counts.Refused.Load() == 1
		})
		established.send("3")
		established.expect("a:3")
		if endpoints.count("a") != 2 {
			t.Errorf("a got %d datagrams, want 2, those of the established flow", endpoints.count("a"))
		}
		endpoints.listExpired.Store(false)
		newClient.send("4")
		newClient.expect("a:4")
	})
}
