package claim

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
)

// result is the outcome of one attempt. A run is recorded at the backend server, so "ran" is set even if the attempt's
// caller receives no response.
type result struct {
	kind     string // "ran", "replayed", "too large" or "none"
	response string
}

type keyState struct {
	ran      bool
	response string
}

// onceModel specifies that a key runs at most once and that every replay returns the response of that run.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input] = append(byKey[op.Input], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		s, r := state.(keyState), output.(result)
		switch r.kind {
		case "ran":
			return !s.ran, keyState{true, r.response}
		case "replayed":
			return s.ran && s.response == r.response, s
		case "too large":
			return s.ran, s
		default:
			return true, s
		}
	},
}

type history struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// schedule is one randomized run: attempts with a few keys on three hosts, and faults.
type schedule struct {
	f    *fleet
	h    history
	keys int
}

const (
	scheduleHosts    = 3
	scheduleAttempts = 30
	scheduleFaults   = 10
	scheduleDuration = 3 * time.Second
)

func (s *schedule) attempt(i int, rng *rand.Rand) {
	between := func(limit time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(limit))) }
	key := fmt.Sprintf("k%d", rng.IntN(s.keys))
	n, start, pause, sending := rng.IntN(scheduleHosts), between(scheduleDuration), between(500*time.Millisecond), between(300*time.Millisecond)
	if rng.IntN(2) == 0 {
		pause = 0
	}
	ending := rng.IntN(10)
	time.Sleep(start)
	h := s.f.host(n)
	op := porcupine.Operation{ClientId: i, Input: key, Call: s.h.clock.Add(1)}
	r := s.runCaller(h, call(key, fmt.Sprintf("a%d", i)), pause, sending, ending)
	op.Output, op.Return = r, s.h.clock.Add(1)
	if h.isDead() {
		op.Return = math.MaxInt64 - int64(i)
	}
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.h.ops = append(s.h.ops, op)
}

// runCaller simulates a caller: it claims the key, pauses, sends the call and reports to the ticket how it ended.
func (s *schedule) runCaller(h *testHost, c Call, pause, sending time.Duration, ending int) result {
	ctx := s.f.ctx
	ticket, answer, err := h.coord.Claim(ctx, c)
	if answer != nil && !h.isDead() {
		return result{"replayed", string(answer.Body)}
	}
	if tooLarge := (*ResponseTooLargeError)(nil); errors.As(err, &tooLarge) {
		return result{kind: "too large"}
	}
	if ticket == nil {
		return result{kind: "none"}
	}
	time.Sleep(pause)
	if ending == 0 {
		_ = ticket.GiveUp(ctx)
		return result{kind: "none"}
	}
	if ticket.Dispatching() != nil {
		return result{kind: "none"}
	}
	time.Sleep(sending / 10)
	if h.isDead() {
		return result{kind: "none"}
	}
	if ending == 3 {
		_ = ticket.NotRun(ctx)
		return result{kind: "none"}
	}
	body := fmt.Sprintf("answer %d of %s to %s", s.f.run(c.IdempotencyKey), c.IdempotencyKey, c.Attempt)
	time.Sleep(sending)
	switch ending {
	case 1:
		// A caller that wrongly calls GiveUp after Dispatching is refused, and the key must stay claimed.
		_ = ticket.GiveUp(ctx)
		_ = ticket.Unknown(ctx)
	case 2:
		_ = ticket.Done(ctx, Response{Status: 200, Body: []byte(body + strings.Repeat(".", 1000))})
	default:
		_ = ticket.Done(ctx, Response{Status: 200, Body: []byte(body)})
	}
	return result{"ran", body}
}

