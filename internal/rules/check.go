package rules

import (
	"slices"
	"strings"
)

// Check checks the rules of one file against each other: unique names, declared references and servers for each route.
// It is for files that are parsed in parts. The error is a *FileError with every fault.
func Check(name string, all []Rule) error {
	if faults := check(name, all); len(faults) > 0 {
		return newFileError(faults)
	}
	return nil
}

func newFileError(faults []Fault) *FileError {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		if a.Pos().Line != b.Pos().Line {
			return a.Pos().Line - b.Pos().Line
		}
		return a.Pos().Column - b.Pos().Column
	})
	return &FileError{Faults: faults}
}

// servedRoles records which roles the active servers of a model or pool cover.
type servedRoles struct {
	prefill, decode, service bool
}

type checker struct {
	name       string
	zones      map[string]int
	evacuated  map[string]int
	workspaces map[string]int
	keyIDs     map[[2]string]int
	hashes     map[KeyHash]int
	servers    map[string]int
	addrs      map[string]int
	models     map[string]*servedRoles
	pools      map[string]*servedRoles
	paths      map[string][]*Route
	faults     []Fault
}

func check(name string, all []Rule) []Fault {
	c := &checker{
		name: name, zones: map[string]int{}, evacuated: map[string]int{}, workspaces: map[string]int{}, keyIDs: make(map[[2]string]int, len(all)/2),
		hashes: make(map[KeyHash]int, len(all)/2), servers: map[string]int{}, addrs: map[string]int{},
		models: map[string]*servedRoles{}, pools: map[string]*servedRoles{}, paths: map[string][]*Route{},
	}
	for _, r := range all {
		c.declare(r)
	}
	for _, r := range all {
		c.resolve(r)
	}
	return c.faults
}

// position returns the position of an attribute's value, or the start of the rule if the attribute is "".
func (c *checker) position(o Origin, attr string) Position {
	pos := Position{File: c.name, Line: o.Line, Column: max(o.column, 1)}
	if attr == "" {
		return pos
	}
	for _, f := range fields(o.Text) {
		if strings.HasPrefix(f.text, attr+"=") {
			pos.Column += f.offset + len(attr) + 1
		}
	}
	return pos
}

func (c *checker) subject(o Origin) Position {
	pos := c.position(o, "")
	if words := fields(o.Text); len(words) > 1 {
		pos.Column += words[1].offset
	}
	return pos
}

func checkUnique[K comparable](c *checker, seen map[K]int, k K, o Origin, attr string, what func() string) {
	if first, ok := seen[k]; ok {
		c.faults = append(c.faults, &DuplicateError{Position: c.position(o, attr), What: what(), FirstLine: first})
		return
	}
	seen[k] = o.Line
}

func (c *checker) declare(r Rule) {
	switch r := r.(type) {
	case *Zone:
		checkUnique(c, c.zones, r.Name, r.Origin, "", r.ID)
	case *Workspace:
		checkUnique(c, c.workspaces, r.Name, r.Origin, "", r.ID)
	case *Key:
		checkUnique(c, c.keyIDs, [2]string{r.Workspace, r.KeyID}, r.Origin, "", r.ID)
		checkUnique(c, c.hashes, r.Hash, r.Origin, "sha256", func() string { return "the key's sha256" })
	case *Server:
		checkUnique(c, c.servers, r.Name, r.Origin, "", r.ID)
		checkUnique(c, c.addrs, r.Addr, r.Origin, "addr", func() string { return "addr " + r.Addr })
		c.declareServer(r)
	case *Route:
		c.declareRoute(r)
	case *Evacuation:
		checkUnique(c, c.evacuated, r.Zone, r.Origin, "", r.ID)
	}
}

func (c *checker) declareServer(s *Server) {
	group, name := c.models, s.Model
	if s.Role == RoleService {
		group, name = c.pools, s.Pool
	}
	if group[name] == nil {
		group[name] = &servedRoles{}
	}
	if s.State == ServerLeaving {
		return
	}
	g := group[name]
	g.prefill = g.prefill || s.Role == RolePrefill || s.Role == RoleBoth
	g.decode = g.decode || s.Role == RoleDecode || s.Role == RoleBoth
	g.service = g.service || s.Role == RoleService
}

// declareRoute rejects ambiguous routes: two routes with the same path and model, or a pool route and any other route
// with the same path.
func (c *checker) declareRoute(r *Route) {
	for _, other := range c.paths[r.Path] {
		if other.Model == r.Model || other.Pool != "" || r.Pool != "" {
			c.faults = append(c.faults, &DuplicateError{
				Position: c.position(r.Origin, ""), What: "a route for " + r.Path, FirstLine: other.Line,
			})
			return
		}
	}
	c.paths[r.Path] = append(c.paths[r.Path], r)
}

func (c *checker) resolve(r Rule) {
	switch r := r.(type) {
	case *Key:
		if _, ok := c.workspaces[r.Workspace]; !ok {
			c.faults = append(c.faults, &ReferenceError{Position: c.subject(r.Origin), Kind: "workspace", Name: r.Workspace})
		}
	case *Server:
		if _, ok := c.zones[r.Zone]; !ok {
			c.faults = append(c.faults, &ReferenceError{Position: c.position(r.Origin, "zone"), Kind: "zone", Name: r.Zone})
		}
	case *Evacuation:
		if _, ok := c.zones[r.Zone]; !ok {
			c.faults = append(c.faults, &ReferenceError{Position: c.subject(r.Origin), Kind: "zone", Name: r.Zone})
		}
	case *Route:
		c.resolveRoute(r)
	}
}

func (c *checker) resolveRoute(r *Route) {
	kind, target, group := "model", r.Model, c.models
	if r.Pool != "" {
		kind, target, group = "pool", r.Pool, c.pools
	}
	pos := c.position(r.Origin, kind)
	g := group[target]
	if g == nil {
		c.faults = append(c.faults, &ReferenceError{Position: pos, Kind: kind, Name: target})
		return
	}
	missing := ""
	switch {
	case kind == "pool" && !g.service:
		missing = "an active server of the pool"
	case kind == "model" && !g.prefill:
		missing = "an active server that prefills"
	case kind == "model" && !g.decode:
		missing = "an active server that decodes"
	}
	if missing != "" {
		c.faults = append(c.faults, &UnservedRouteError{Position: pos, Target: target, Missing: missing})
	}
}
