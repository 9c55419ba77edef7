package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
)

// acceptRetryDelay is the pause after accepting a sender has failed.
const acceptRetryDelay = 5 * time.Millisecond

// Receiver continues the sessions, and uses the learned state, of another process.
type Receiver interface {
	// Adopt accepts a session that its sender still holds. It must not read from or write to
	// the connections before the session's CommitGate is committed. If it returns false, the
	// caller closes the connections.
	Adopt(session proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool
	// Learn applies the learned state of the sending process.
	Learn(state balance.LearnedState)
}

// Listen receives sessions on the socket called name in dir until ctx ends. It removes a socket
// that an earlier process left there, as only one process at a time uses the name.
func Listen(ctx context.Context, goroutines *sync.WaitGroup, dir, name string, receiver Receiver) error {
	return withSocketAddr(dir, name, func(addr *net.UnixAddr) error {
		if err := os.Remove(addr.Name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		listener, err := net.ListenUnix(network, addr)
		if err != nil {
			return err
		}
		listener.SetUnlinkOnClose(false) // the next process may already listen at this name
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		goroutines.Go(func() { acceptSenders(ctx, listener, receiver) })
		return nil
	})
}

// acceptSenders serves one sender at a time, as a node has only one other process.
func acceptSenders(ctx context.Context, listener *net.UnixListener, receiver Receiver) {
	for {
		conn, err := listener.AcceptUnix()
		switch {
		case err == nil:
			receive(ctx, conn, receiver)
		case errors.Is(err, net.ErrClosed):
			return
		default: // probably out of descriptors: the sender waits until clients have ended
			slog.Warn("cannot accept a sender of sessions", "component", component, "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// receive serves one sender until the sender disconnects or ctx ends.
func receive(ctx context.Context, conn *net.UnixConn, receiver Receiver) {
	defer func() { _ = conn.Close() }()
	// Messages that were sent before CloseRead, commits included, can still be read.
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseRead() })
	defer stop()
	if !isSameUser(conn) {
		slog.Error("sender of sessions rejected: it runs as another user", "component", component)
		return
	}
	sessions := 0
	defer func() { slog.Info("sessions taken over", "component", component, "sessions", sessions) }()
	message := make([]byte, maxMessageBytes)
	control := make([]byte, unix.CmsgSpace(connectionsPerSession*bytesPerDescriptor))
	for {
		_ = conn.SetReadDeadline(time.Time{})
		size, controlSize, flags, _, err := conn.ReadMsgUnix(message, control)
		if err != nil || size == 0 {
			return
		}
		received := packet{message: message[:size], control: control[:controlSize], flags: flags}
		if !received.carriesDescriptors() {
			if !receiveLearnedState(conn, received, receiver) {
				return
			}
			continue
		}
		gate, err := adopt(received, receiver)
		if err != nil {
			slog.Warn("session rejected", "component", component, "error", err)
			if !sendReply(conn, replyRejected) {
				return
			}
			continue
		}
		if !commitSession(conn, gate) {
			return
		}
		sessions++
	}
}

// receiveLearnedState applies a message of learned state and replies. It returns false if the
// reply cannot be sent.
func receiveLearnedState(conn net.Conn, received packet, receiver Receiver) bool {
	if err := deliverLearnedState(received.message, receiver); err != nil {
		slog.Warn("learned state rejected", "component", component, "error", err)
		return sendReply(conn, replyRejected)
	}
	return sendReply(conn, replyLearned)
}

// deliverLearnedState decodes a message of learned state and passes it to the receiver.
func deliverLearnedState(message []byte, receiver Receiver) error {
	var decoded learnedStateMessage
	if err := json.Unmarshal(message, &decoded); err != nil {
		return err
	}
	if decoded.Learned == nil {
		return errors.New("message has neither connections nor learned state")
	}
	receiver.Learn(*decoded.Learned)
	return nil
}

// commitSession commits or aborts an adopted session. If it returns false, the session stays
// with the sender, and no more messages are to be received.
func commitSession(conn *net.UnixConn, gate *proxy.CommitGate) bool {
	if !sendReply(conn, replyPrepared) || !awaitCommit(conn) {
		slog.Warn("sender did not commit, the session stays with it", "component", component)
		gate.Abort()
		return false
	}
	gate.Commit()
	return true
}

func sendReply(conn net.Conn, reply string) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(transferTimeout))
	_, err := conn.Write([]byte(reply))
	return err == nil
}

// commitReader is the part of a sender's connection that awaitCommit uses to receive a commit,
// or to prevent one.
type commitReader interface {
	SetReadDeadline(t time.Time) error
	CloseRead() error
	Read(b []byte) (int, error)
}

// awaitCommit waits for the sender's commit and reports whether it arrived. If it returns false,
// the sender can no longer commit: after CloseRead the sender's writes fail, and a commit that
// was written before is read here.
func awaitCommit(conn commitReader) bool {
	var message [len(commitMessage) + 1]byte
	_ = conn.SetReadDeadline(time.Now().Add(transferTimeout))
	n, err := conn.Read(message[:])
	if err == nil && string(message[:n]) == commitMessage {
		return true
	}
	_ = conn.CloseRead()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	n, err = conn.Read(message[:])
	return err == nil && string(message[:n]) == commitMessage
}
