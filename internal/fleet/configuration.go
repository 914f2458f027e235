// Package fleet holds the types that describe a deployment: its hosts, routes, workspaces and backend servers.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RequestKind says what may be repeated.
type RequestKind string

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = "idempotent"
	// NonIdempotent requests may run at most once.
	NonIdempotent RequestKind = "non-idempotent"
	// Generation requests answer with a stream of events. They run at most once unless they may be resumed.
	Generation RequestKind = "generation"
)

// Route sends requests of a host name and path prefix to a service.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	// Destinations has one entry, or several among which requests are split by weight.
	Destinations []Destination
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer is of full worth; for generations up to the first event.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between events of a generation that is still on time.
	EventGapObjective time.Duration
	// Attempts is the largest number of backend servers that one request may be sent to.
	Attempts int
	// Priority is the rank of the route; 0 comes first.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable generations may go on at another backend server after their last event.
	Resumable bool
}

// Repeatable tells whether a request that may have run may be sent to another backend server.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Generation && r.Resumable
}

// Destination is one service of a route and its share of the requests.
type Destination struct {
	Service string
	Weight  int
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name string
	// HealthPath answers 200 while a backend server considers itself healthy.
	HealthPath string
	// MaxConnections bounds the connections to one backend server from all hosts together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// KVCapacity is the memory of one engine, in tokens.
	KVCapacity int64
	// TokensPerEvent is how many output tokens one event of a stream holds.
	TokensPerEvent int64
	// StageChange is how long an engine takes to change its stage once its running work has ended; zero when engines
	// keep their stage.
	StageChange time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Workspace has keys and an allowance.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the priority of routes when it is set.
	Priority *int
	// Rate is in tokens per second, Burst in tokens. A zero Rate means no limit.
	Rate, Burst float64
	// PlainCost is what a request without token counts counts as.
	PlainCost int64
}

// Configuration is one accepted version of the operator's configuration. It is immutable.
type Configuration struct {
	Version    uint64
	Limits     Limits
	Services   map[string]*Service
	Workspaces []*Workspace

	routes map[string][]*Route
	keys   map[string]*Workspace
}

// NewConfiguration indexes the parts of a configuration.
func NewConfiguration(version uint64, limits Limits, routes []*Route, services []*Service, workspaces []*Workspace) *Configuration {
	c := &Configuration{
		Version: version, Limits: limits, Workspaces: workspaces,
		Services: map[string]*Service{}, routes: map[string][]*Route{}, keys: map[string]*Workspace{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, w := range workspaces {
		for _, k := range w.Keys {
			c.keys[k] = w
		}
	}
	return c
}

// Route returns the route with the longest matching prefix, or nil. A port in host is ignored.
func (c *Configuration) Route(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceOf returns the workspace that holds the key, or nil.
func (c *Configuration) WorkspaceOf(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// HasWorkspaces tells whether requests need a key.
func (c *Configuration) HasWorkspaces() bool { return len(c.Workspaces) > 0 }
