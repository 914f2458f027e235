// Package soak_test runs the daemon as separate processes against stand-ins of the users' platform, injects random
// faults from outside, and checks what callers and backend servers see. Each seed plays the same faults at the same
// times; what the processes do in between is not repeated exactly.
package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	// The daemon is built by the tests; importing it makes cached results depend on its sources.
	_ "github.com/boragecourse/boragecourse/internal/front"
	"github.com/boragecourse/boragecourse/test/loopback"
	"github.com/boragecourse/boragecourse/test/standin/users"
)

var (
	seeds    = flag.Int("soak.seeds", 0, "number of fresh seeds to play; 0 plays the fixed ones")
	first    = flag.Uint64("soak.first", uint64(time.Now().Unix()), "first of the fresh seeds")
	parallel = flag.Int("soak.parallel", 3, "seeds to play at a time")
	logDir   = flag.String("soak.logs", "", "folder that keeps the logs of failed seeds")
)

// regressions are seeds that failed once, with the cause.
var regressions = []uint64{}

// fixed are played in CI beside the regressions.
var fixed = []uint64{1, 2}

const (
	// calm is the time before the first fault, storm the time in which faults start, and heal the time after the last
	// fault in which the fleet must serve all kinds again.
	calm  = 1500 * time.Millisecond
	storm = 7 * time.Second
	heal  = 12 * time.Second
	// configApply and drainNotice are those of the settings.
	configApply = 2 * time.Second
	drainNotice = 2 * time.Second
	// contact is how long a host must have been without faults for the bounds to hold.
	contact = 3 * time.Second
	// schedulingSlack allows for a machine that runs several seeds at a time.
	schedulingSlack = time.Second
)

var bin string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(loopback.BuildFor("cmd/boragecoursed", func(dir string) int {
		bin = dir
		return m.Run()
	}))
}

// Guards against every promise of the front being broken by faults that come in series and overlap.
func TestSoak(t *testing.T) {
	play := append(append([]uint64(nil), regressions...), fixed...)
	if *seeds > 0 {
		play = nil
		for i := range *seeds {
			play = append(play, *first+uint64(i))
		}
	}
	slots := make(chan int, *parallel)
	for i := range *parallel {
		slots <- i
	}
	var group sync.WaitGroup
	defer group.Wait()
	for _, seed := range play {
		slot := <-slots
		group.Go(func() {
			defer func() { slots <- slot }()
			t.Run(seedName(seed), func(t *testing.T) { playSeed(t, seed, slot) })
		})
	}
	group.Wait()
}

// game is one seed.
type game struct {
	t   *testing.T
	f   *fleet
	rng *rand.Rand

	mu        sync.Mutex
	story     []string
	withdrawn time.Time
	drained   map[*users.Worker]time.Time
}

func playSeed(t *testing.T, seed uint64, slot int) {
	dir := t.TempDir()
	f, err := newFleet(bin, dir, os.Getpid()%4000*4+slot)
	defer f.close()
	if err != nil {
		t.Fatal(err)
	}
	g := &game{t: t, f: f, rng: rand.New(rand.NewPCG(seed, 1)), drained: map[*users.Worker]time.Time{}}
	g.awaitAll(20 * time.Second)
	c := newCallers(f, seed)
	loaded := make(chan struct{})
	go func() { defer close(loaded); c.run(calm + storm + 2*time.Second) }()
	time.Sleep(calm)
	g.storm()
	<-loaded
	g.healAll()
	g.awaitAll(heal)
	g.checkAfter(c)
	if t.Failed() {
		g.keepLogs(seed)
	}
}

