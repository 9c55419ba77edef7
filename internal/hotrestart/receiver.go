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

// acceptRetryDelay is the pause after a sender could not be accepted.
const acceptRetryDelay = 5 * time.Millisecond

// Receiver goes on with sessions, and by what the other process has learned.
type Receiver interface {
	// Adopt takes a session that its sender still holds: nothing is read or written before
	// its CommitGate is committed. If it is false, the connections are for Adopt's caller to
	// close.
	Adopt(session proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool
	Learn(state balance.LearnedState)
}

// Listen receives sessions at a name in a directory, until ctx ends. What an earlier process
// has left there is removed: the name is this process's own.
func Listen(ctx context.Context, goroutines *sync.WaitGroup, dir, name string, receiver Receiver) error {
	return withSocketAddr(dir, name, func(addr *net.UnixAddr) error {
		if err := os.Remove(addr.Name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		listener, err := net.ListenUnix(network, addr)
		if err != nil {
			return err
		}
		listener.SetUnlinkOnClose(false) // the name may be the next process's by then
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		goroutines.Go(func() { acceptSenders(ctx, listener, receiver) })
		return nil
	})
}

// acceptSenders serves one sender at a time, as there is only one other process.
func acceptSenders(ctx context.Context, listener *net.UnixListener, receiver Receiver) {
	for {
		conn, err := listener.AcceptUnix()
		switch {
		case err == nil:
			receive(ctx, conn, receiver)
		case errors.Is(err, net.ErrClosed):
			return
		default: // out of descriptors, most likely: clients must end first, the sender waits
			slog.Warn("cannot accept the sender of sessions", "component", component, "error", err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// receive serves one sender until it ends or ctx does.
func receive(ctx context.Context, conn *net.UnixConn, receiver Receiver) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseRead() }) // what was committed before still counts
	defer stop()
	if !isSameUser(conn) {
		slog.Error("sender of sessions runs as another user, rejected", "component", component)
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

// receiveLearnedState uses a message of learned state and replies. If it is false, the
// sender can't be reached.
func receiveLearnedState(conn net.Conn, received packet, receiver Receiver) bool {
	if err := deliverLearnedState(received.message, receiver); err != nil {
		slog.Warn("learned state rejected", "component", component, "error", err)
		return sendReply(conn, replyRejected)
	}
	return sendReply(conn, replyLearned)
}

// deliverLearnedState decodes a message of learned state for the receiver.
func deliverLearnedState(message []byte, receiver Receiver) error {
	var decoded learnedStateMessage
	if err := json.Unmarshal(message, &decoded); err != nil {
		return err
	}
	if decoded.Learned == nil {
		return errors.New("the message has neither connections nor learned state")
	}
	receiver.Learn(*decoded.Learned)
	return nil
}

// commitSession decides an adopted session. If it is false, the session is the sender's and
// nothing more is to be received.
func commitSession(conn *net.UnixConn, gate *proxy.CommitGate) bool {
	if !sendReply(conn, replyPrepared) || !awaitCommit(conn) {
		slog.Warn("session stays with its sender, which did not commit", "component", component)
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

// commitReader is the part of a sender's connection by which it can be kept from committing.
type commitReader interface {
	SetReadDeadline(t time.Time) error
	CloseRead() error
	Read(b []byte) (int, error)
}

// awaitCommit waits for the sender's commit. If it is false, none can come any more: a
// sender that writes after the end of this half gets an error, and what it wrote before is
// read here.
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
