// Package fleet holds the types that describe a deployment: its hosts, routes, workspaces and backend servers.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RequestKind determines whether a request may be retried after it may have run.
type RequestKind string

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = "idempotent"
	// NonIdempotent requests may run at most once.
	NonIdempotent RequestKind = "non-idempotent"
	// Generation requests return a stream of events. They run at most once unless the route is resumable.
	Generation RequestKind = "generation"
)

// Route maps the requests of a host name and path prefix to one or more services.
type Route struct {
	Name, Host, Prefix string
	Kind               RequestKind
	// Destinations has at least one entry. Several entries split the requests by weight.
	Destinations []Destination
	// Timeout is the upper bound on the duration of a request.
	Timeout time.Duration
	// LatencyObjective is the target for the time to the response; for generations, to the first event.
	LatencyObjective time.Duration
	// EventGapObjective is the target for the longest pause between two events of a generation.
	EventGapObjective time.Duration
	// GapPatience is the gap between two events of a generation, or before the first, after which callers abandon it.
	GapPatience time.Duration
	// Attempts is the largest number of backend servers to which one request may be sent.
	Attempts int
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable generations may continue at another backend server after the last event that was relayed.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be sent to another backend server.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Generation && r.Resumable
}

// Destination is one service of a route. The share of the requests that it gets is its Weight divided by the sum of the
// weights of all destinations.
type Destination struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check, which returns status 200 while the backend server is healthy.
	HealthPath string
	// MaxConnections is the limit on connections to one backend server, summed over all hosts.
	MaxConnections int
	// ColdStart is how long a backend server is cold after its start. While cold it tolerates ColdRate requests a second
	// from all hosts together; 0 means no limit.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// KVCapacity is the capacity of the KV cache of one engine, in tokens.
	KVCapacity int64
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent int64
	// StageChange is how long an engine takes to change its stage after its running work has ended; zero when engines do
	// not change their stage.
	StageChange time.Duration
}

// Limits are the size and time limits on callers' requests and connections.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Workspace is a tenant: a set of API keys that share one rate limit.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if it is not nil.
	Priority *int
	// Rate is in tokens per second, Burst in tokens. A Rate of zero means no limit.
	Rate, Burst float64
	// PlainCost is the cost of a request without token counts, in tokens.
	PlainCost int64
}

// Configuration is one version of the operator's configuration, indexed for lookups. It is immutable.
type Configuration struct {
	Version    uint64
	Limits     Limits
	Services   map[string]*Service
	Workspaces []*Workspace

	routes map[string][]*Route
	keys   map[string]*Workspace
	uses   map[string]*serviceUse
}

// NewConfiguration returns a configuration with indexes of its routes, services and keys. Routes of a host name are
// matched by longest prefix; among equal prefixes the first one wins.
func NewConfiguration(version uint64, limits Limits, routes []*Route, services []*Service, workspaces []*Workspace) *Configuration {
	c := &Configuration{
		Version: version, Limits: limits, Workspaces: workspaces,
		Services: map[string]*Service{}, routes: map[string][]*Route{}, keys: map[string]*Workspace{},
		uses: serviceUses(routes, workspaces),
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

// WorkspaceOf returns the workspace to which the API key belongs, or nil.
func (c *Configuration) WorkspaceOf(key string) *Workspace {
	if key == "" {
		return nil
	}
	return c.keys[key]
}

// HasWorkspaces reports whether any workspace is configured; if so, requests need a key unless their route is anonymous.
func (c *Configuration) HasWorkspaces() bool { return len(c.Workspaces) > 0 }
