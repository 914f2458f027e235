package host_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/host"
)

func hosts(n int) []host.ID {
	ids := make([]host.ID, n)
	for i := range ids {
		ids[i] = host.ID{Name: fmt.Sprintf("h%d", i), Incarnation: uint64(i)}
	}
	return ids
}

// Guards against keys that move between the remaining hosts when a host leaves, which would reset their token buckets.
func TestRemovingAHostMovesOnlyItsKeys(t *testing.T) {
	g := NewWithT(t)
	all := hosts(5)
	moved := 0
	for i := range 1000 {
		key := fmt.Sprintf("workspace-%d", i)
		before, _ := host.Home(key, all)
		after, ok := host.Home(key, all[:4])
		g.Expect(ok).To(BeTrue())
		if before.Name == "h4" {
			moved++
			continue
		}
		g.Expect(after).To(Equal(before))
	}
	g.Expect(moved).To(BeNumerically("~", 200, 60))
}

// Guards against keys that move when a host restarts, which changes only its incarnation.
func TestIncarnationDoesNotMoveKeys(t *testing.T) {
	g := NewWithT(t)
	before := hosts(3)
	after := hosts(3)
	after[1].Incarnation = 99
	for i := range 100 {
		key := fmt.Sprintf("k%d", i)
		a, _ := host.Home(key, before)
		b, _ := host.Home(key, after)
		g.Expect(b.Name).To(Equal(a.Name))
	}
}
