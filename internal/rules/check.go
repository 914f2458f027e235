package rules

import (
	"slices"
	"strings"
)

// Check checks rules that were parsed in parts as one file. The error is a *FileError with every fault.
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

// serving says what the active servers of a model or pool can do.
type serving struct {
	prefill, decode, service bool
}

type checker struct {
	name       string
	zones      map[string]int
	workspaces map[string]int
	keyIDs     map[[2]string]int
	hashes     map[KeyHash]int
	servers    map[string]int
	addrs      map[string]int
	models     map[string]*serving
	pools      map[string]*serving
	paths      map[string][]*Route
	faults     []Fault
}

func check(name string, all []Rule) []Fault {
	c := &checker{
		name: name, zones: map[string]int{}, workspaces: map[string]int{}, keyIDs: make(map[[2]string]int, len(all)/2),
		hashes: make(map[KeyHash]int, len(all)/2), servers: map[string]int{}, addrs: map[string]int{},
		models: map[string]*serving{}, pools: map[string]*serving{}, paths: map[string][]*Route{},
	}
	for _, r := range all {
		c.declare(r)
	}
	for _, r := range all {
		c.resolve(r)
	}
	return c.faults
}

// position returns where an attribute's value stands, or the rule's start when the attribute is "".
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

func unique[K comparable](c *checker, seen map[K]int, k K, o Origin, attr string, what func() string) {
	if first, ok := seen[k]; ok {
		c.faults = append(c.faults, &DuplicateError{Position: c.position(o, attr), What: what(), FirstLine: first})
		return
	}
	seen[k] = o.Line
}

func (c *checker) declare(r Rule) {
	switch r := r.(type) {
	case *Zone:
		unique(c, c.zones, r.Name, r.Origin, "", r.ID)
	case *Workspace:
		unique(c, c.workspaces, r.Name, r.Origin, "", r.ID)
	case *Key:
		unique(c, c.keyIDs, [2]string{r.Workspace, r.KeyID}, r.Origin, "", r.ID)
		unique(c, c.hashes, r.Hash, r.Origin, "sha256", func() string { return "the key's sha256" })
	case *Server:
		unique(c, c.servers, r.Name, r.Origin, "", r.ID)
		unique(c, c.addrs, r.Addr, r.Origin, "addr", func() string { return "addr " + r.Addr })
		c.declareServing(r)
	case *Route:
		c.declareRoute(r)
	}
}

func (c *checker) declareServing(s *Server) {
	group, name := c.models, s.Model
	if s.Role == RoleService {
		group, name = c.pools, s.Pool
	}
	if group[name] == nil {
		group[name] = &serving{}
	}
	if s.State == ServerLeaving {
		return
	}
	g := group[name]
	g.prefill = g.prefill || s.Role == RolePrefill || s.Role == RoleBoth
	g.decode = g.decode || s.Role == RoleDecode || s.Role == RoleBoth
	g.service = g.service || s.Role == RoleService
}

// declareRoute refuses two routes between which a request could not choose: the same path and model, or a
// pool beside anything else on the same path.
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
