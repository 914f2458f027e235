// Package rules parses, checks, formats and compares the operators' rules file. The file has one rule per line, and
// each rule has a comment that names the person who requested it and the reason.
package rules

import "crypto/sha256"

// Origin is the place of a rule in its file and the person who requested it. Charges include the origin, so that an
// invoice line can be traced to a rule and a person.
type Origin struct {
	// Line counts from 1.
	Line int
	// Who is the person who requested the rule and Why the reason, both from the comment.
	Who, Why string
	// Text is the rule as written, without the comment.
	Text string
	// column is the byte column at which Text starts, counted from 1; zero for a rule built by a program.
	column int
}

// Rule is one of *Zone, *Workspace, *Key, *Server, *Route and *Evacuation.
type Rule interface {
	// Source returns the rule's origin.
	Source() Origin
	// ID is unique among rules of the same file, for example "workspace inspectors".
	ID() string
}

// Zone declares an availability zone.
type Zone struct {
	Origin
	Name, Region string
	// Share is the zone's weight when each workspace's token bucket is divided between zones. Default 1.
	Share int64
}

// IsolatedPolicy determines whether a zone that is cut off from the store and from all other zones serves a
// workspace's keyed requests.
type IsolatedPolicy string

// Policies of an isolated zone. The default is IsolatedRefuse.
const (
	IsolatedRefuse IsolatedPolicy = "refuse"
	IsolatedServe  IsolatedPolicy = "serve"
)

// Workspace declares a workspace with its rate limit.
type Workspace struct {
	Origin
	Name string
	// Rate is in tokens per second, Burst in tokens. Both limits apply fleet-wide.
	Rate, Burst int64
	Isolated    IsolatedPolicy
	// Priority is passed to the engines, which serve higher priorities first. Default 0.
	Priority int
}

// KeyHash is the SHA-256 of a caller's key. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a caller's key is stored.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Key gives a caller's key access to a workspace. Removing the line withdraws the key.
type Key struct {
	Origin
	Workspace string
	// KeyID names the key in charges and logs.
	KeyID string
	Hash  KeyHash
}

// Role is the kind of work that a backend server does.
type Role string

// Roles. RolePrefill, RoleDecode and RoleBoth are engines that run these stages; RoleService is a plain HTTP service.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
	RoleService Role = "service"
)

// ServerState determines whether a backend server gets new work.
type ServerState string

// States of a backend server. A server in ServerLeaving gets no new work. The default is ServerActive.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
)

// Fencing says whether a backend server checks the fencing token of commands.
type Fencing string

// Values of Fencing. The default is FencingUnchecked.
const (
	FencingChecked   Fencing = "checked"
	FencingUnchecked Fencing = "unchecked"
)

// Server declares a backend server.
type Server struct {
	Origin
	Name, Zone string
	// Addr is ip:port.
	Addr string
	Role Role
	// Model is set for engines, Pool for plain HTTP services.
	Model, Pool string
	// Slots is the number of requests that the server processes concurrently. Default 20.
	Slots   int
	State   ServerState
	Fencing Fencing
}

// Class determines what happens to a request that cannot be served immediately.
type Class string

// Classes of routes. ClassLatency requests are refused if they cannot meet the latency target; ClassWait requests
// are queued. The default is ClassLatency.
const (
	ClassLatency Class = "latency"
	ClassWait    Class = "wait"
)

// Route sends requests for a path to a model's engines or to a pool of plain HTTP services.
type Route struct {
	Origin
	// Path is matched exactly, or as a path prefix if it ends in "/*".
	Path string
	// Exactly one of Model and Pool is set.
	Model, Pool string
	// Repeatable means that requests may be retried. Default no.
	Repeatable bool
	// Open means that requests need no key and are not charged. Default no.
	Open  bool
	Class Class
	// Cost is the charge for one call to a plain HTTP service, in tokens. Default 1.
	Cost int64
}

// Evacuation takes the backend servers of a zone out of use. They get no new work, and finish what they have.
type Evacuation struct {
	Origin
	Zone string
}

// Source implements Rule for all types that embed Origin.
func (o Origin) Source() Origin { return o }

// ID implements Rule.
func (z *Zone) ID() string { return "zone " + z.Name }

// ID implements Rule.
func (w *Workspace) ID() string { return "workspace " + w.Name }

// ID implements Rule.
func (k *Key) ID() string { return "key " + k.Workspace + " " + k.KeyID }

// ID implements Rule.
func (s *Server) ID() string { return "server " + s.Name }

// ID implements Rule.
func (r *Route) ID() string { return "route " + r.Path + " " + r.Model + r.Pool }

// ID implements Rule.
func (e *Evacuation) ID() string { return "evacuate " + e.Zone }
