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

// limitDescriptors keeps the process from opening any descriptor beyond those that it holds, until restore
// is called.
func (p *process) limitDescriptors() (restore func()) {
	p.t.Helper()
	lowestFree := uint64(0)
	for p.holdsDescriptor(lowestFree) {
		lowestFree++
	}
	return p.limitDescriptorsTo(lowestFree)
}

// limitDescriptorsTo keeps the process from opening a descriptor with the given number or a higher one, until
// restore is called.
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

// A process that can open no further descriptor still answers its clients before their deadline, whether
// it has an idle probe connection to close or not. It serves as soon as it can open descriptors again.
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

// expectAnsweredInTime connects several clients at the same time and requires that each is answered
// before its deadline.
func expectAnsweredInTime(t *testing.T, addr string) {
	t.Helper()
	const clients, deadline = 8, 1200 * time.Millisecond // the deadline in openLine
	var opened []*client
	start := time.Now()
	for i := range clients {
		c := dialClient(t, addr, openLine(fmt.Sprint("u", i)))
		_ = c.SetDeadline(start.Add(deadline))
		opened = append(opened, c)
	}
	for i, c := range opened {
		answer, err := c.reader.ReadString('\n')
		if !strings.HasPrefix(answer, "UP ") && !strings.HasPrefix(answer, "BUSY ") {
			t.Errorf("client %d: read %q, %v after %v", i, answer, err, time.Since(start))
		}
	}
}
