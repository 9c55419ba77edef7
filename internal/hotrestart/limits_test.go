package hotrestart

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
	"coralrelay/internal/testsocket"
)

// slowReceiver accepts everything and takes two fifths of transferTimeout for each message.
type slowReceiver struct{ fakeReceiver }

func (r *slowReceiver) Adopt(s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	time.Sleep(transferTimeout * 2 / 5)
	return r.fakeReceiver.Adopt(s, downstreamConn, upstreamConn)
}

func (r *slowReceiver) Learn(state balance.LearnedState) {
	time.Sleep(transferTimeout * 2 / 5)
	r.fakeReceiver.Learn(state)
}

// A slow receiver must not delay any session for longer than the transfer timeout: sessions that
// wait for others too long are rejected, and stay connected at the sender.
func TestSlowReceiverHoldsUpNoSession(t *testing.T) {
	dir := t.TempDir()
	receiver := &slowReceiver{fakeReceiver{accepts: true}}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	var takes sync.WaitGroup
	begun := time.Now()
	for range 12 {
		downstreamConn, client := testsocket.Pair(t)
		upstreamConn, server := testsocket.Pair(t)
		takes.Go(func() {
			if !sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
				expectConnected(t, downstreamConn, client)
				expectConnected(t, upstreamConn, server)
			}
		})
	}
	takes.Wait()
	if took := time.Since(begun); took > 2*transferTimeout {
		t.Errorf("the last session was decided after %v", took)
	}
}

// Sending learned state to a slow receiver must not take longer than the transfer timeout either,
// as the sessions wait for it.
func TestSlowReceiverBoundsLearnedState(t *testing.T) {
	dir := t.TempDir()
	startReceiver(t, dir, &slowReceiver{fakeReceiver{accepts: true}})
	sender := dialSender(t, dir)
	state := balance.LearnedState{}
	for i := range 10 * maxServersPerMessage {
		state.Servers = append(state.Servers, balance.LearnedServer{ID: fmt.Sprint("s", i)})
	}
	begun := time.Now()
	sender.SendLearnedState(state)
	if took := time.Since(begun); took > 2*transferTimeout {
		t.Errorf("sending took %v", took)
	}
}

// exhaustDescriptors opens files until no descriptor is left. The returned function frees some. The
// limit is restored when the test ends.
func exhaustDescriptors(t *testing.T) (free func(n int)) {
	t.Helper()
	var previous syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &previous); err != nil {
		t.Fatal(err)
	}
	var files []*os.File
	t.Cleanup(func() {
		_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &previous)
		for _, f := range files {
			_ = f.Close()
		}
	})
	limit := syscall.Rlimit{Cur: uint64(countOpenDescriptors(t) + 64), Max: previous.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	for {
		f, err := os.Open(os.DevNull)
		if err != nil {
			break
		}
		files = append(files, f)
	}
	return func(n int) {
		for range n {
			_ = files[0].Close()
			files = files[1:]
		}
	}
}

// countDescriptorsInPlace counts the open descriptors of this process without opening one.
func countDescriptorsInPlace() (n int) {
	for fd := range 4096 {
		if _, err := unix.FcntlInt(uintptr(fd), unix.F_GETFD, 0); err == nil {
			n++
		}
	}
	return n
}

// A receiver at its descriptor limit must reject a session that it has no descriptors for, without
// leaking any. The session stays with the sender. With enough descriptors it is accepted.
func TestReceiverAtItsDescriptorLimit(t *testing.T) {
	dir := t.TempDir()
	receiver := &fakeReceiver{accepts: true}
	startReceiver(t, dir, receiver)
	sender := dialSender(t, dir)
	downstreamConn, client := testsocket.Pair(t)
	upstreamConn, server := testsocket.Pair(t)
	sender.SendLearnedState(balance.LearnedState{}) // so that the receiver has accepted
	free := exhaustDescriptors(t)
	for left := range 4 {
		before := countDescriptorsInPlace()
		if took := sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn); took != (left >= 3) {
			t.Errorf("%d left: taken %v", left, took)
		}
		if after := countDescriptorsInPlace(); left < 3 && after != before {
			t.Errorf("%d left: %d descriptors before, %d after", left, before, after)
		}
		expectConnected(t, downstreamConn, client)
		expectConnected(t, upstreamConn, server)
		free(1)
	}
}

// logCapture is a slog.Handler that sends the logged messages to a channel.
type logCapture struct {
	slog.Handler
	messages chan string
}

func (c logCapture) Enabled(context.Context, slog.Level) bool { return true }
func (c logCapture) Handle(_ context.Context, record slog.Record) error {
	select {
	case c.messages <- record.Message:
	default:
	}
	return nil
}

// A receiver that has no descriptor to accept its sender must retry, and receive the sessions once
// descriptors are free.
func TestReceiverRetriesAcceptWithoutDescriptors(t *testing.T) {
	dir := t.TempDir()
	captured := logCapture{slog.Default().Handler(), make(chan string, 99)}
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(captured))
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	receiver := &fakeReceiver{accepts: true}
	defer receiver.close()
	if err := Listen(ctx, &goroutines, dir, "node.1", receiver); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { goroutines.Wait(); close(ended) }()
	defer func() { cancel(); <-ended }()
	downstreamConn, _ := testsocket.Pair(t)
	upstreamConn, _ := testsocket.Pair(t)
	free := exhaustDescriptors(t)
	free(1)
	conn, err := net.DialUnix(network, nil, &net.UnixAddr{Name: socketPath(dir), Net: network})
	if err != nil {
		t.Fatal(err)
	}
	sender := &Sender{conn: conn}
	defer sender.Close()
	for hasRetried := false; !hasRetried; {
		select {
		case <-ended:
			t.Fatal("the receiver has ended")
		case message := <-captured.messages:
			hasRetried = strings.Contains(message, "accept")
		case <-time.After(testTimeout):
			t.Fatal("the receiver has not tried to accept the sender")
		}
	}
	free(8)
	if !sender.Take(proxy.EstablishedSession{Server: "s1"}, downstreamConn, upstreamConn) {
		t.Error("the session was not taken")
	}
}
