package allotment_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/allotment"
	"github.com/boragecourse/boragecourse/internal/fleet"
)

var limits = fleet.QuotaLimits{Window: 8 * time.Second, Ratio: 0.1, Slack: 120_000}

const (
	rate, burst = 60_000.0, 60_000.0
	cost        = 5_000
)

// hostBooks are the accounts of several hosts, and what they admitted when.
type hostBooks struct {
	// interval is the time between two reports.
	interval time.Duration
	// change is called in each step; it may add or replace hosts.
	change   func(at time.Duration)
	names    map[int]string
	books    []*allotment.Book
	admitted []time.Time
	start    time.Time
}

func newHostBooks() *hostBooks { return newBooks(4, 200*time.Millisecond) }

func newBooks(hosts int, interval time.Duration) *hostBooks {
	h := &hostBooks{start: time.Unix(100, 0), interval: interval}
	for range hosts {
		h.books = append(h.books, newBook(h.start))
	}
	return h
}

func newBook(now time.Time) *allotment.Book {
	b := allotment.New(limits)
	b.Configure([]*fleet.Workspace{{Name: "w", Rate: rate, Burst: burst}}, now)
	return b
}

// play sends requests at a multiple of the rate for some seconds. linked tells whether two hosts hear each other.
func (h *hostBooks) play(multiple float64, seconds int, linked func(a, b int, at time.Duration) bool) (refused int) {
	heard := map[[2]int]time.Duration{}
	gap := time.Duration(float64(cost) / (rate * multiple) * float64(time.Second))
	next := time.Duration(0)
	turn := 0
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += 10 * time.Millisecond {
		now := h.start.Add(at)
		if h.change != nil {
			h.change(at)
		}
		for ; next <= at; next += gap {
			turn++
			if ok, _ := h.books[turn%len(h.books)].Admit("w", cost, now); ok {
				h.admitted = append(h.admitted, now)
			} else {
				refused++
			}
		}
		if at%h.interval == 0 {
			h.report(at, now, heard, linked)
		}
	}
	return refused
}

func (h *hostBooks) report(at time.Duration, now time.Time, heard map[[2]int]time.Duration, linked func(a, b int, at time.Duration) bool) {
	for a := range h.books {
		for b := range h.books {
			switch {
			case a == b:
			case linked(a, b, at):
				h.books[b].Heard(h.name(a), h.books[a].Admitted(), now)
				heard[[2]int{a, b}] = at
			case at-heard[[2]int{a, b}] > time.Second:
				h.books[b].Silent(h.name(a), now)
			}
		}
	}
}

// name is that of a host's present process.
func (h *hostBooks) name(i int) string { return strconv.Itoa(i) + h.names[i] }

// worstWindow is the largest number of tokens admitted in any window.
func (h *hostBooks) worstWindow() float64 {
	worst, first := 0, 0
	for last, t := range h.admitted {
		for t.Sub(h.admitted[first]) > limits.Window {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return float64(worst * cost)
}

func allowed() float64 {
	return (rate*limits.Window.Seconds()+burst)*(1+limits.Ratio) + float64(limits.Slack)
}

func always(int, int, time.Duration) bool { return true }

// Guards against hosts that together admit more than a workspace pays for when it sends six times its rate.
func TestAWorkspaceAboveItsRateIsHeldToIt(t *testing.T) {
	g := NewWithT(t)
	h := newHostBooks()
	h.play(6, 20, always)
	g.Expect(h.worstWindow()).To(BeNumerically("<=", allowed()))
	g.Expect(h.worstWindow()).To(BeNumerically(">=", rate*limits.Window.Seconds()))
}

// Guards against a large fleet that admits too much because its hosts hear of each other late.
func TestLateReportsOfManyHosts(t *testing.T) {
	for _, c := range []struct {
		hosts    int
		interval time.Duration
	}{{33, 300 * time.Millisecond}, {33, 600 * time.Millisecond}, {100, 600 * time.Millisecond}} {
		g := NewWithT(t)
		h := newBooks(c.hosts, c.interval)
		h.play(6, 20, always)
		t.Logf("%d hosts, reports every %v: %.0f of %.0f", c.hosts, c.interval, h.worstWindow(), allowed())
		g.Expect(h.worstWindow()).To(BeNumerically("<=", allowed()))
		g.Expect(newBooks(c.hosts, c.interval).play(0.95, 20, always)).To(BeZero())
	}
}

// Guards against refusals of a workspace that keeps to its rate.
func TestAWorkspaceWithinItsRateIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newHostBooks().play(0.95, 20, always)).To(BeZero())
}

