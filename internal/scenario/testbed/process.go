package testbed

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tailSize is how much of a log Tail returns, in bytes.
const tailSize = 600

// Process is a program that a scenario starts, as often as it likes, and injects faults into. Its
// standard error goes to a log file by way of a pipe, so that nothing of it is lost while the
// program may write no files. Each start has a goroutine, which ends with the program.
type Process struct {
	Name   string // in errors
	Binary string
	Dir    string // of Log
	Log    string // the log's file name
	Args   []string
	Env    []string   // beside this process's own
	Files  []*os.File // that it inherits, from descriptor 3 on

	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{} // closed when it has ended
	endedOnPurpose bool          // it was killed by the scenario
}

// Start starts the program; its log is appended to.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.Dir, p.Log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stderr = struct{ io.Writer }{log}
	cmd.ExtraFiles = p.Files
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done, p.endedOnPurpose = cmd, done, false
	return nil
}

// Signal sends a signal, if the program was started.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // an error once it has ended
	}
}

// Kill ends the program outright, paused or not, and waits until it has ended.
func (p *Process) Kill() {
	p.mu.Lock()
	p.endedOnPurpose = true
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

// Pause stops the program where it is, like a machine that has stalled: its sockets stay open, and
// nothing reads them. Resume lets it go on.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume lets a paused program go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// SetDiskFull has every write of the program to a file fail from now on, as on a full disk, or
// succeed again.
func (p *Process) SetDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s: not started", p.Name)
	}
	// The hard limit stays, so that no privilege is needed to lift the soft one again.
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: limit on files: %w", p.Name, err)
	}
	return nil
}

// SetMaxDescriptors changes how many descriptors the program may hold from now on; 0 lifts the limit.
func (p *Process) SetMaxDescriptors(count uint64) error {
	var limit unix.Rlimit
	pid := p.Pid()
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return fmt.Errorf("%s: limit on descriptors: %w", p.Name, err)
	}
	limit.Cur = limit.Max
	if count > 0 {
		limit.Cur = min(count, limit.Max)
	}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// Descriptors returns how many descriptors the program holds, 0 if that can't be read.
func (p *Process) Descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	return len(entries)
}

// Done returns a channel that is closed when the program ends; nil before it was started.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Pid returns the process number, 0 before the program was started.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// CheckExit returns an error, with the end of the log, if the program has ended by itself.
func (p *Process) CheckExit() error {
	p.mu.Lock()
	done, meant := p.done, p.endedOnPurpose
	p.mu.Unlock()
	select {
	case <-done:
		if meant {
			return nil
		}
		return fmt.Errorf("%s has ended by itself: %s", p.Name, p.Tail())
	default:
		return nil
	}
}

// Tail returns the end of the log.
func (p *Process) Tail() string {
	raw, _ := os.ReadFile(filepath.Join(p.Dir, p.Log)) // without one there is nothing to tell
	return string(raw[max(0, len(raw)-tailSize):])
}
