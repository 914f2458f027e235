package placement

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// inflight counts this host's requests in flight by server and stage. It is safe for concurrent use.
type inflight struct {
	mu     sync.Mutex
	counts map[inflightKey]int
}

type inflightKey struct {
	server string
	stage  Stage
}

// add counts one more request. The returned function subtracts it; repeated calls have no effect.
func (f *inflight) add(server string, stage Stage) func() {
	k := inflightKey{server, stage}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[inflightKey]int{}
	}
	f.counts[k]++
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.counts[k]--; f.counts[k] <= 0 {
			delete(f.counts, k)
		}
	})
}

func (f *inflight) get(server string, stage Stage) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[inflightKey{server, stage}]
}

func runsStage(role rules.Role, stage Stage) bool {
	switch role {
	case rules.RoleBoth:
		return stage == StagePrefill || stage == StageDecode
	case rules.RolePrefill:
		return stage == StagePrefill
	case rules.RoleDecode:
		return stage == StageDecode
	default:
		return stage == StageService
	}
}

// usable returns the active servers that run the stage and are not excluded.
func usable(servers []*rules.Server, stage Stage, exclude []string) []*rules.Server {
	var out []*rules.Server
	for _, s := range servers {
		if s.State != rules.ServerLeaving && runsStage(s.Role, stage) && !slices.Contains(exclude, s.Name) {
			out = append(out, s)
		}
	}
	return out
}

// twoChoices draws two servers at random and returns the one with the lower load, or nil if there are no servers.
func twoChoices(servers []*rules.Server, load func(*rules.Server) float64) *rules.Server {
	if len(servers) == 0 {
		return nil
	}
	i := rand.IntN(len(servers)) //nolint:gosec // Load spreading needs no secret.
	if len(servers) == 1 {
		return servers[i]
	}
	j := rand.IntN(len(servers) - 1) //nolint:gosec // Load spreading needs no secret.
	if j >= i {
		j++
	}
	if load(servers[j]) < load(servers[i]) {
		return servers[j]
	}
	return servers[i]
}
