package udp

import (
	"fmt"
	"testing"
	"time"
)

// A reply over a shared socket reaches a client only while the client's flow is bound to the
// endpoint that sends the reply. A reply without a header is dropped.
func TestSharedSocketDropsUnmatchedReplies(t *testing.T) {
	listener, dispatcher, endpoints := startListener(t, withSharedSockets)
	one, two := dial(t, listener), dial(t, listener)
	one.send("1")
	one.expect("a:1")
	dispatcher.placeAt("b")
	two.send("1")
	two.expect("b:1")

	socketAddresses := listener.sharedSocketAddresses()
	sendRaw := func(endpointID string, datagram []byte) {
		t.Helper()
		if _, err := endpoints.conns[endpointID].WriteToUDPAddrPort(
			datagram, socketAddresses[endpointID],
		); err != nil {
			t.Fatal(err)
		}
	}
	sendReply := func(endpointID string, to testClient, payload string) {
		t.Helper()
		client := to.localAddrPort()
		header := appendProxyHeader(nil, client, listener.Addr(), listener.refOfClient(client))
		sendRaw(endpointID, append(header, payload...))
	}
	unmatched := &listener.Counts.UnmatchedReplies
	expectUnmatched := func(want int64) {
		t.Helper()
		eventually(t, "the unmatched reply is counted", func() bool { return unmatched.Load() == want })
	}

	sendReply("b", one, "bound to a")
	expectUnmatched(1)
	sendRaw("a", []byte("no header"))
	expectUnmatched(2)
	sendRaw("a", make([]byte, 3*typicalDatagramSize))
	expectUnmatched(3)
	sendReply("a", dial(t, listener), "to a client that has sent nothing")
	expectUnmatched(4)
	sendReply("a", one, "unasked")
	one.expect("unasked")
	stale := listener.refOfClient(one.localAddrPort())
	stale.Gen-- // an earlier flow of the same table entry and client
	sendRaw("a", append(appendProxyHeader(nil, one.localAddrPort(), listener.Addr(), stale), "stale"...))
	expectUnmatched(5)

	endpoints.setDraining("a")
	one.send("2") // the flow is placed again, at b
	one.expect("b:2")
	if n := unmatched.Load(); n != 5 {
		t.Errorf("%d unmatched replies, want 5", n)
	}
	if open := listener.sharedSocketAddresses(); len(open) != 1 {
		t.Errorf("sockets to %v, want one endpoint", open)
	}
}

// Many flows share one socket, and all datagrams of a batch arrive in order. A datagram that exceeds
// the maximum size with its header is dropped without affecting others.
func TestSharedSocketWritesBatchesInOrder(t *testing.T) {
	const (
		perClient = 5
		burst     = 20 // clients; the sockets' buffers hold about 200 datagrams
	)
	listener, _, endpoints := startListener(t, withSharedSockets.and(func(options *Options) {
		options.Sockets = 2
		options.Table.Entries = 500
		options.NewFlows.Burst = 500
		options.FlowQueue.Count = 100
		options.QueueBudget.Count = 1000
	}))
	clients := make([]testClient, 100)
	for i := range clients {
		clients[i] = dial(t, listener)
		for n := range perClient {
			clients[i].send(fmt.Sprintf("%d.%d", i, n))
		}
		if started := i + 1; started%burst == 0 {
			eventually(t, "the datagrams arrive", func() bool {
				return endpoints.count("a") == perClient*started
			})
		}
	}
	clients[7].send(string(make([]byte, maxDatagramSize)))
	clients[7].send("after")
	for i, client := range clients {
		for n := range perClient {
			client.expect(fmt.Sprintf("a:%d.%d", i, n))
		}
	}
	clients[7].expect("a:after")
	open, unsent := listener.sharedSocketAddresses(), listener.Counts.Unsent.Load()
	if arrived := endpoints.count("a"); len(open) != 1 || unsent != 1 || arrived != 501 {
		t.Errorf("sockets to %v, %d datagrams unsent, %d arrived, want one endpoint, 1 and 501",
			open, unsent, arrived)
	}
	checkBalance(t, &listener.Counts)
}

// Guards against dropped datagrams when the write deadline passes before the write, because the
// process was not scheduled in time, although the socket's buffer has space.
func TestPassedWriteDeadlineLosesNoDatagram(t *testing.T) {
	listener, _, _ := startListener(t, withSharedSockets)
	client := dial(t, listener)
	client.send("1")
	client.expect("a:1")
	listener.mu.Lock()
	for _, socket := range listener.sharedSockets { // simulates a deadline that passed before the write
		socket.writeDeadline = time.Now().Add(time.Hour)
		_ = socket.conn.SetWriteDeadline(time.Now().Add(-time.Millisecond))
	}
	listener.mu.Unlock()
	client.send("2")
	client.expect("a:2")
	if unsent := listener.Counts.Unsent.Load(); unsent != 0 {
		t.Errorf("%d datagrams unsent", unsent)
	}
}
