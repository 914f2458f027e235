package front

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragecourse/boragecourse/internal/fleet"
)

// Guards against a split route whose requests all fail because the sum of its weights overflows.
func TestDestinationWithHugeWeights(t *testing.T) {
	g := NewWithT(t)
	f := &Front{}
	for _, weight := range []int{0, 1, 1 << 31, math.MaxInt} {
		x := &call{request: &fleet.Request{ID: "id"}, route: &fleet.Route{Destinations: []fleet.Destination{{Service: "a", Weight: weight}, {Service: "b", Weight: weight}}}}
		g.Expect(f.destination(x)).To(BeElementOf("a", "b"))
	}
}
