package users

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// HostSpec holds the settings that the platform gives one host.
type HostSpec struct {
	Name, Zone, IP string
	// Front, Ready and Control are listening addresses; Store is the address of the key-value store.
	Front, Ready, Control, Store string
	// Seeds are the control addresses of hosts to contact at start.
	Seeds []string
	// Bootstrap is set on the first start of the fleet.
	Bootstrap bool
	// Contracts lists the conditions under which the fleet serves.
	Contracts []string
	// MemoryMB is the host's memory, 134 if it is 0.
	MemoryMB int
}

// Write writes the host's settings file.
func (h HostSpec) Write(path string) error {
	text := fmt.Sprintf(`nodeName = %q
ip = %q
zone = %q
seeds = [%s]
contracts = [%s]
heartbeatMs = 1200
bootstrap = %t
unknownField = "ignored"
[listen]
front = %q
ready = %q
control = %q
[limits]
memoryMb = %d
[bounds]
reuseAfterS = 2
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetMinRetries = 56
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 1000
evacuateMs = 5000
coldOver = 1.5
coldSlack = 5
leaseMs = 3000
[platform]
address = %q
`, h.Name, h.IP, h.Zone, quoted(h.Seeds), quoted(h.Contracts), h.Bootstrap, h.Front, h.Ready, h.Control, cmp.Or(h.MemoryMB, 134), h.Store)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// quoted returns the elements of a list of strings in TOML.
func quoted(list []string) string {
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = strconv.Quote(s)
	}
	return strings.Join(out, ",")
}

// Route returns a route of a configuration with the path prefix /name/. Entries of extra override the defaults.
func Route(name, host, kind, service string, attempts int, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeoutMs": 3000, "targetLatencyMs": 900,
		"priority": 1, "service": service, "attempts": attempts, "allowAnonymous": false,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// Tenant returns a workspace of a configuration; rate is its rate in tokens per second and its burst in tokens.
func Tenant(name string, keys []string, rate int) map[string]any {
	return map[string]any{
		"name": name, "apiKeys": keys, "unit": "token_stream", "plainTokens": 10, "ratePerS": rate, "burst": rate,
	}
}

// Configuration returns a configuration with two services: the plain service app with the routes view, reserve and
// open, and the inference engines llm with the routes ask, whose streams can be resumed, and note, whose streams
// cannot.
func Configuration(host string, tenants ...any) map[string]any {
	return map[string]any{
		"routes": []any{
			Route("view", host, "safe", "app", 2, nil), Route("reserve", host, "unsafe", "app", 1, nil),
			Route("ask", host, "stream", "llm", 2, map[string]any{"canResume": true, "targetGapMs": 300}),
			Route("note", host, "stream", "llm", 1, map[string]any{"canResume": false, "targetGapMs": 300}),
			Route("open", host, "safe", "app", 2, map[string]any{"allowAnonymous": true}),
		},
		"services": []any{
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConns": 100},
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConns": 100, "engine": map[string]any{
				"slots": 4, "kvCapacity": 100000, "stride": 10, "handleTtlS": 0.5, "roleSwitchS": 6.0, "holdMs": 2000.0,
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}
}
