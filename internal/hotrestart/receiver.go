package hotrestart

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/proxy"
)

// again is the pause after a giver could not be accepted.
const acceptRetryDelay = 5 * time.Millisecond

// Taker goes on with connections, and by what the other process has learned. Adopt takes
// one that its giver still holds: nothing is read or written before s.Hold is committed.
// If it is false, the connections are the caller's to close.
type Receiver interface {
	Adopt(s proxy.EstablishedSession, caller, hop net.Conn) bool
	Learn(m balance.LearnedState)
}

// Serve takes connections at a name in a folder, until ctx ends. What an earlier process
// has left there goes: the name is this one's own.
func Listen(ctx context.Context, goroutines *sync.WaitGroup, dir, name string, receiver Receiver) error {
	return withSocketAddr(dir, name, func(addr *net.UnixAddr) error {
		if err := os.Remove(addr.Name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		listener, err := net.ListenUnix("unixpacket", addr)
		if err != nil {
			return err
		}
		listener.SetUnlinkOnClose(false) // the name may be the next process's by then
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		goroutines.Go(func() {
			for {
				conn, err := listener.AcceptUnix()
				switch {
				case err == nil:
					receive(ctx, conn, receiver) // one giver at a time: there is only one process beside this
				case errors.Is(err, net.ErrClosed):
					return
				default: // out of descriptors, most likely: callers must end first, the giver waits
					slog.Warn("handover: accept", "err", err)
					time.Sleep(acceptRetryDelay)
				}
			}
		})
		return nil
	})
}

// take takes connections from one giver until it ends.
func receive(ctx context.Context, conn *net.UnixConn, receiver Receiver) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseRead() }) // what was committed before still counts
	defer stop()
	if !isSameUser(conn) {
		slog.Error("handover: connections of another user are not taken")
		return
	}
	count := 0
	defer func() { slog.Info("handover: taken over", "connections", count) }()
	message, controlMessage := make([]byte, maxMessageBytes), make([]byte, unix.CmsgSpace(2*4))
	for {
		_ = conn.SetReadDeadline(time.Time{})
		size, oob, flags, _, err := conn.ReadMsgUnix(message, controlMessage)
		if err != nil || size == 0 {
			return
		}
		if oob == 0 && flags&unix.MSG_CTRUNC == 0 {
			reply := replyLearned
			if err := deliverLearnedState(message[:size], receiver); err != nil {
				slog.Warn("handover: what was learned is not taken", "err", err)
				reply = replyRejected
			}
			if !sendReply(conn, reply) {
				return
			}
			continue
		}
		hold, err := adopt(message[:size], controlMessage[:oob], flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) == 0, receiver)
		if err != nil {
			slog.Warn("handover: a connection is not taken", "err", err)
			if !sendReply(conn, replyRejected) {
				return
			}
			continue
		}
		if !sendReply(conn, replyPrepared) || !awaitCommit(conn) {
			slog.Warn("handover: a connection stays its giver's, who has not let go of it")
			hold.Abort()
			return
		}
		hold.Commit()
		count++
	}
}

func sendReply(conn net.Conn, reply string) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(transferTimeout))
	_, err := conn.Write([]byte(reply))
	return err == nil
}

// halves is the part of a giver's connection by which it can be kept from committing.
type commitReader interface {
	SetReadDeadline(t time.Time) error
	CloseRead() error
	Read(b []byte) (int, error)
}

// committed waits until the giver has let go of what was offered. If it is false, that
// can't come any more: a giver that writes after the end of this half is told that it
// can't, and what it wrote before is read here.
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

// learn passes on what a message says was learned.
func deliverLearnedState(message []byte, receiver Receiver) error {
	var decoded learnedStateMessage
	if err := json.Unmarshal(message, &decoded); err != nil {
		return err
	}
	if decoded.Learned == nil {
		return errors.New("a message has no connections and teaches nothing")
	}
	receiver.Learn(*decoded.Learned)
	return nil
}

// prepare has one connection adopted, and held until the giver has let go of it.
func adopt(message, controlMessage []byte, complete bool, receiver Receiver) (*proxy.CommitGate, error) {
	conns, err := parseConnections(controlMessage)
	if err == nil && !complete {
		err = errors.New("a message came cut off")
	}
	if err == nil && len(conns) != 2 {
		err = fmt.Errorf("%d connections in a message, want 2", len(conns))
	}
	var session proxy.EstablishedSession
	if err == nil {
		err = json.Unmarshal(message, &session)
	}
	if err == nil && max(len(session.FromClient), len(session.FromUpstream)) > bufconn.BufferSize {
		err = errors.New("more was read than a buffer holds")
	}
	session.Gate = proxy.NewCommitGate()
	if err == nil && !receiver.Adopt(session, conns[0], conns[1]) {
		err = fmt.Errorf("%s: its id is in use, or this process ends too", session.ID)
	}
	if err != nil {
		for _, conn := range conns {
			_ = conn.Close() // the giver's copies stay open
		}
		return nil, err
	}
	return session.Gate, nil
}

// received returns the connections that came with a message.
func parseConnections(controlMessage []byte) (conns []net.Conn, err error) {
	messages, err := unix.ParseSocketControlMessage(controlMessage)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			return conns, err
		}
		for _, fd := range fds {
			file := os.NewFile(uintptr(fd), "handed over")
			conn, fileErr := net.FileConn(file) // has a copy of its own
			_ = file.Close()
			if fileErr != nil {
				err = fileErr
				continue
			}
			conns = append(conns, conn)
			if _, isTCP := conn.(*net.TCPConn); !isTCP {
				err = errors.New("a connection is none of TCP")
			}
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}
