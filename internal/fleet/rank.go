package fleet

import (
	"slices"
	"time"
)

// Rank orders the requests of a service; lower ranks are more urgent. The priority of the workspace comes first, or that of
// the route if the workspace has none, and then the priority of the route.
type Rank struct{ Primary, Secondary int }

// RankOf returns the rank of the requests of a workspace, which may be nil, on a route.
func RankOf(r *Route, w *Workspace) Rank {
	if w != nil && w.Priority != nil {
		return Rank{*w.Priority, r.Priority}
	}
	return Rank{r.Priority, r.Priority}
}

// Compare orders ranks, the most urgent first.
func (k Rank) Compare(o Rank) int {
	if k.Primary != o.Primary {
		return k.Primary - o.Primary
	}
	return k.Secondary - o.Secondary
}

const (
	// mostUrgency is the least urgent value that backend servers accept.
	mostUrgency = 9
	// urgencyStep is the number of urgencies for each primary priority.
	urgencyStep = 3
)

// Urgency maps a rank to 0 to 9, 0 for the most urgent. It never reverses the order of two ranks.
func (k Rank) Urgency() int {
	primary := min(max(k.Primary, 0), mostUrgency)
	return min(urgencyStep*primary+min(max(k.Secondary, 0), urgencyStep-1), mostUrgency)
}

// serviceUse is what the routes to a service have in common.
type serviceUse struct {
	ranks     []Rank
	objective time.Duration
}

// RankIndex returns the position of a rank among those of a service, 0 for the most urgent, and the number of ranks.
// Requests of a service with one rank are not ordered.
func (c *Configuration) RankIndex(service string, k Rank) (index, ranks int) {
	use := c.uses[service]
	if use == nil {
		return 0, 1
	}
	index, _ = slices.BinarySearchFunc(use.ranks, k, Rank.Compare)
	return min(index, max(len(use.ranks)-1, 0)), len(use.ranks)
}

// Objective returns the shortest latency objective of the routes to a service, 0 if none has one.
func (c *Configuration) Objective(service string) time.Duration {
	if use := c.uses[service]; use != nil {
		return use.objective
	}
	return 0
}

// serviceUses returns the ranks and objectives of all services that routes name.
func serviceUses(routes []*Route, workspaces []*Workspace) map[string]*serviceUse {
	// Only a workspace's priority matters, and there are many workspaces with few priorities.
	var priorities []*Workspace
	seen := map[int]bool{}
	plain := false
	for _, w := range workspaces {
		switch {
		case w.Priority == nil:
			plain = true
		case !seen[*w.Priority]:
			seen[*w.Priority] = true
			priorities = append(priorities, w)
		}
	}
	uses := map[string]*serviceUse{}
	for _, r := range routes {
		var ranks []Rank
		if plain || len(workspaces) == 0 || r.Anonymous {
			ranks = append(ranks, RankOf(r, nil))
		}
		for _, w := range priorities {
			ranks = append(ranks, RankOf(r, w))
		}
		for _, d := range r.Destinations {
			use := uses[d.Service]
			if use == nil {
				use = &serviceUse{}
				uses[d.Service] = use
			}
			use.ranks = append(use.ranks, ranks...)
			if o := r.LatencyObjective; o > 0 && (use.objective == 0 || o < use.objective) {
				use.objective = o
			}
		}
	}
	for _, use := range uses {
		slices.SortFunc(use.ranks, Rank.Compare)
		use.ranks = slices.Compact(use.ranks)
	}
	return uses
}
