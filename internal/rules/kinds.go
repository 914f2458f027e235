package rules

import (
	"encoding/hex"
	"net/netip"
	"strconv"
	"strings"
)

// Default values of omitted attributes.
const (
	// DefaultShare is the default weight of a zone.
	DefaultShare = 1
	// DefaultSlots is the default number of concurrent requests of a backend server. The decode engines of both
	// fleets process about twenty.
	DefaultSlots = 20
	// DefaultCost is the default charge for one call to a plain HTTP service, in tokens.
	DefaultCost = 1
)

// Limits of values.
const (
	// MaxName is the maximum length of a name in bytes.
	MaxName = 128
	// MaxTokens bounds rates, bursts and costs, so that sums over the buckets of a fleet do not overflow 64 bits.
	MaxTokens = 1_000_000_000_000
	// MaxShare bounds the weight of a zone and MaxSlots the slots of a backend server.
	MaxShare = 1_000_000
	MaxSlots = 100_000
	// MaxPriority bounds the absolute value of priorities.
	MaxPriority = 1_000_000
)

// kind describes one kind of rule. The parser and the canonical formatter use the same description.
type kind struct {
	keyword string
	newRule func(Origin) Rule
	subject attribute
	attrs   []attribute
	// check finds conflicts between the attributes of a rule. It returns the attribute whose position is reported,
	// what was expected and what was found; an empty expected means no fault.
	check func(Rule) (attr, expected, found string)
}

// attribute describes one NAME=VALUE argument of a rule, or its subject, the first argument.
type attribute struct {
	name, expected string
	required       bool
	// set stores the value and reports whether it is valid.
	set func(Rule, string) bool
	// get returns the value in canonical form, or "" if it is the default.
	get func(Rule) string
}

const (
	expectName   = "a name of letters, digits and ._- with at most 128 bytes"
	expectModel  = "a name of letters, digits and ._-/: with at most 128 bytes"
	expectTokens = "a whole number of tokens from 1 to 1000000000000"
	expectYesNo  = "yes or no"
)

var kinds = []*kind{zoneKind, workspaceKind, keyKind, serverKind, routeKind, evacuationKind}

var kindByKeyword = func() map[string]*kind {
	m := map[string]*kind{}
	for _, k := range kinds {
		m[k.keyword] = k
	}
	return m
}()

func kindOf(r Rule) *kind {
	switch r.(type) {
	case *Zone:
		return zoneKind
	case *Workspace:
		return workspaceKind
	case *Key:
		return keyKind
	case *Server:
		return serverKind
	case *Evacuation:
		return evacuationKind
	default:
		return routeKind
	}
}

var zoneKind = &kind{
	keyword: "zone",
	newRule: func(o Origin) Rule { return &Zone{Origin: o, Share: DefaultShare} },
	subject: nameAttr("zone", true, func(r Rule) *string { return &r.(*Zone).Name }),
	attrs: []attribute{
		nameAttr("region", true, func(r Rule) *string { return &r.(*Zone).Region }),
		numberAttr("share", "a whole number from 1 to 1000000", 1, MaxShare, DefaultShare,
			func(r Rule) *int64 { return &r.(*Zone).Share }),
	},
}

var workspaceKind = &kind{
	keyword: "workspace",
	newRule: func(o Origin) Rule { return &Workspace{Origin: o, Isolated: IsolatedRefuse} },
	subject: nameAttr("workspace", true, func(r Rule) *string { return &r.(*Workspace).Name }),
	attrs: []attribute{
		{
			name: "rate", expected: "a whole number of tokens per second from 1 to 1000000000000, as in 2000/s", required: true,
			set: func(r Rule, v string) bool {
				digits, ok := strings.CutSuffix(v, "/s")
				return ok && setNumber(&r.(*Workspace).Rate, digits, 1, MaxTokens)
			},
			get: func(r Rule) string { return strconv.FormatInt(r.(*Workspace).Rate, 10) + "/s" },
		},
		{
			name: "burst", expected: expectTokens, required: true,
			set: func(r Rule, v string) bool { return setNumber(&r.(*Workspace).Burst, v, 1, MaxTokens) },
			get: func(r Rule) string { return strconv.FormatInt(r.(*Workspace).Burst, 10) },
		},
		enumAttr("isolated", []IsolatedPolicy{IsolatedRefuse, IsolatedServe}, false,
			func(r Rule) *IsolatedPolicy { return &r.(*Workspace).Isolated }),
		{
			name: "priority", expected: "a whole number from -1000000 to 1000000",
			set: func(r Rule, v string) bool {
				var n int64
				ok := setNumber(&n, v, -MaxPriority, MaxPriority)
				r.(*Workspace).Priority = int(n)
				return ok
			},
			get: func(r Rule) string { return unlessDefault(int64(r.(*Workspace).Priority), 0) },
		},
	},
}

