package standin

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun is how long a case may run.
const longestRun = 115 * time.Second

// Case is one run of a case: its record, and what has to be ended after it.
type Case struct {
	Trouble bool // false with TROUBLE=0: the same without the disruption
	Site    Site
	Dir     string

	start    time.Time
	mu       sync.Mutex
	file     *os.File
	cleanups []func()
	breaks   int
}

// Main plays a case on a site, ends all that it started and exits with the code of its result. The flag -record
// names the file that the record is written to.
func Main(site Site, play func(c *Case) error) {
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	os.Exit(runCase(*path, site, play))
}

func runCase(path string, site Site, play func(c *Case) error) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &Case{Site: site, Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, start: time.Now(), file: file}
	defer c.cleanUp()
	c.Log("start", "disruption %v, files in a temporary folder", c.Trouble)
	ended := make(chan error, 1)
	go func() { ended <- play(c) }()
	select {
	case err = <-ended:
	case <-time.After(longestRun):
		err = fmt.Errorf("the case took longer than %v", longestRun)
	}
	return c.result(err)
}

// result records and returns the exit code.
func (c *Case) result(err error) int {
	c.mu.Lock()
	breaks := c.breaks
	c.mu.Unlock()
	switch {
	case err != nil:
		c.Log("result", "the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	case breaks > 0:
		c.Log("result", "the rule was broken, %d times", breaks)
		fmt.Printf("broken, %d times\n", breaks)
		return exitBroken
	}
	c.Log("result", "the rule held")
	fmt.Println("held")
	return exitHeld
}

// Log writes a line of the record, which begins with the seconds since the start.
func (c *Case) Log(kind, format string, args ...any) { c.LogAt(time.Now(), kind, format, args...) }

// LogAt is like Log, for something that happened at another time.
func (c *Case) LogAt(at time.Time, kind, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.file, "%8.3f %-10s %s\n", at.Sub(c.start).Seconds(), kind, fmt.Sprintf(format, args...))
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.Log("BROKEN", format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaks++
}

// Defer registers a function that is called after the case, the last one first.
func (c *Case) Defer(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanups = append(c.cleanups, f)
}

func (c *Case) cleanUp() {
	for {
		c.mu.Lock()
		if len(c.cleanups) == 0 {
			c.mu.Unlock()
			return
		}
		last := c.cleanups[len(c.cleanups)-1]
		c.cleanups = c.cleanups[:len(c.cleanups)-1]
		c.mu.Unlock()
		last()
	}
}
