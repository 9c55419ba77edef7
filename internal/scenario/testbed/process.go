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

// tailSize is the maximum number of bytes that Tail returns.
const tailSize = 600

// Process is a program that a scenario can start repeatedly and inject faults into. The program's
// standard error is piped through the scenario into a log file, so that no output is lost while
// SetDiskFull prevents the program from writing files. Each start has a goroutine, which ends when the
// program exits.
type Process struct {
	Name   string // used in error messages
	Binary string
	Dir    string // directory of the log file
	Log    string // file name of the log
	Args   []string
	Env    []string   // in addition to the environment of the scenario's process
	Files  []*os.File // inherited by the program, from descriptor 3 on

	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{} // closed when the program has exited
	endedOnPurpose bool          // the scenario killed the program
}

// Start starts the program, which appends to the log of earlier starts.
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

// Signal sends a signal to the program. It does nothing before the first Start.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // fails if the program has exited
	}
}

// Kill kills the program, even if it is paused, and waits until it has exited.
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

// Pause suspends the program, which simulates a stalled machine: its sockets stay open, but nothing
// reads from them. Resume continues the program.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused program.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// SetDiskFull makes every write of the program to a file fail, as on a full disk, if full is true, and
// succeed again if full is false.
func (p *Process) SetDiskFull(full bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s: not started", p.Name)
	}
	// The hard limit is left unlimited, so that raising the soft limit again needs no privilege.
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		return fmt.Errorf("%s: set file size limit: %w", p.Name, err)
	}
	return nil
}

// SetMaxDescriptors limits the number of file descriptors that the program may have open; 0 restores
// the hard limit.
func (p *Process) SetMaxDescriptors(count uint64) error {
	var limit unix.Rlimit
	pid := p.Pid()
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil {
		return fmt.Errorf("%s: get file descriptor limit: %w", p.Name, err)
	}
	limit.Cur = limit.Max
	if count > 0 {
		limit.Cur = min(count, limit.Max)
	}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil)
}

// Descriptors returns how many file descriptors the program has open, or 0 if that can't be read.
func (p *Process) Descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid()))
	return len(entries)
}

// Done returns a channel that is closed when the program exits, or nil before the first Start.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Pid returns the process ID of the program, or 0 before the first Start.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// CheckExit returns an error with the end of the log if the program has exited without being killed by
// the scenario.
func (p *Process) CheckExit() error {
	p.mu.Lock()
	done, onPurpose := p.done, p.endedOnPurpose
	p.mu.Unlock()
	select {
	case <-done:
		if onPurpose {
			return nil
		}
		return fmt.Errorf("%s has ended by itself: %s", p.Name, p.Tail())
	default:
		return nil
	}
}

// Tail returns the last tailSize bytes of the log.
func (p *Process) Tail() string {
	raw, _ := os.ReadFile(filepath.Join(p.Dir, p.Log)) // a missing log counts as empty
	return string(raw[max(0, len(raw)-tailSize):])
}
