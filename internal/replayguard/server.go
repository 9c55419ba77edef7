package replayguard

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/resumetoken"
)

const (
	// callers is how many nodes may be connected at once.
	callers = 64
	// answers is how many answers may wait for one of them; beyond it the
	// connection ends, as a commit must not wait for a slow reader.
	answers = 1024
	// idle ends a connection: a peer says something every helloEvery.
	idle = 10 * time.Second
	// writing is how long a write may block.
	writing = time.Second
)

// Server answers other nodes' ledgers.
type Server struct {
	Name    string
	Guard   *Guard
	KeyRing func() *resumetoken.KeyRing
	bad     logging.Throttled
}

// Serve answers until ctx ends; it closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	places := make(chan struct{}, callers)
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			s.bad.Warn("ledger: accept", "err", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		select {
		case places <- struct{}{}:
			wg.Go(func() {
				defer func() { <-places }()
				s.serve(ctx, conn)
			})
		default:
			_ = conn.Close()
		}
	}
}

// serve answers one connection. Answers go out in a goroutine of their own, since
// they come when a group is durable.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	out := make(chan string, answers)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	defer cancel()
	wg.Go(func() { write(ctx, conn, out) })
	say := func(line string) {
		select {
		case out <- line:
		default:
			cancel()
		}
	}
	r := bufio.NewReaderSize(conn, longest)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idle))
		words, err := readWords(r, 0)
		if err == nil {
			err = s.answer(words, say)
		}
		if err != nil {
			if ctx.Err() == nil && errors.Is(err, errLine) {
				s.bad.Warn("ledger: refused", "from", conn.RemoteAddr().String(), "err", err)
				_ = conn.SetWriteDeadline(time.Now().Add(writing))
				_, _ = conn.Write([]byte(no + "\r\n"))
			}
			return
		}
	}
}

// write sends what comes, several lines at once where they wait.
func write(ctx context.Context, conn net.Conn, out <-chan string) {
	w := bufio.NewWriter(conn)
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-out:
			_ = conn.SetWriteDeadline(time.Now().Add(writing))
			_, err := w.WriteString(line)
			for n := len(out); n > 0 && err == nil; n-- {
				_, err = w.WriteString(<-out)
			}
			if err == nil {
				err = w.Flush()
			}
			if err != nil {
				_ = conn.Close()
				return
			}
		}
	}
}

func (s *Server) answer(words []string, say func(string)) error {
	switch {
	case words[0] == hello && len(words) == 5:
	case words[0] == spend && len(words) == 7:
	default:
		return fmt.Errorf("%w: %.60q", errLine, words)
	}
	challenge, seq := words[1], words[2]
	id, err := strconv.ParseUint(words[3], 16, 32)
	k, known := s.KeyRing().Get(resumetoken.KeyID(id))
	if err != nil || !known || !unseal(k, "ask", words) {
		return fmt.Errorf("%w: its seal does not fit, key %.10q", errLine, words[3])
	}
	context := "answer " + challenge
	if words[0] == hello {
		room, stays := "full", "goes"
		if s.Guard.IsReady() {
			room = "ready"
		}
		if s.Guard.IsDurable {
			stays = "stays"
		}
		say(sealed(k, context, aboutMe, seq, s.Name, hex.EncodeToString(s.Guard.ID[:]), room, stays))
		return nil
	}
	var c resumetoken.RedemptionID
	if n, err := hex.Decode(c[:], []byte(words[4])); err != nil || n != len(c) {
		return fmt.Errorf("%w: claimant %.40q", errLine, words[4])
	}
	tell := func(v resumetoken.Verdict) { say(sealed(k, context, verdict, seq, v.String())) }
	t, err := resumetoken.Open(s.KeyRing(), words[5])
	if err != nil {
		tell(resumetoken.Invalid)
		return nil
	}
	s.Guard.Spend(&t, c, tell)
	return nil
}
