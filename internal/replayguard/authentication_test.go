package replayguard

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"coralrelay/internal/resumetoken"
)

// A server sends no verdict without a valid MAC of the request, and a token can still be redeemed
// after malformed requests.
func TestRejectsRequestsWithoutKey(t *testing.T) {
	config := testConfig(newTestKeyRing(t, "a"))
	config.ArbiterTimeout = time.Second
	cluster := startTestCluster(t, 2, config)
	token := cluster.mint(0, 0)
	unknownKey, _ := newTestKeyRing(t, "z").Get(1)
	redemptionID := strings.Repeat("0", 32)
	for name, text := range map[string]string{
		"other secret": authenticatedLine(unknownKey, requestContext,
			spendMessage, "c", "1", unknownKey.ID.String(), redemptionID, token),
		"no MAC":  "SPEND c 1 00000001 " + redemptionID + " " + token + " 00\r\n",
		"endless": strings.Repeat("x", 100_000),
		"empty":   "\r\n",
		"binary":  "\x00\xff\xfe\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", cluster.addrs[0])
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
			_, _ = conn.Write([]byte(text))
			response, err := bufio.NewReader(conn).ReadString('\n')
			isRefusal := response == "NO\r\n"
			if strings.HasPrefix(response, verdictMessage) || err == nil && !isRefusal {
				t.Errorf("the server responded %q", response)
			}
		})
	}
	if outcome := cluster.redeem(1, token); !outcome.CanResume {
		t.Errorf("redemption by the client of the token: %+v", outcome)
	}
}

// A peer is not ready if the MAC of its status does not match or the status contains another name.
func TestIgnoresUnauthenticatedPeer(t *testing.T) {
	status := func(key *resumetoken.Key, context, sequence, name string) string {
		return authenticatedLine(key, context,
			statusMessage, sequence, name, "0102030405060708", "ready", "stays")
	}
	for name, respond := range map[string]func(key *resumetoken.Key, challenge, sequence string) string{
		"no key": func(*resumetoken.Key, string, string) string {
			return "LEDGER 1 n1 00 ready stays 00\r\n"
		},
		"old response": func(key *resumetoken.Key, _, sequence string) string {
			return status(key, "answer old", sequence, "n1")
		},
		"another name": func(key *resumetoken.Key, challenge, sequence string) string {
			return status(key, "answer "+challenge, sequence, "n7")
		},
	} {
		t.Run(name, func(t *testing.T) {
			keyRing := newTestKeyRing(t, "a")
			key, _ := keyRing.Get(1)
			addr, connected := startFakePeer(t, func(request []string) string {
				return respond(key, request[1], request[2])
			})
			peer := &Peer{
				Name: "n1", Addr: addr, currentKeyRing: func() *resumetoken.KeyRing { return keyRing },
			}
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { peer.Run(ctx); close(done) }()
			defer func() { cancel(); <-done }()
			<-connected
			<-connected // the first connection has been closed
			if peer.Candidate(time.Now()).IsReady {
				t.Error("the peer is ready after an invalid status")
			}
		})
	}
}

// startFakePeer listens until the end of the test. It answers one HELLO on each connection. The
// channel connected receives a value for each accepted connection.
func startFakePeer(
	t *testing.T, respond func(request []string) string,
) (addr string, connected <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections := make(chan struct{}, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			fields, err := readFields(bufio.NewReader(conn))
			if err == nil && len(fields) == helloFields {
				_, _ = conn.Write([]byte(respond(fields)))
			}
		}
	}()
	return listener.Addr().String(), connections
}
