package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
)

// Guards against a discovery service that sends lists without a pause and so fills the inbox, which takes
// memory for each list and makes clients wait behind all of them: at most one update is queued, the next
// one waits until it has been handled, and none is lost.
func TestListUpdatesWaitForTheLoop(t *testing.T) {
	const updates = 100
	synctest.Test(t, func(t *testing.T) {
		endpoints := &fakeEndpoints{make(chan string, 16), make(chan string, 16), make(chan struct{}, 16)}
		loop := startLoop(t, endpoints, endpoints)
		resume := make(chan struct{})
		loop.post(func() { <-resume })
		handled := 0
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for range updates {
				loop.UpdateEndpoints(listOf(balance.ListFull, "s1"))
				loop.UpdateListLease(time.Now().Add(time.Minute))
				loop.post(func() { handled++ })
			}
		}()
		synctest.Wait()
		if queued := len(loop.inbox); queued != 1 {
			t.Errorf("%d updates are queued, want 1", queued)
		}
		close(resume)
		<-sent
		synctest.Wait()
		if handled != updates {
			t.Errorf("%d updates were handled, want %d", handled, updates)
		}
	})
}
