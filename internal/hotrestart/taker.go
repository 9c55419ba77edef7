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
const again = 5 * time.Millisecond

// Taker goes on with connections, and by what the other process has learned. Adopt takes
// one that its giver still holds: nothing is read or written before s.Hold is committed.
// If it is false, the connections are the caller's to close.
type Receiver interface {
	Adopt(s proxy.EstablishedSession, caller, hop net.Conn) bool
	Learn(m balance.LearnedState)
}

// Serve takes connections at a name in a folder, until ctx ends. What an earlier process
// has left there goes: the name is this one's own.
func Listen(ctx context.Context, parts *sync.WaitGroup, dir, name string, to Receiver) error {
	return socket(dir, name, func(addr *net.UnixAddr) error {
		if err := os.Remove(addr.Name); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		l, err := net.ListenUnix("unixpacket", addr)
		if err != nil {
			return err
		}
		l.SetUnlinkOnClose(false) // the name may be the next process's by then
		context.AfterFunc(ctx, func() { _ = l.Close() })
		parts.Go(func() {
			for {
				conn, err := l.AcceptUnix()
				switch {
				case err == nil:
					take(ctx, conn, to) // one giver at a time: there is only one process beside this
				case errors.Is(err, net.ErrClosed):
					return
				default: // out of descriptors, most likely: callers must end first, the giver waits
					slog.Warn("handover: accept", "err", err)
					time.Sleep(again)
				}
			}
		})
		return nil
	})
}

// take takes connections from one giver until it ends.
func take(ctx context.Context, conn *net.UnixConn, to Receiver) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.CloseRead() }) // what was committed before still counts
	defer stop()
	if !own(conn) {
		slog.Error("handover: connections of another user are not taken")
		return
	}
	n := 0
	defer func() { slog.Info("handover: taken over", "connections", n) }()
	message, rights := make([]byte, largest), make([]byte, unix.CmsgSpace(2*4))
	for {
		_ = conn.SetReadDeadline(time.Time{})
		size, oob, flags, _, err := conn.ReadMsgUnix(message, rights)
		if err != nil || size == 0 {
			return
		}
		if oob == 0 && flags&unix.MSG_CTRUNC == 0 {
			answer := taken
			if err := learn(message[:size], to); err != nil {
				slog.Warn("handover: what was learned is not taken", "err", err)
				answer = kept
			}
			if !say(conn, answer) {
				return
			}
			continue
		}
		hold, err := prepare(message[:size], rights[:oob], flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) == 0, to)
		if err != nil {
			slog.Warn("handover: a connection is not taken", "err", err)
			if !say(conn, kept) {
				return
			}
			continue
		}
		if !say(conn, prepared) || !committed(conn) {
			slog.Warn("handover: a connection stays its giver's, who has not let go of it")
			hold.Abort()
			return
		}
		hold.Commit()
		n++
	}
}

func say(conn net.Conn, word string) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(within))
	_, err := conn.Write([]byte(word))
	return err == nil
}

// halves is the part of a giver's connection by which it can be kept from committing.
type halves interface {
	SetReadDeadline(t time.Time) error
	CloseRead() error
	Read(b []byte) (int, error)
}

// committed waits until the giver has let go of what was offered. If it is false, that
// can't come any more: a giver that writes after the end of this half is told that it
// can't, and what it wrote before is read here.
func committed(conn halves) bool {
	var b [len(commit) + 1]byte
	_ = conn.SetReadDeadline(time.Now().Add(within))
	n, err := conn.Read(b[:])
	if err == nil && string(b[:n]) == commit {
		return true
	}
	_ = conn.CloseRead()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	n, err = conn.Read(b[:])
	return err == nil && string(b[:n]) == commit
}

// learn passes on what a message says was learned.
func learn(message []byte, to Receiver) error {
	var l lesson
	if err := json.Unmarshal(message, &l); err != nil {
		return err
	}
	if l.Learned == nil {
		return errors.New("a message has no connections and teaches nothing")
	}
	to.Learn(*l.Learned)
	return nil
}

// prepare has one connection adopted, and held until the giver has let go of it.
func prepare(message, rights []byte, whole bool, to Receiver) (*proxy.CommitGate, error) {
	conns, err := received(rights)
	if err == nil && !whole {
		err = errors.New("a message came cut off")
	}
	if err == nil && len(conns) != 2 {
		err = fmt.Errorf("%d connections in a message, want 2", len(conns))
	}
	var s proxy.EstablishedSession
	if err == nil {
		err = json.Unmarshal(message, &s)
	}
	if err == nil && max(len(s.FromClient), len(s.FromUpstream)) > bufconn.BufferSize {
		err = errors.New("more was read than a buffer holds")
	}
	s.Gate = proxy.NewCommitGate()
	if err == nil && !to.Adopt(s, conns[0], conns[1]) {
		err = fmt.Errorf("%s: its id is in use, or this process ends too", s.ID)
	}
	if err != nil {
		for _, c := range conns {
			_ = c.Close() // the giver's copies stay open
		}
		return nil, err
	}
	return s.Gate, nil
}

// received returns the connections that came with a message.
func received(rights []byte) (conns []net.Conn, err error) {
	messages, err := unix.ParseSocketControlMessage(rights)
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
			conn, err2 := net.FileConn(file) // has a copy of its own
			_ = file.Close()
			if err2 != nil {
				err = err2
				continue
			}
			conns = append(conns, conn)
			if _, tcp := conn.(*net.TCPConn); !tcp {
				err = errors.New("a connection is none of TCP")
			}
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}