var keyKind = &kind{
	keyword: "key",
	newRule: func(o Origin) Rule { return &Key{Origin: o} },
	subject: nameAttr("key", true, func(r Rule) *string { return &r.(*Key).Workspace }),
	attrs: []attribute{
		{
			name: "sha256", expected: "64 lower-case hexadecimal digits", required: true,
			set: func(r Rule, v string) bool {
				hash := &r.(*Key).Hash
				if len(v) != hex.EncodedLen(len(hash)) || strings.ToLower(v) != v {
					return false
				}
				_, err := hex.Decode(hash[:], []byte(v))
				return err == nil
			},
			get: func(r Rule) string { return hex.EncodeToString(r.(*Key).Hash[:]) },
		},
		nameAttr("id", true, func(r Rule) *string { return &r.(*Key).KeyID }),
	},
}

var serverKind = &kind{
	keyword: "server",
	newRule: func(o Origin) Rule {
		return &Server{Origin: o, Slots: DefaultSlots, State: ServerActive, Fencing: FencingUnchecked}
	},
	subject: nameAttr("server", true, func(r Rule) *string { return &r.(*Server).Name }),
	attrs: []attribute{
		nameAttr("zone", true, func(r Rule) *string { return &r.(*Server).Zone }),
		{
			name: "addr", expected: "an address as ip:port", required: true,
			set: func(r Rule, v string) bool {
				ap, err := netip.ParseAddrPort(v)
				r.(*Server).Addr = v
				return err == nil && ap.Port() != 0 && ap.String() == v
			},
			get: func(r Rule) string { return r.(*Server).Addr },
		},
		enumAttr("role", []Role{RolePrefill, RoleDecode, RoleBoth, RoleService}, true,
			func(r Rule) *Role { return &r.(*Server).Role }),
		modelAttr(func(r Rule) *string { return &r.(*Server).Model }),
		nameAttr("pool", false, func(r Rule) *string { return &r.(*Server).Pool }),
		{
			name: "slots", expected: "a whole number from 1 to 100000",
			set: func(r Rule, v string) bool {
				var n int64
				ok := setNumber(&n, v, 1, MaxSlots)
				r.(*Server).Slots = int(n)
				return ok
			},
			get: func(r Rule) string { return unlessDefault(int64(r.(*Server).Slots), DefaultSlots) },
		},
		enumAttr("state", []ServerState{ServerActive, ServerLeaving}, false,
			func(r Rule) *ServerState { return &r.(*Server).State }),
		enumAttr("fencing", []Fencing{FencingUnchecked, FencingChecked}, false,
			func(r Rule) *Fencing { return &r.(*Server).Fencing }),
	},
	check: checkServer,
}

func checkServer(r Rule) (attr, expected, found string) {
	s := r.(*Server)
	switch {
	case s.Role == RoleService && s.Pool == "":
		return "role", "pool= on a server with role=service", "none"
	case s.Role == RoleService && s.Model != "":
		return "model", "no model= on a server with role=service", "model=" + s.Model
	case s.Role != RoleService && s.Model == "":
		return "role", "model= on a server with role=" + string(s.Role), "none"
	case s.Role != RoleService && s.Pool != "":
		return "pool", "no pool= on a server with role=" + string(s.Role), "pool=" + s.Pool
	}
	return "", "", ""
}

var routeKind = &kind{
	keyword: "route",
	newRule: func(o Origin) Rule { return &Route{Origin: o, Class: ClassLatency, Cost: DefaultCost} },
	subject: attribute{
		name: "route", expected: "a path that starts with / and may end in /*", required: true,
		set: func(r Rule, v string) bool { r.(*Route).Path = v; return validPath(v) },
		get: func(r Rule) string { return r.(*Route).Path },
	},
	attrs: []attribute{
		modelAttr(func(r Rule) *string { return &r.(*Route).Model }),
		nameAttr("pool", false, func(r Rule) *string { return &r.(*Route).Pool }),
		boolAttr("repeatable", func(r Rule) *bool { return &r.(*Route).Repeatable }),
		boolAttr("open", func(r Rule) *bool { return &r.(*Route).Open }),
		enumAttr("class", []Class{ClassLatency, ClassWait}, false, func(r Rule) *Class { return &r.(*Route).Class }),
		numberAttr("cost", expectTokens, 1, MaxTokens, DefaultCost, func(r Rule) *int64 { return &r.(*Route).Cost }),
	},
	check: checkRoute,
}

var evacuationKind = &kind{
	keyword: "evacuate",
	newRule: func(o Origin) Rule { return &Evacuation{Origin: o} },
	subject: nameAttr("evacuate", true, func(r Rule) *string { return &r.(*Evacuation).Zone }),
}

func checkRoute(r Rule) (attr, expected, found string) {
	route := r.(*Route)
	switch {
	case route.Model == "" && route.Pool == "":
		return "", "model= or pool=", "neither"
	case route.Model != "" && route.Pool != "":
		return "pool", "either model= or pool=", "both"
	case route.Model != "" && route.Cost != DefaultCost:
		return "cost", "cost= only on a route with pool=", "model=" + route.Model
	}
	return "", "", ""
}