func (s *schedule) fault(rng *rand.Rand) {
	kind, n, other := rng.IntN(5), rng.IntN(scheduleHosts), rng.IntN(scheduleHosts)
	start, length := time.Duration(rng.Int64N(int64(scheduleDuration))), time.Duration(rng.Int64N(int64(time.Second)))
	time.Sleep(start)
	h, peer := s.f.host(n), s.f.host(other)
	switch kind {
	case 0:
		h.store.SetDown(true)
		time.Sleep(length)
		if !h.isDead() {
			h.store.SetDown(false)
		}
	case 1:
		s.f.net.Partition(h.id.Addr, peer.id.Addr)
		time.Sleep(length)
		s.f.net.Heal(h.id.Addr, peer.id.Addr)
	case 2:
		h.store.LoseResponses(3)
	case 3:
		if h.isDead() {
			return
		}
		h.kill()
		time.Sleep(length)
		s.f.start(n, h.id.Incarnation+1)
	default:
		h.store.SetDelay(length / 10)
		time.Sleep(length)
		h.store.SetDelay(0)
	}
}

// runSchedule runs the schedule of one seed. It reports whether the history is linearizable, returns the maximum number
// of runs of one key, and adds the frequencies of results to seen.
func runSchedule(t *testing.T, policy Policy, seed uint64, seen map[string]int64) (linearizable bool, maxRuns int) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{
			policy: policy, MaxResponseBytes: 500, DispatchGrace: 100 * time.Millisecond, DispatchLimit: 400 * time.Millisecond,
			StoreTimeout: 300 * time.Millisecond, AskTimeout: 400 * time.Millisecond, RetryInterval: 100 * time.Millisecond,
		}
		s := &schedule{f: newFleet(t.Context(), cfg, scheduleHosts, seed), keys: 4}
		for i := range scheduleHosts {
			s.f.host(i).lossy.percent = int(seed % 4 * 10)
		}
		var wg sync.WaitGroup
		for i := range scheduleAttempts {
			wg.Go(func() { s.attempt(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
		for i := range scheduleFaults {
			wg.Go(func() { s.fault(rand.New(rand.NewPCG(seed, uint64(1000+i)))) })
		}
		wg.Wait()
		time.Sleep(5 * time.Second)
		linearizable = porcupine.CheckOperations(onceModel, s.h.ops)
		for _, runs := range s.f.runs {
			maxRuns = max(maxRuns, runs)
		}
		for name := range resultLabels() {
			seen[name] += s.f.host(0).count(name)
		}
		seen["takeover"] += s.f.m.Count("claim_takeovers_total")
		for _, op := range s.h.ops {
			seen["result "+op.Output.(result).kind]++
		}
		for i := range scheduleHosts {
			s.f.host(i).stop()
		}
	})
	return linearizable, maxRuns
}

func resultLabels() map[string]bool {
	labels := map[string]bool{"granted": true, "replayed": true, "not_run": true}
	for _, name := range refusalLabels {
		labels[name] = true
	}
	return labels
}

const scheduleSeeds = 150

// Guards against a call that runs twice, and against replayed responses that differ from the run's, under store
// outages, lost and delayed store responses, process pauses, host crashes and network partitions.
func TestHistoriesAreLinearizable(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]int64{}
	for seed := range uint64(scheduleSeeds) {
		ok, runs := runSchedule(t, Policy{}, seed, seen)
		g.Expect(ok).To(BeTrue(), "seed %d", seed)
		g.Expect(runs).To(BeNumerically("<=", 1), "seed %d", seed)
	}
	t.Log(seen)
	for _, name := range []string{
		"granted", "replayed", "unavailable", "in_progress", "unknown", "given_up", "too_large", "not_run", "takeover",
		"result ran", "result replayed", "result too large",
	} {
		g.Expect(seen[name]).To(BeNumerically(">", 0), name)
	}
}

// Guards against a history check that does not detect violations of the protocol.
func TestHistoryCheckDetectsBrokenPolicies(t *testing.T) {
	for name, policy := range brokenPolicies {
		t.Run(name, func(t *testing.T) {
			noticed := 0
			for seed := range uint64(40) {
				if ok, _ := runSchedule(t, policy, seed, map[string]int64{}); !ok {
					noticed++
				}
			}
			t.Logf("violation detected with %d of 40 seeds", noticed)
			NewWithT(t).Expect(noticed).To(BeNumerically(">", 0))
		})
	}
}
