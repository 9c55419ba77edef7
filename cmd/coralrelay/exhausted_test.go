package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// limitDescriptors leaves a process no descriptor beyond those that it holds, until the function that is returned is
// called.
func (p *process) limitDescriptors() (restore func()) {
	p.t.Helper()
	lowestFree := uint64(0)
	for p.holdsDescriptor(lowestFree) {
		lowestFree++
	}
	return p.limitDescriptorsTo(lowestFree)
}

// limitDescriptorsTo leaves a process no new descriptor from a number on, until the function that is returned is called.
func (p *process) limitDescriptorsTo(number uint64) (restore func()) {
	p.t.Helper()
	var before unix.Rlimit
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		p.t.Fatal(err)
	}
	limited := before
	limited.Cur = number
	p.setDescriptorLimit(limited)
	return func() { p.setDescriptorLimit(before) }
}

func (p *process) setDescriptorLimit(limit unix.Rlimit) {
	p.t.Helper()
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) holdsDescriptor(number uint64) bool {
	_, err := os.Lstat(fmt.Sprintf("/proc/%d/fd/%d", p.Process.Pid, number))
	return err == nil
}

// A process that is left no descriptor beyond those that it holds answers its clients all the same, before they give up:
// one that can close an idle probe connection, and one that has nothing to give up. Once it has descriptors again it
// serves.
func TestAnswersWithoutDescriptors(t *testing.T) {
	for _, hasProbed := range []bool{true, false} {
		p, addr, _, _ := startServingNode(t, 1024)
		if hasProbed {
			openSession(t, addr, "first")
		}
		restore := p.limitDescriptors()
		expectAnsweredInTime(t, addr)
		restore()
		expectServed(t, addr)
		p.signal(syscall.SIGTERM)
		p.expectExit()
	}
}

// expectAnsweredInTime has some clients come at the same moment, each of which must have its answer before it gives up.
func expectAnsweredInTime(t *testing.T, addr string) {
	t.Helper()
	const clients, patience = 8, 1200 * time.Millisecond // that of openLine
	var opened []*client
	begun := time.Now()
	for i := range clients {
		c := dialClient(t, addr, openLine(fmt.Sprint("u", i)))
		_ = c.SetDeadline(begun.Add(patience))
		opened = append(opened, c)
	}
	for i, c := range opened {
		answer, err := c.reader.ReadString('\n')
		if !strings.HasPrefix(answer, "UP ") && !strings.HasPrefix(answer, "BUSY ") {
			t.Errorf("client %d has read %q, %v after %v", i, answer, err, time.Since(begun))
		}
	}
}
