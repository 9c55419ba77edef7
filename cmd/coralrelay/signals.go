package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	// barrierSignal is sent by the process to itself; its arrival shows that the signals that were
	// pending before it have been delivered. It has no other effect. The kernel and the runtime deliver
	// pending signals in the order of their numbers, so its number must be higher than the numbers of
	// the signals that terminate the process.
	barrierSignal = syscall.SIGWINCH
	// barrierTimeout bounds the wait for barrierSignal in an environment that discards the signals that
	// a process sends to itself without reporting an error.
	barrierTimeout = 200 * time.Millisecond
)

// termination is a context that ends when the process receives SIGTERM or SIGINT.
type termination struct {
	context.Context
	barrierPassed chan struct{}
}

// signalFlusher is a context that is ended by signals, some of which may not have been delivered yet.
type signalFlusher interface {
	// FlushPending waits until the signals sent before the call have been delivered: if one of them
	// ends the context, the context has ended when FlushPending returns.
	FlushPending()
}

// watchTermination returns a termination. The signals stay caught until the process ends, because by
// default a second one would end the process during the drain. The goroutine ends with the process.
func watchTermination() *termination {
	ctx, cancel := context.WithCancel(context.Background())
	term := &termination{Context: ctx, barrierPassed: make(chan struct{}, 1)}
	received := make(chan os.Signal, 16)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt, barrierSignal)
	go func() {
		for s := range received {
			if s != barrierSignal {
				cancel()
				continue
			}
			select {
			case term.barrierPassed <- struct{}{}:
			default:
			}
		}
	}()
	return term
}

// FlushPending implements signalFlusher. It waits for at most barrierTimeout.
func (t *termination) FlushPending() {
	if syscall.Kill(os.Getpid(), barrierSignal) != nil {
		return
	}
	timeout := time.NewTimer(barrierTimeout)
	defer timeout.Stop()
	select {
	case <-t.barrierPassed:
	case <-t.Done():
	case <-timeout.C:
	}
}
