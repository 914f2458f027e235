package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bodyLimit is maxBodyBytes of the users' example.
	bodyLimit = 4194304
	// usual is the number of callers that send at the same moment on an ordinary day, crowd that of a burst: 2.25 times as many.
	usual, crowd = 16, 36
	// endsAllowed is the number of ends by itself on one machine above which the day counts 0, endedMachines that of machines.
	endsAllowed, endedMachines = 2, 2
	restartDelay               = 500 * time.Millisecond
	// A caller sends its body within uploadTime, so that a crowd takes 0.72 Gbit/s and waits for no link.
	uploadTime, uploadPart = 1680 * time.Millisecond, 32 << 10
	// A burst has wavesOfBurst waves of a crowd and lasts 4 s; a wave of the usual callers follows each.
	bursts, wavesOfBurst = 5, 2
	wavePause            = 300 * time.Millisecond
)

// largeBodies has many callers send requests at once whose bodies are as large as the configuration allows. The platform kills
// a process that exceeds its memory, and starts it again.
func largeBodies(f *fleet, trouble bool) error {
	err := f.configure(func(c map[string]any) {
		c["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	})
	if err != nil {
		return err
	}
	if err := f.addHosts(2); err != nil {
		return err
	}
	for i := range 4 {
		if _, err := f.addWorker("app-"+strconv.Itoa(i+1), zoneOf(f.hosts[i%2]), 0); err != nil {
			return err
		}
	}
	p := newPlatform(f)
	defer p.close()
	f.sleep(time.Second)
	callers := usual
	if trouble {
		callers = crowd
	}
	for range bursts {
		for range wavesOfBurst {
			f.wave(callers)
			f.sleep(wavePause)
		}
		f.wave(usual)
		f.sleep(wavePause)
	}
	return p.judge()
}

// upload is a body that is sent at a steady rate.
type upload struct {
	begun time.Time
	sent  int
}

// Read implements io.Reader.
func (u *upload) Read(b []byte) (int, error) {
	if u.sent == bodyLimit {
		return 0, io.EOF
	}
	if u.begun.IsZero() {
		u.begun = time.Now()
	}
	time.Sleep(time.Until(u.begun.Add(uploadTime * time.Duration(u.sent) / bodyLimit)))
	n := min(len(b), uploadPart, bodyLimit-u.sent)
	for i := range b[:n] {
		b[i] = 'x'
	}
	u.sent += n
	return n, nil
}

// wave has callers send one request each to each host at the same time, and waits for the answers.
func (f *fleet) wave(callers int) {
	f.line("%d callers send to each host", callers)
	var group sync.WaitGroup
	for _, h := range f.hosts {
		for range callers {
			group.Go(func() {
				a := f.send(h, "POST", "/reserve/1", &upload{}, bodyLimit)
				f.line("%s to %s: POST /reserve/1, %d bytes: status %d %v", a.id, h.name, bodyLimit, a.status, a.err)
			})
		}
	}
	group.Wait()
}

// platform watches the memory of the daemons.
type platform struct {
	f    *fleet
	done chan struct{}
	wait sync.WaitGroup

	mu   sync.Mutex
	ends map[string]int
	most map[string]int64
}

func newPlatform(f *fleet) *platform {
	p := &platform{f: f, done: make(chan struct{}), ends: map[string]int{}, most: map[string]int64{}}
	for _, h := range f.hosts {
		p.wait.Go(func() { p.watch(h) })
	}
	return p
}

func (p *platform) close() {
	close(p.done)
	p.wait.Wait()
}

func (p *platform) watch(h *host) {
	limit := int64(p.f.memoryMB) << 20
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-tick.C:
		}
		used := ownMemory(h.process.PID())
		p.mu.Lock()
		p.most[h.name] = max(p.most[h.name], used)
		p.mu.Unlock()
		if used <= limit {
			continue
		}
		p.f.line("%s uses %d MB of %d MB and is killed", h.name, used>>20, limit>>20)
		h.process.Terminate(0)
		p.mu.Lock()
		p.ends[h.name]++
		p.mu.Unlock()
		p.f.sleep(restartDelay)
		if err := p.f.start(h, false); err != nil {
			p.f.line("%s does not start: %v", h.name, err)
			return
		}
	}
}

// ownMemory returns the memory of a process without the pages of its program file, in bytes.
func ownMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

func (p *platform) judge() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := 0
	for _, h := range p.f.hosts {
		p.f.line("%s: %d ends for memory over the limit, %d MB at its peak", h.name, p.ends[h.name], p.most[h.name]>>20)
		if p.ends[h.name] > endsAllowed {
			machines++
		}
	}
	if machines >= endedMachines {
		return errBroken
	}
	return nil
}
