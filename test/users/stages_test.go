package users_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/test/standin/users"
)

// Guards against prefill engines that stay idle while the decode engines are full, against stage commands from more than
// one host, and against work that is sent to an engine while it changes its stage.
func TestEngineStagesFollowLoad(t *testing.T) {
	f := newFleet(t, 3)
	config := routes(1_000_000)
	config["services"].([]any)[1].(map[string]any)["engine"].(map[string]any)["roleSwitchS"] = 1.0
	f.configure(config)
	f.worker(users.WorkerOptions{ID: "app-1", Service: "app"})
	var engines []*users.Worker
	for i := range 6 {
		stage := "prefill"
		if i >= 4 {
			stage = "decode"
		}
		engines = append(engines, f.worker(users.WorkerOptions{
			ID: fmt.Sprintf("llm-%d", i), Service: "llm", Stage: stage, Events: 10, EventPause: 80 * time.Millisecond, StageChange: time.Second,
		}))
	}
	for _, h := range f.hosts {
		f.awaitServing(h)
	}

	var group sync.WaitGroup
	var served, refusedBefore, refusedAfter atomic.Int64
	start := time.Now()
	const length, settled = 16 * time.Second, 10 * time.Second
	for n := 0; time.Since(start) < length; n++ {
		at := time.Since(start)
		group.Go(func() {
			switch a := f.stream(f.hosts[n%3], "ask"); {
			case a.status == http.StatusOK && len(events(a.body)) == 10:
				served.Add(1)
			case at > settled:
				refusedAfter.Add(1)
			default:
				refusedBefore.Add(1)
			}
		})
		time.Sleep(time.Second / 12)
	}
	group.Wait()

	leaders, fencingTokens, moved := map[string]bool{}, map[int64]bool{}, 0
	for _, e := range engines {
		commands, wrongStage := e.Commands()
		f.g.Expect(len(commands)).To(BeNumerically("<=", 1), "%s received a second command", e.ID)
		f.g.Expect(wrongStage).To(BeNumerically("<=", 3), "requests reached %s in the wrong stage", e.ID)
		for _, c := range commands {
			moved++
			leaders[c.Leader], fencingTokens[c.FencingToken] = true, true
			f.g.Expect(c.Stage).To(Equal("decode"))
		}
	}
	f.g.Expect(moved).To(Equal(2))
	f.g.Expect(leaders).To(HaveLen(1))
	f.g.Expect(fencingTokens).To(HaveLen(1))
	t.Logf("served %d; not served completely: %d before and %d after the stage change", served.Load(), refusedBefore.Load(), refusedAfter.Load())
	f.g.Expect(refusedAfter.Load()).To(BeNumerically("<", refusedBefore.Load()))
}
