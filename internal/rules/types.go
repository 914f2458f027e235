// Package rules reads, formats and compares the operators' rules file: one rule per line, each with a
// comment that names who asked for it.
package rules

import "crypto/sha256"

// Origin is where a rule comes from. A charge carries it, so that an invoice line leads to a rule and a person.
type Origin struct {
	// Line counts from 1.
	Line int
	// Who asked for the rule and why, from the comment.
	Who, Why string
	// Text is the rule as written, without the comment.
	Text string
	// column is where Text starts in its line, counted from 1.
	column int
}

// Rule is one of *Zone, *Workspace, *Key, *Server and *Route.
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
	// Share is the zone's weight in the division of each workspace's bucket. Default 1.
	Share int64
}

// IsolatedPolicy says what a zone that is cut off from the store and from all other zones does with a
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
	// Rate is in tokens per second, Burst in tokens; both count fleet-wide.
	Rate, Burst int64
	Isolated    IsolatedPolicy
	// Priority is passed to engines; higher is served first. Default 0.
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

// Role is what a backend server does.
type Role string

// Roles. RoleBoth is an engine that prefills and decodes; RoleService is a plain HTTP service.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
	RoleService Role = "service"
)

// ServerState says whether a backend server takes new work.
type ServerState string

// States of a backend server. The default is ServerActive.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
)

// Fencing says whether a backend server checks the fencing number of orders.
type Fencing string

// Fencing behaviors. The default is FencingUnchecked.
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
	// Model is set for engines, Pool for plain services.
	Model, Pool string
	// Slots is how many requests the server holds at once. Default 20.
	Slots   int
	State   ServerState
	Fencing Fencing
}

// Class says what happens to a request that cannot be served at once.
type Class string

// Classes of routes. ClassLatency requests are refused when they cannot meet the latency target;
// ClassWait requests queue.
const (
	ClassLatency Class = "latency"
	ClassWait    Class = "wait"
)

// Route sends requests for a path to a model's engines or to a pool of plain services.
type Route struct {
	Origin
	// Path is matched exactly, or as a prefix when it ends in "/*".
	Path string
	// Model or Pool is set.
	Model, Pool string
	// Repeatable routes may be retried. Default no.
	Repeatable bool
	// Open routes need no key and are not charged. Default no.
	Open  bool
	Class Class
	// Cost is the charge of one call to a plain service, in tokens. Default 1.
	Cost int64
}

// Source implements Rule for every kind through embedding.
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
