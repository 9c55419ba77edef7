package replayguard

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"

	"coralrelay/internal/resumetoken"
)

const wireChallenge = "f0e1d2c3b4a5968778695a4b3c2d1e0f"

// wireExchanges are the requests of a peer on one connection and the expected responses.
var wireExchanges = []struct{ request, response string }{
	{
		"HELLO f0e1d2c3b4a5968778695a4b3c2d1e0f 1 00000002 002ca6821ed0088171daca0943dbb49c\r\n",
		"LEDGER 1 n0 0a1b2c3d4e5f6071 ready stays 4ff22a99c7be96e21d9b622dcf5a931b\r\n",
	},
	{
		"SPEND f0e1d2c3b4a5968778695a4b3c2d1e0f 2 00000002 b0b1b2b3b4b5b6b7b8b9babbbcbdbebf AQAAAAIKGyw9Tl9gcQAAAAAAAADhAAAAAAAAAGUAAAGjGFxh1wAAeRh0IqDVCNsa9YrYp84tErrhICEiIyQlJicoKSorLC0uLwJuMQJuMPCpEd0AhCLjYdS1kPKTTw8 4f5011cd37a26749b1f60d7dbe7b589e\r\n",
		"VERDICT 2 granted 225aa11b2a77055d1fd8f8ee71851b12\r\n",
	},
	{
		"SPEND f0e1d2c3b4a5968778695a4b3c2d1e0f 3 00000002 d0d1d2d3d4d5d6d7d8d9dadbdcdddedf AQAAAAIKGyw9Tl9gcQAAAAAAAADhAAAAAAAAAGUAAAGjGFxh1wAAeRh0IqDVCNsa9YrYp84tErrhICEiIyQlJicoKSorLC0uLwJuMQJuMPCpEd0AhCLjYdS1kPKTTw8 76a555ef2779f3a22db64ed463cb78fc\r\n",
		"VERDICT 3 spent d8831d4191c562a02413e670ee357db0\r\n",
	},
}

// roundTrip sends a line to a server on a new connection and returns the response.
func roundTrip(t *testing.T, server *Server, request string) string {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	served := make(chan struct{})
	go func() { server.serveConnection(context.Background(), serverConn); close(served) }()
	defer func() { _ = clientConn.Close(); <-served }()
	if _, err := clientConn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	response, err := bufio.NewReader(clientConn).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func TestServerWireFormat(t *testing.T) {
	keyRing := storedKeyRing(t)
	guard, _ := startGuardAt(t, copyStored(t), storedTime)
	server := &Server{Name: "n0", Guard: guard, KeyRing: func() *resumetoken.KeyRing { return keyRing }}
	for _, exchange := range wireExchanges {
		if response := roundTrip(t, server, exchange.request); response != exchange.response {
			t.Errorf("request       %q\nresponse      %q\nwant response %q",
				exchange.request, response, exchange.response)
		}
	}
	if response := roundTrip(t, server, "SPEND\r\n"); response != "NO\r\n" {
		t.Errorf("response to a malformed line: %q", response)
	}
	server.Guard = NewUnavailable()
	server.Guard.ID = storedID
	const want = "LEDGER 1 n0 0a1b2c3d4e5f6071 full goes f24629a2e2db2e7bda416f03f391e0ea\r\n"
	if response := roundTrip(t, server, wireExchanges[0].request); response != want {
		t.Errorf("response of an unavailable guard: %q, want %q", response, want)
	}
}

func TestPeerWireFormat(t *testing.T) {
	keyRing := storedKeyRing(t)
	peer := &Peer{Name: "n0", currentKeyRing: func() *resumetoken.KeyRing { return keyRing }}
	peer.connection = &peerConnection{
		challenge: wireChallenge,
		outgoing:  make(chan string, 1),
		pending:   map[uint64]*pendingRequest{},
	}
	checkExchange := func(index int) {
		t.Helper()
		exchange := wireExchanges[index]
		if request := <-peer.connection.outgoing; request != exchange.request {
			t.Errorf("sent %q\nwant %q", request, exchange.request)
		}
		if err := peer.handleResponse(peer.connection, strings.Fields(exchange.response)); err != nil {
			t.Errorf("response %q: %v", exchange.response, err)
		}
	}
	peer.send(peer.connection, nil, helloMessage)
	checkExchange(0)
	want := resumetoken.Candidate{Name: "n0", GuardID: storedID, IsReady: true, IsDurable: true}
	if peer.status != want {
		t.Errorf("peer status %+v, want %+v", peer.status, want)
	}
	for i, test := range []struct {
		redemptionID string
		want         resumetoken.Verdict
	}{
		{"b0b1b2b3b4b5b6b7b8b9babbbcbdbebf", resumetoken.Granted},
		{"d0d1d2d3d4d5d6d7d8d9dadbdcdddedf", resumetoken.Spent},
	} {
		id := parseRedemptionID(t, test.redemptionID)
		verdicts := make(chan resumetoken.Verdict, 1)
		go func() {
			verdict, _ := peer.Spend(context.Background(), storedTokens[1].text, id)
			verdicts <- verdict
		}()
		checkExchange(i + 1)
		if verdict := <-verdicts; verdict != test.want {
			t.Errorf("verdict %v, want %v", verdict, test.want)
		}
	}
}
