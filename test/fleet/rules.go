package fleet

import (
	"fmt"
	"slices"
	"strings"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// Names and limits in the rules of the fleet.
const (
	Model       = "m"
	PathReserve = "/booking/reserve"
	PathStatus  = "/booking/status"
	// Slots is the number of requests that each engine runs at once.
	Slots = 4
	// ReserveCost is the charge of a booking, in tokens.
	ReserveCost = 50
	// StatusCost is the charge of a status call, in tokens.
	StatusCost = 40
	// TightRate is the rate of workspace tight, in tokens per second.
	TightRate = 30
	// TightBurst is the burst of workspace tight, in tokens.
	TightBurst = 600
)

// Rules are the parts of the rules file that test cases change.
type Rules struct {
	// Keys are the callers' keys by workspace. A workspace without an entry has no valid key.
	Keys map[string]string
	// Leaving are the backend servers whose state is "leaving".
	Leaving []string
	// Note is a comment that makes otherwise equal files differ.
	Note string
}

// DefaultRules returns the configuration that New applies.
func DefaultRules() Rules {
	return Rules{Keys: map[string]string{
		"guests": "secret-of-guests", "tight": "secret-of-tight", "crew": "secret-of-crew", "island": "secret-of-island",
	}}
}

// Without returns a copy of the rules in which the workspace's key is withdrawn.
func (r Rules) Without(workspace string) Rules {
	keys := map[string]string{}
	for w, k := range r.Keys {
		if w != workspace {
			keys[w] = k
		}
	}
	r.Keys = keys
	return r
}

// People are the persons who requested the workspaces, by workspace.
var People = map[string]string{"guests": "ana", "tight": "bojan", "crew": "cvetka", "island": "darja"}

// Text returns the rules file.
func (r Rules) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Fault matrix %s\n", r.Note)
	for _, z := range []string{"a", "b", "c"} {
		fmt.Fprintf(&b, "zone %s region=r # ana: test\n", z)
	}
	fmt.Fprintf(&b, "workspace guests rate=4000/s burst=60000 # %s: test\n", People["guests"])
	fmt.Fprintf(&b, "workspace tight rate=%d/s burst=%d # %s: test\n", TightRate, TightBurst, People["tight"])
	fmt.Fprintf(&b, "workspace crew rate=8000/s burst=60000 # %s: test\n", People["crew"])
	fmt.Fprintf(&b, "workspace island rate=2000/s burst=20000 isolated=serve # %s: test\n", People["island"])
	for _, w := range []string{"guests", "tight", "crew", "island"} {
		if key, ok := r.Keys[w]; ok {
			fmt.Fprintf(&b, "key %s sha256=%x id=%s-1 # ana: test\n", w, rules.HashKey(key), w)
		}
	}
	for _, z := range []string{"a", "b"} {
		for _, s := range []struct{ name, what string }{
			{"p-", "role=prefill model=" + Model}, {"d-", "role=decode model=" + Model}, {"s-", "role=service pool=booking"},
		} {
			state := ""
			if slices.Contains(r.Leaving, s.name+z) {
				state = " state=leaving"
			}
			fmt.Fprintf(&b, "server %s%s zone=%s addr=%s %s slots=%d%s # bojan: test\n", s.name, z, z, addrOf(s.name+z), s.what, Slots, state)
		}
	}
	fmt.Fprintf(&b, "route /v1/completions model=%s repeatable=yes class=wait # ana: test\n", Model)
	fmt.Fprintf(&b, "route %s pool=booking cost=%d # ana: test\n", PathReserve, ReserveCost)
	fmt.Fprintf(&b, "route %s pool=booking repeatable=yes cost=%d # ana: test\n", PathStatus, StatusCost)
	return b.String()
}

// addrOf returns a distinct address for each backend server.
func addrOf(name string) string {
	port := 9000 + 10*int(name[0]) + int(name[len(name)-1]-'a')
	return fmt.Sprintf("10.0.0.1:%d", port)
}
