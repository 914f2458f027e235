// Package loopback starts the programs of a small fleet on loopback addresses and stops only the processes it started.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	startTimeout = 10 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Process is one started program.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Processes starts programs from the directory Bin and writes their output to the directory Logs. Start may be called
// concurrently.
type Processes struct {
	Bin, Logs string

	mu      sync.Mutex
	running []*Process
}

// Start starts a program, with its standard output and error in the log file name.log.
func (p *Processes) Start(name, program string, args ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(p.Logs, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("create log file of %s: %w", name, err)
	}
	cmd := exec.Command(filepath.Join(p.Bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	pr := &Process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(pr.done)
		_ = cmd.Wait()
		_ = log.Close()
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = append(p.running, pr)
	return pr, nil
}

// Terminate sends SIGTERM and kills the process if it is still running after the wait. It reports whether the process
// exited without being killed.
func (pr *Process) Terminate(wait time.Duration) bool {
	_ = pr.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-pr.done:
		return true
	case <-time.After(wait):
		_ = pr.cmd.Process.Kill()
		<-pr.done
		return false
	}
}

// StopAll kills all processes that are still running and waits until they have exited.
func (p *Processes) StopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.running {
		select {
		case <-pr.done:
		default:
			_ = pr.cmd.Process.Kill()
		}
	}
	for _, pr := range p.running {
		<-pr.done
	}
}

// FreeAddresses is FreeAddressesAt for 127.0.0.1.
func FreeAddresses(n int) ([]string, error) { return FreeAddressesAt("127.0.0.1", n) }

// FreeAddressesAt returns n distinct addresses with the IP address ip that were free when checked. Another process may bind one
// before the caller does. All stay bound until the last is found: the kernel may assign a port again as soon as it is free.
func FreeAddressesAt(ip string, n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer l.Close()
		addrs[i] = l.Addr().String()
	}
	return addrs, nil
}

// Await polls until ready returns nil. After 10 s, or when ctx ends, it returns the last error.
func Await(ctx context.Context, what string, ready func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := ready()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", what, err)
		case <-time.After(pollInterval):
		}
	}
}

// Build builds the program of a package of this module into a directory.
func Build(dir, pkg string) error {
	out, err := exec.Command("go", "build", "-o", dir, "github.com/boragecourse/boragecourse/"+pkg).CombinedOutput()
	if err != nil {
		return fmt.Errorf("build %s: %w: %s", pkg, err, out)
	}
	return nil
}

// RunWithBinary builds the program of a package into a temporary directory, calls run with that directory and removes
// it. It returns the exit code of run, or 1 if the build fails. Test packages call it from TestMain.
func RunWithBinary(pkg string, run func(bin string) int) int {
	dir, err := os.MkdirTemp("", "boragecourse")
	if err == nil {
		err = Build(dir, pkg)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return run(dir)
}

// CheckOK returns an error unless a GET of the URL returns status 200.
func CheckOK(url string) error {
	resp, err := http.Get(url) //nolint:gosec // Loopback addresses of the demo's own processes.
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s: status %d", url, resp.StatusCode) //nolint:err113 // Printed only; no caller matches it.
	}
	return nil
}

// CheckListening returns an error unless a connection to the address is accepted within 1 s.
func CheckListening(addr string) error {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", addr, err)
	}
	return c.Close()
}

// Running reports whether the process has not exited yet.
func (pr *Process) Running() bool {
	select {
	case <-pr.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process. Errors are ignored, for example if the process has already exited.
func (pr *Process) Signal(s syscall.Signal) { _ = pr.cmd.Process.Signal(s) }

// PID returns the process id. It may be reused once the process has exited.
func (pr *Process) PID() int { return pr.cmd.Process.Pid }