func (g *game) tell(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.story = append(g.story, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// keepLogs prints the faults and keeps the processes' logs.
func (g *game) keepLogs(seed uint64) {
	g.t.Logf("faults:\n%s", strings.Join(g.story, "\n"))
	if *logDir == "" {
		return
	}
	target := filepath.Join(*logDir, seedName(seed))
	if err := os.CopyFS(target, os.DirFS(g.f.dir)); err != nil {
		g.t.Logf("logs not kept: %v", err)
	}
}

// storm injects faults at random times; each ends within the storm or a little after.
func (g *game) storm() {
	end := time.Now().Add(storm)
	var group sync.WaitGroup
	for time.Now().Before(end) {
		length := time.Duration(200+g.rng.IntN(2800)) * time.Millisecond
		h := g.f.hosts[g.rng.IntN(hostCount)]
		b := g.f.backends[g.rng.IntN(len(g.f.backends))]
		choice, detail := g.rng.IntN(12), g.rng.IntN(100)
		group.Go(func() { g.fault(choice, detail, h, b, length) })
		time.Sleep(time.Duration(100+g.rng.IntN(1400)) * time.Millisecond)
	}
	group.Wait()
}

func (g *game) fault(choice, detail int, h *host, b *backend, length time.Duration) {
	until := time.Now().Add(length)
	switch choice {
	case 0:
		g.replace(h, syscall.SIGKILL, length)
	case 1:
		g.replace(h, syscall.SIGTERM, length)
	case 2:
		g.tell("%s suspended for %v", h.spec.Name, length)
		h.disturb(until)
		h.process.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		h.process.Signal(syscall.SIGCONT)
	case 3:
		g.tell("%s gets SIGHUP", h.spec.Name)
		h.process.Signal(syscall.SIGHUP)
	case 4:
		fault := []users.Fault{users.Refusing, users.Silent, users.LosingAnswers}[detail%3]
		g.tell("store fault %d to %s for %v", fault, h.spec.Name, length)
		h.disturb(until)
		h.door.SetFault(fault)
		time.Sleep(length)
		h.door.SetFault(users.Healthy)
	case 5:
		g.proxyFault("store of "+h.spec.Name, h.store, proxyFault(1+detail%int(proxyFaults-1)), length, h)
	case 6:
		g.proxyFault("callers of "+h.spec.Name, h.front, proxyFault(1+detail%int(proxyFaults-1)), length, h)
	case 7:
		g.proxyFault(b.options.ID, b.proxy, proxyFault(1+detail%int(proxyFaults-1)), length)
	case 8:
		g.tell("%s crashes for %v", b.options.ID, length)
		g.f.crash(b)
		time.Sleep(length)
		g.bear(b)
	case 9:
		g.drain(b, length)
	case 10:
		g.mu.Lock()
		if g.withdrawn.IsZero() {
			g.withdrawn = time.Now()
		}
		g.mu.Unlock()
		g.tell("key withdrawn")
		g.f.withdraw()
	case 11:
		g.tell("store forgets its history, new configuration")
		g.f.store.Compact()
		g.f.configure()
	}
}

// replace ends a host's process and starts another one a while later.
func (g *game) replace(h *host, s syscall.Signal, after time.Duration) {
	h.mu.Lock()
	if h.expected {
		h.mu.Unlock()
		return
	}
	h.expected = true
	h.mu.Unlock()
	g.tell("%s gets %v, started again after %v", h.spec.Name, s, after)
	h.disturb(time.Now().Add(after + 10*time.Second))
	h.process.Signal(syscall.SIGCONT)
	h.process.Signal(s)
	for begun := time.Now(); h.process.Running(); {
		if time.Since(begun) > 9*time.Second {
			g.t.Errorf("%s did not end within its grace time", h.spec.Name)
			h.process.Signal(syscall.SIGKILL)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(after)
	if err := g.f.start(h); err != nil {
		g.t.Error(err)
	}
	h.mu.Lock()
	h.expected = false
	h.lastFault = time.Now()
	h.mu.Unlock()
}

func (g *game) proxyFault(what string, p *proxy, fault proxyFault, length time.Duration, hosts ...*host) {
	g.tell("connections to %s: fault %d for %v", what, fault, length)
	for _, h := range hosts {
		h.disturb(time.Now().Add(length))
	}
	p.set(fault)
	time.Sleep(length)
	if fault == silent || fault == oneWay {
		// What was dropped does not come back.
		p.set(resetting)
	}
	p.set(passing)
}

func (g *game) bear(b *backend) {
	if err := g.f.bear(b); err != nil {
		g.t.Error(err)
	}
	g.tell("%s is back as %s", b.options.ID, b.present.ID)
}

// drain announces the departure of a backend server, which goes on serving for the notice and then ends.
func (g *game) drain(b *backend, after time.Duration) {
	b.mu.Lock()
	w := b.present
	b.mu.Unlock()
	g.tell("%s drains", w.ID)
	w.Register(g.f.store, "draining")
	g.mu.Lock()
	if g.drained[w].IsZero() {
		g.drained[w] = time.Now()
	}
	g.mu.Unlock()
	time.Sleep(drainNotice + after)
	g.f.crash(b)
	g.bear(b)
}

// healAll ends what may still be under way.
func (g *game) healAll() {
	for _, h := range g.f.hosts {
		h.door.SetFault(users.Healthy)
		h.store.set(passing)
		h.front.set(passing)
	}
	for _, b := range g.f.backends {
		b.proxy.set(passing)
	}
}

// awaitAll waits until every host serves every kind.
func (g *game) awaitAll(within time.Duration) {
	c := newCallers(g.f, 0xffff)
	end := time.Now().Add(within)
	for i := range g.f.hosts {
		for _, k := range kinds {
			if k.name == "spare" || k.name == "limited" {
				continue
			}
			var o outcome
			for n := 0; ; n++ {
				o = c.call(fmt.Sprintf("wait-%d-%s-%d-%d", i, k.name, n, time.Now().UnixNano()), k, i, 1, 0)
				if o.err == nil && o.status == http.StatusOK && !o.broken {
					break
				}
				if time.Now().After(end) {
					g.t.Errorf("%s does not serve %s after %v: status %d, %v", g.f.hosts[i].spec.Name, k.name, within, o.status, o.err)
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}
