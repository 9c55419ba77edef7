package replayguard

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"coralrelay/internal/resumetoken"
)

// responseTimeout is how long a connection may receive nothing before it is closed.
const responseTimeout = 2 * statusTimeout

// peerConnection is one connection to a peer. Peer.mu protects lastSequence and pending.
type peerConnection struct {
	conn         net.Conn
	challenge    string
	outgoing     chan string
	lastSequence uint64
	pending      map[uint64]*pendingRequest // by sequence number; nil after the connection has ended
}

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	key *resumetoken.Key
	// reply is a buffered channel that receives the verdict. It is closed if the connection ends
	// before the response. It is nil for a HELLO.
	reply chan<- resumetoken.Verdict
}

func newPeerConnection(conn net.Conn) *peerConnection {
	return &peerConnection{
		conn:      conn,
		challenge: newChallenge(),
		outgoing:  make(chan string, maxPendingRequests),
		pending:   map[uint64]*pendingRequest{},
	}
}

// connect connects to the peer and serves the connection until it or ctx ends. The goroutines that
// connect starts end before it returns.
func (p *Peer) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	connection := newPeerConnection(conn)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer cancel()
	p.attach(connection)
	defer p.detach(connection)
	wg.Go(func() { writeLines(ctx, conn, connection.outgoing) })
	wg.Go(func() { p.pollStatus(ctx, connection) })
	return p.readResponses(connection)
}

// attach sets the connection on which requests are sent.
func (p *Peer) attach(connection *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connection = connection
}

// detach stops the use of a connection and closes the reply channels of its unanswered requests.
func (p *Peer) detach(connection *peerConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connection = nil
	for _, request := range connection.pending {
		if request.reply != nil {
			close(request.reply)
		}
	}
	connection.pending = nil
}

// pollStatus requests the peer's status every statusInterval until ctx ends. It closes the
// connection if a request can't be sent, for example because the peer does not respond and too
// many requests are unanswered.
func (p *Peer) pollStatus(ctx context.Context, connection *peerConnection) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		if !p.send(connection, nil, helloMessage) {
			_ = connection.conn.Close()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readResponses handles responses until the connection ends or a response is rejected.
func (p *Peer) readResponses(connection *peerConnection) error {
	reader := bufio.NewReaderSize(connection.conn, maxLineBytes)
	for {
		_ = connection.conn.SetReadDeadline(time.Now().Add(responseTimeout))
		fields, err := readFields(reader)
		if err != nil {
			return err
		}
		if err := p.handleResponse(connection, fields); err != nil {
			return err
		}
	}
}

// send queues a request, in which the arguments follow the key id. It returns false if the
// connection has ended, too many requests are unanswered, or no key signs yet.
func (p *Peer) send(
	connection *peerConnection, reply chan<- resumetoken.Verdict, command string, arguments ...string,
) bool {
	key, ok := p.currentKeyRing().SigningKey(time.Now())
	if !ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if connection == nil || connection.pending == nil || len(connection.pending) >= maxPendingRequests {
		return false
	}
	connection.lastSequence++
	sequence := connection.lastSequence
	head := []string{command, connection.challenge, strconv.FormatUint(sequence, 10), key.ID.String()}
	select {
	case connection.outgoing <- authenticatedLine(key, requestContext, append(head, arguments...)...):
		connection.pending[sequence] = &pendingRequest{key: key, reply: reply}
		return true
	default:
		return false
	}
}

// handleResponse handles one response. The error is a *protocolError.
func (p *Peer) handleResponse(connection *peerConnection, fields []string) error {
	if len(fields) < minResponseFields {
		return malformed(fields)
	}
	sequence, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return malformed(fields)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	request := connection.pending[sequence]
	if request == nil || !hasValidMAC(request.key, responseContext(connection.challenge), fields) {
		return &protocolError{
			problem: "response has no pending request or a wrong MAC, sequence", line: fields[1],
		}
	}
	delete(connection.pending, sequence)
	isVerdict := request.reply != nil
	switch {
	case !isVerdict && fields[0] == statusMessage && len(fields) == statusFields:
		status, err := parseStatus(fields, p.Name)
		if err != nil {
			return err
		}
		p.status, p.statusAt = status, time.Now()
	case isVerdict && fields[0] == verdictMessage && len(fields) == verdictFields:
		verdict, err := parseVerdict(fields)
		if err != nil {
			return err
		}
		request.reply <- verdict
	default:
		return malformed(fields)
	}
	return nil
}
