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

// Proc is a program that a scene starts, as often as it likes, and does harm to. Its log is
// a file in Dir; it reaches it through a pipe, so that a disk that is full for the program
// takes none of it.
type Process struct {
	Name, Binary, Dir, Log string
	Args, Env              []string // Env beside this process's own

	mu    sync.Mutex
	cmd   *exec.Cmd
	done  chan struct{}
	meant bool // it was ended by the scene
}

// Start starts it.
func (p *Process) Start() error {
	log, err := os.OpenFile(filepath.Join(p.Dir, p.Log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Env = append(os.Environ(), p.Env...)
	cmd.Stderr = struct{ io.Writer }{log}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = log.Close(); close(done) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done, p.meant = cmd, done, false
	return nil
}

// Signal sends a signal, if it runs.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig) // an error once it has ended
	}
}

// Kill ends it outright, stopped or not, and waits until it is gone.
func (p *Process) Kill() {
	p.mu.Lock()
	p.meant = true
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-done
	}
}

// Stop holds it where it is, as a machine that has stalled: its sockets stay, and nothing
// reads them. Cont lets it go on.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Cont lets it go on.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Disk has every write of it to a file fail from now on, as on a full disk, or succeed again.
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

// Done is closed when it ends; nil before it was started.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Pid is its process's number, 0 before it was started.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Sound is an error, with the end of its log, where it has ended by itself.
func (p *Process) CheckExit() error {
	p.mu.Lock()
	done, meant := p.done, p.meant
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

// Tail is the end of its log.
func (p *Process) Tail() string {
	raw, _ := os.ReadFile(filepath.Join(p.Dir, p.Log)) // without one there is nothing to tell
	return string(raw[max(0, len(raw)-600):])
}
