// Package rig has what the cases of the second review share: the frame of a case with its record and
// exit code, a discovery service, feed servers, and nodes that run as separate processes. The stand-ins
// do what the protocol page describes. All addresses are loopback addresses.
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is how long a case may run before it counts as one that could not run.
const maxDuration = 115 * time.Second

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption is to be made
	Dir     string // a temporary directory

	record  *os.File
	startAt time.Time

	mu       sync.Mutex
	broken   int
	cleanups []func()
}

// Main runs a case and exits. An error of run means that the case could not run.
func Main(run func(c *Case) error) {
	c, err := newCase()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	ended := make(chan error, 1)
	go func() { ended <- run(c) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	select {
	case err = <-ended:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(maxDuration):
		err = fmt.Errorf("not ended after %v", maxDuration)
	}
	c.cleanUp()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.finish(exitNotRun, fmt.Sprintf("could not run: %v", err))
	case c.broken > 0:
		c.finish(exitBroken, fmt.Sprintf("rule broken %d times", c.broken))
	default:
		c.finish(exitHeld, "rule held")
	}
}

// newCase reads the environment: CASE_DIR is the folder for record.txt, and TROUBLE=0 leaves the
// disruption out.
func newCase() (*Case, error) {
	caseDir := os.Getenv("CASE_DIR")
	if caseDir == "" {
		return nil, fmt.Errorf("CASE_DIR is not set: start the case with run.sh")
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "coralrelay-review")
	if err != nil {
		return nil, err
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, record: record, startAt: time.Now()}
	c.Record("trouble: %v", c.Trouble)
	return c, nil
}

// Cleanup registers a function that is called when the case has ended. The last one is called first.
func (c *Case) Cleanup(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanups = append(c.cleanups, f)
}

func (c *Case) cleanUp() {
	c.mu.Lock()
	cleanups := c.cleanups
	c.cleanups = nil
	c.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	_ = os.RemoveAll(c.Dir)
}

// finish writes the last line of the record and exits. The caller holds the lock.
func (c *Case) finish(code int, text string) {
	c.write("%s", text)
	fmt.Println(text)
	_ = c.record.Close()
	os.Exit(code)
}

// Record writes a line with the time since the start to record.txt.
func (c *Case) Record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write(format, args...)
}

// write writes a line to the record. The caller holds the lock.
func (c *Case) write(format string, args ...any) {
	_, _ = fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// Broken records a break of the rule.
func (c *Case) Broken(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken++
	c.write("BROKEN: %s", fmt.Sprintf(format, args...))
}
