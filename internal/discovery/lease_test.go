package discovery

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/listlease"
)

// leaseTest runs a Watcher in fake time. The test writes the responses to its calls.
type leaseTest struct {
	*Watcher
	t         *testing.T
	sink      bufferedSink
	startedAt time.Time
	conns     chan net.Conn
	changes   int // calls of OnLease
}

// runLeaseTest runs a test against a Watcher that has a cached list of generation 41.
func runLeaseTest(t *testing.T, run func(l *leaseTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l := &leaseTest{t: t, sink: make(bufferedSink, 64), startedAt: time.Now(), conns: make(chan net.Conn, 16)}
		l.Watcher = New("discovery:1", l.sink)
		l.Watcher.OnLease = func(listlease.Status) { l.changes++ }
		l.SetTerms(listlease.Terms{DrainGrace: 300 * time.Millisecond})
		l.Dial = func(context.Context, string, time.Time) (net.Conn, error) {
			watcherSide, serviceSide := net.Pipe()
			reader := bufio.NewReader(serviceSide)
			go func() { _, _ = io.Copy(io.Discard, reader) }()
			l.conns <- serviceSide
			return watcherSide, nil
		}
		stop := runWatcher(t.Context(), l.Watcher)
		l.next(balance.ListCached)
		run(l)
		stop()
		for len(l.conns) > 0 {
			(<-l.conns).Close()
		}
	})
}

// poll requests a call and returns the service's side of its connection.
func (l *leaseTest) poll() net.Conn {
	l.Subscribe()
	conn := <-l.conns
	l.t.Cleanup(func() { conn.Close() })
	return conn
}

// next waits for the next update and requires it to be of the given kind.
func (l *leaseTest) next(kind balance.ListKind) Update {
	l.t.Helper()
	update := <-l.sink
	if update.Kind != kind {
		l.t.Fatalf("got %+v, want kind %d", update, kind)
	}
	return update
}

// expectLease requires that the lease expires at the given time after the start of the test.
func (l *leaseTest) expectLease(end time.Duration) {
	l.t.Helper()
	synctest.Wait()
	if got := l.Status().ExpiresAt.Sub(l.startedAt); got != end {
		l.t.Errorf("at %v: the lease expires at %v, want %v", time.Since(l.startedAt), got, end)
	}
}

// A list renews the lease from the time at which it began to arrive, a heartbeat from the time at
// which it arrived. An incomplete message renews nothing.
func TestLeaseIsRenewedByListsAndHeartbeats(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		l.expectLease(6 * time.Second)
		conn := l.poll()
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, responseHead)
		l.expectLease(6 * time.Second)
		_, _ = io.WriteString(conn, chunked(fullList43[:30], ""))
		time.Sleep(2 * time.Second)
		l.expectLease(6 * time.Second)
		_, _ = io.WriteString(conn, chunked(fullList43[30:], ""))
		l.next(balance.ListFull)
		l.expectLease(9 * time.Second) // 6 s after the list's end of line at 3 s, which is a heartbeat
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(conn, chunked("\n", ""))
		l.expectLease(11 * time.Second)
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, chunked(`{"generation":44,"reset":false,`, ""))
		l.expectLease(11 * time.Second)
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, chunked("\n\n\n", "")) // white space inside a message is not a heartbeat
		l.expectLease(11 * time.Second)
		l.next(balance.ListFailed) // the message stalls
		l.expectLease(11 * time.Second)
	})
}

// A list without an end of line renews the lease from the time of its first byte.
func TestLeaseCountsFromTheFirstByteOfAList(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		conn := l.poll()
		list := strings.TrimSuffix(fullList43, "\n")
		_, _ = io.WriteString(conn, responseHead+chunked(list[:30], ""))
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(conn, chunked(list[30:], ""))
		l.next(balance.ListFull)
		l.expectLease(6 * time.Second)
	})
}

// If nothing has changed since the polled generation, the service sends heartbeats and no list.
// They confirm the list that the process has. An empty line right after the header may belong to a
// list and confirms nothing.
func TestHeartbeatsConfirmPolledList(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		conn := l.poll()
		_, _ = io.WriteString(conn, responseHead+chunked("\n", ""))
		l.expectLease(6 * time.Second)
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(conn, chunked("\n", ""))
		l.expectLease(8 * time.Second)
		if status := l.Status(); status.Generation != 41 || !status.ConfirmedAt.Equal(time.Now()) {
			t.Errorf("got %+v", status)
		}
	})
}

// After the address has changed, the new service is polled for its complete list. Its heartbeats
// confirm nothing until that list has arrived.
func TestHeartbeatsOfANewServiceConfirmNothing(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		time.Sleep(time.Second)
		l.SetAddress("discovery:2")
		conn := <-l.conns
		l.expectLease(5 * time.Second) // 4 s after the address change
		_, _ = io.WriteString(conn, responseHead)
		time.Sleep(minFirstHeartbeatDelay + 50*time.Millisecond) // before the call is overdue
		_, _ = io.WriteString(conn, chunked("\n", ""))
		l.expectLease(5 * time.Second)
		_, _ = io.WriteString(conn, chunked(fullList43, ""))
		l.next(balance.ListFull)
		l.expectLease(8050 * time.Millisecond)
		conn.Close()
	})
}

// Changes with an older generation than the current list's are dropped, renew nothing and end their
// call. A complete list with a lower generation is accepted, as the service may restart its count.
func TestOlderChangesAreDropped(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		conn := l.poll()
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, responseHead+chunked(`{"generation":40,"reset":false,"instances":[`+readyInstance+`]}`, ""))
		if update := l.next(balance.ListFailed); update.Generation != 41 {
			t.Errorf("got %+v", update)
		}
		l.expectLease(6 * time.Second)
		if got := l.CallCount(listlease.Unusable); got != 1 {
			t.Errorf("%d calls counted as spoilt, want 1", got)
		}
		conn = l.poll()
		_, _ = io.WriteString(conn, responseHead+chunked(strings.Replace(fullList43, "43", "7", 1), ""))
		if update := l.next(balance.ListFull); update.Generation != 7 {
			t.Errorf("got %+v", update)
		}
		l.expectLease(7 * time.Second)
	})
}

// An overdue call keeps its place in the service's queue while another call runs in parallel, and
// its list is still accepted. At most two calls run at a time.
func TestOverdueCallKeepsItsPlace(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		first := l.poll()
		l.next(balance.ListFailed) // overdue
		if took := time.Since(l.startedAt); took != queueTimeout {
			t.Errorf("call overdue after %v", took)
		}
		second := l.poll()
		l.next(balance.ListFailed)
		l.Subscribe()
		synctest.Wait()
		if len(l.conns) > 0 {
			t.Error("a third call was started")
		}
		_, _ = io.WriteString(first, responseHead+chunked(fullList43, ""))
		l.next(balance.ListFull)
		l.expectLease(time.Since(l.startedAt) + 6*time.Second)
		_ = second
	})
}

// Unanswered calls time out, so that later calls can be made.
func TestUnansweredCallsTimeOut(t *testing.T) {
	runLeaseTest(t, func(l *leaseTest) {
		l.poll()
		l.next(balance.ListFailed)
		l.poll()
		l.next(balance.ListFailed)
		l.Subscribe() // the call starts once one of the two has ended
		<-l.conns
		if took := time.Since(l.startedAt); took != minHeaderTimeout {
			t.Errorf("third call started after %v", took)
		}
		if got := l.CallCount(listlease.Unanswered); got != 1 {
			t.Errorf("%d calls counted as unanswered, want 1", got)
		}
	})
}
