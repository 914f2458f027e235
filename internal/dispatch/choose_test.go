package dispatch_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/dispatch"
)

// fakeModel states fixed facts about servers.
type fakeModel struct {
	relative map[string]float64
	limit    map[string]int
	doubtful map[string]bool
}

func (m fakeModel) Expected(key string, _ int, _ time.Time) float64 {
	if v, known := m.relative[key]; known {
		return v
	}
	return 1
}

func (m fakeModel) Occupied(_ string, counted int, _ time.Time) float64 { return float64(counted) }

func (m fakeModel) Limit(key string, slots int, _ time.Time) int {
	if v, known := m.limit[key]; known {
		return v
	}
	return slots
}

func (m fakeModel) Doubtful(key string, _ time.Time) bool { return m.doubtful[key] }

// granted returns how many of n jobs each server gets while none ends.
func granted(p *dispatch.Pool, n int, job dispatch.Job) map[string]int {
	out := map[string]int{}
	job.StartBy = time.Now().Add(time.Millisecond)
	for range n {
		if grant, err := p.Acquire(context.Background(), job); err == nil {
			out[grant.Key]++
		}
	}
	return out
}

// Guards against doubtful servers that get work while others have capacity, against doubts that leave jobs without a server,
// against limits that are exceeded, and against a preferred zone that is ignored.
func TestModelOrdersAndBoundsCandidates(t *testing.T) {
	g := NewWithT(t)
	p := newPool(8, "a", "b")
	p.SetModel(fakeModel{doubtful: map[string]bool{"a": true}})
	g.Expect(granted(p, 8, dispatch.Job{})).To(Equal(map[string]int{"b": 8}))
	g.Expect(granted(p, 4, dispatch.Job{})).To(Equal(map[string]int{"a": 4}))

	p = newPool(8, "a", "b")
	p.SetModel(fakeModel{limit: map[string]int{"a": 3}})
	g.Expect(granted(p, 16, dispatch.Job{})).To(Equal(map[string]int{"a": 3, "b": 8}))

	p = newPool(8, "a", "b")
	p.SetModel(fakeModel{relative: map[string]float64{"a": 3}})
	shares := granted(p, 8, dispatch.Job{})
	g.Expect(shares["a"]).To(BeNumerically("<", shares["b"]))

	p = newPool(8)
	p.SetCandidates([]dispatch.Candidate{{Key: "a", Zone: "z1", Slots: 8}, {Key: "b", Zone: "z2", Slots: 8}})
	g.Expect(granted(p, 1, dispatch.Job{Zone: "z2"})).To(Equal(map[string]int{"b": 1}))
}

// Guards against engines that are compared by their slots while their memory is nearly full: in the own zone, and where a fast engine
// would be preferred until its memory is full.
func TestJobsGoWhereMemoryIsLeft(t *testing.T) {
	g := NewWithT(t)
	memory := map[string]float64{"near": 0.8, "far": 0.5}
	occupancy := func(key string) float64 { return memory[key] }
	p := newPool(64)
	p.SetCandidates([]dispatch.Candidate{{Key: "near", Zone: "z1", Slots: 64}, {Key: "far", Zone: "z2", Slots: 64}})
	g.Expect(granted(p, 1, dispatch.Job{Zone: "z1"})).To(Equal(map[string]int{"near": 1}))
	g.Expect(granted(p, 1, dispatch.Job{Zone: "z1", Occupancy: occupancy})).To(Equal(map[string]int{"far": 1}))

	memory = map[string]float64{"fast": 0.7, "a": 0.4}
	p = newPool(64, "fast", "a")
	p.SetModel(fakeModel{relative: map[string]float64{"fast": 0.5}})
	shares := granted(p, 20, dispatch.Job{Occupancy: occupancy})
	g.Expect(shares).To(Equal(map[string]int{"a": 20}))
	memory["fast"] = 0.5
	shares = granted(p, 20, dispatch.Job{Occupancy: occupancy})
	g.Expect(shares["fast"]).To(BeNumerically(">", shares["a"]), "a fast engine has the memory back sooner")
}
