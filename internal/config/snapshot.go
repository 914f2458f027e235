// Package config holds the installed configuration and distributes new ones. A configuration is a rules file that is
// stored as content-addressed chunks and an index, and named by a head record with a generation number. A change is
// accepted by a compare-and-swap of the head; generations never decrease.
package config

import (
	"slices"
	"strings"

	"github.com/boragecourse/boragecourse/internal/rules"
)

// Reader provides the installed configuration. It is safe for concurrent use.
type Reader interface {
	// Current returns the installed snapshot, or nil if none was installed yet.
	Current() *Snapshot
	// KeyedRequestsAllowed returns nil if the configuration was confirmed recently enough to serve keyed requests
	// of the workspace, and a *StaleError otherwise.
	KeyedRequestsAllowed(workspace string) error
}

// Snapshot is one accepted configuration, indexed for lookups. It is immutable.
type Snapshot struct {
	Generation uint64

	zones      map[string]*rules.Zone
	workspaces map[string]*rules.Workspace
	keys       map[rules.KeyHash]*rules.Key
	servers    map[string]*rules.Server
	byModel    map[string][]*rules.Server
	byPool     map[string][]*rules.Server
	routes     []*rules.Route
	models     []string
	evacuated  map[string]bool
}

// NewSnapshot indexes the rules of one file, which must have passed rules.Check.
func NewSnapshot(generation uint64, all []rules.Rule) *Snapshot {
	s := &Snapshot{
		Generation: generation,
		zones:      map[string]*rules.Zone{},
		workspaces: map[string]*rules.Workspace{},
		keys:       map[rules.KeyHash]*rules.Key{},
		servers:    map[string]*rules.Server{},
		byModel:    map[string][]*rules.Server{},
		byPool:     map[string][]*rules.Server{},
		evacuated:  map[string]bool{},
	}
	for _, r := range all {
		if e, ok := r.(*rules.Evacuation); ok {
			s.evacuated[e.Zone] = true
		}
	}
	for _, r := range all {
		s.add(r)
	}
	for m := range s.byModel {
		s.models = append(s.models, m)
	}
	slices.Sort(s.models)
	return s
}

func (s *Snapshot) add(r rules.Rule) {
	switch r := r.(type) {
	case *rules.Zone:
		s.zones[r.Name] = r
	case *rules.Workspace:
		s.workspaces[r.Name] = r
	case *rules.Key:
		s.keys[r.Hash] = r
	case *rules.Route:
		s.routes = append(s.routes, r)
	case *rules.Server:
		if s.evacuated[r.Zone] {
			// Whatever leaves out the servers that leave also leaves out those of evacuated zones.
			leaving := *r
			leaving.State = rules.ServerLeaving
			r = &leaving
		}
		s.servers[r.Name] = r
		if r.Role == rules.RoleService {
			s.byPool[r.Pool] = append(s.byPool[r.Pool], r)
		} else {
			s.byModel[r.Model] = append(s.byModel[r.Model], r)
		}
	}
}

// Zones returns the availability zones by name. The map must not be changed.
func (s *Snapshot) Zones() map[string]*rules.Zone { return s.zones }

// Evacuated reports whether a zone is evacuated. Its servers are then in state leaving.
func (s *Snapshot) Evacuated(zone string) bool { return s.evacuated[zone] }

// Workspaces returns the workspaces by name. The map must not be changed.
func (s *Snapshot) Workspaces() map[string]*rules.Workspace { return s.workspaces }

// Workspace returns a workspace by name, or nil.
func (s *Snapshot) Workspace(name string) *rules.Workspace { return s.workspaces[name] }

// Key returns the key with the given hash, or nil if there is none, for example because it was withdrawn.
func (s *Snapshot) Key(h rules.KeyHash) *rules.Key { return s.keys[h] }

// Servers returns the backend servers by name. The map must not be changed.
func (s *Snapshot) Servers() map[string]*rules.Server { return s.servers }

// Engines returns the engines that serve a model, in file order, including those in state leaving.
func (s *Snapshot) Engines(model string) []*rules.Server { return s.byModel[model] }

// Pool returns the plain HTTP services of a pool, in file order, including those in state leaving.
func (s *Snapshot) Pool(pool string) []*rules.Server { return s.byPool[pool] }

// Models returns the names of all models that have an engine, sorted.
func (s *Snapshot) Models() []string { return s.models }

// Routes returns all routes in file order.
func (s *Snapshot) Routes() []*rules.Route { return s.routes }

// Route returns the route for a path and, on model routes, the requested model, or nil if no route matches. A route
// with a model matches only that model. The route with the longest path takes precedence. Callers use KnownPath to
// distinguish an unknown model from an unknown path.
func (s *Snapshot) Route(path, model string) *rules.Route {
	var best *rules.Route
	for _, r := range s.routes {
		if !matchesPath(r.Path, path) || (r.Model != "" && r.Model != model) {
			continue
		}
		if best == nil || len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best
}

// KnownPath reports whether any route matches the path, regardless of its model.
func (s *Snapshot) KnownPath(path string) bool {
	return slices.ContainsFunc(s.routes, func(r *rules.Route) bool { return matchesPath(r.Path, path) })
}

func matchesPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "/*"); ok {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	}
	return pattern == path
}