// Guards against hosts that each admit a whole rate while they do not hear each other: all apart, one apart, one way,
// and apart for a while.
func TestPartitionedHostsKeepToTheRateTogether(t *testing.T) {
	for name, linked := range map[string]func(a, b int, at time.Duration) bool{
		"all apart":      func(_, _ int, at time.Duration) bool { return at < 3*time.Second },
		"one apart":      func(a, b int, at time.Duration) bool { return at < 3*time.Second || a != 0 && b != 0 },
		"one way":        func(a, _ int, at time.Duration) bool { return at < 3*time.Second || a != 0 },
		"apart and back": func(a, b int, at time.Duration) bool { return at < 3*time.Second || at > 7*time.Second || a%2 == b%2 },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHostBooks()
			h.play(6, 20, linked)
			g.Expect(h.worstWindow()).To(BeNumerically("<=", allowed()))
		})
	}
}

// Guards against a lowered rate that does not bind, and a raised one that leaves the account empty.
func TestConfigureChangesRates(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	b := allotment.New(limits)
	b.Configure([]*fleet.Workspace{{Name: "w", Rate: rate, Burst: burst}}, now)
	b.Configure([]*fleet.Workspace{{Name: "w", Rate: 1000, Burst: 1000}}, now)
	admitted := 0
	for ; admitted < 1000; admitted++ {
		if ok, _ := b.Admit("w", 1000, now); !ok {
			break
		}
	}
	g.Expect(admitted).To(BeNumerically("<", 50))
	b.Configure([]*fleet.Workspace{{Name: "w", Rate: rate, Burst: burst}}, now)
	ok, _ := b.Admit("w", 5000, now)
	g.Expect(ok).To(BeTrue())
	b.Configure(nil, now)
	ok, _ = b.Admit("w", 1e9, now)
	g.Expect(ok).To(BeTrue())
}

// Guards against a refund that gives more than the account can hold.
func TestRefundStaysWithinTheAccount(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	b := allotment.New(limits)
	b.Configure([]*fleet.Workspace{{Name: "w", Rate: rate, Burst: burst}}, now)
	before := b.Level("w", now.Add(time.Hour))
	b.Refund("w", 1e6)
	g.Expect(b.Level("w", now.Add(time.Hour))).To(Equal(before))
}

// Guards against processes that start with tokens that others have spent already: all are replaced at once, or many
// join a fleet in which a workspace is at its limit.
func TestNewProcessesDoNotBringTokens(t *testing.T) {
	for name, change := range map[string]func(h *hostBooks, now time.Time){
		"all replaced": func(h *hostBooks, now time.Time) {
			for i := range h.books {
				h.books[i] = newBook(now)
				h.names[i] = "again"
			}
		},
		"many join": func(h *hostBooks, now time.Time) {
			for range 26 {
				h.books = append(h.books, newBook(now))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newBooks(6, 300*time.Millisecond)
			h.names = map[int]string{}
			h.change = func(at time.Duration) {
				if at == 6*time.Second {
					change(h, h.start.Add(at))
				}
			}
			h.play(6, 20, always)
			t.Logf("%.0f of %.0f", h.worstWindow(), allowed())
			g.Expect(h.worstWindow()).To(BeNumerically("<=", allowed()))
		})
	}
}

// Guards against a large fleet that brings tokens with each wave of restarts: more than half of the hosts are killed
// twice within a window, while a workspace sends eight times its rate.
func TestWavesOfRestartsInALargeFleet(t *testing.T) {
	g := NewWithT(t)
	h := newBooks(32, 300*time.Millisecond)
	h.names = map[int]string{}
	wave := 0
	h.change = func(at time.Duration) {
		if at != 6*time.Second && at != 10*time.Second {
			return
		}
		wave++
		for i := range 18 {
			n := (i + 7*wave) % len(h.books)
			h.books[n] = newBook(h.start.Add(at))
			h.names[n] = strconv.Itoa(wave)
		}
	}
	h.play(8, 20, always)
	t.Logf("%.0f of %.0f", h.worstWindow(), allowed())
	g.Expect(h.worstWindow()).To(BeNumerically("<=", allowed()))
}
