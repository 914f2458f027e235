// Command quotabench measures wrongful refusals, overshoot and control traffic of the quota service on a fake clock, in
// comparison with a static split of the rate and with a full bucket on each host. It prints tables and a line of JSON.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/rules"
)

const (
	workspaceName = "ws"
	// rate and burst are the limits of the measured workspace, in tokens per second and in tokens.
	rate  = int64(100_000)
	burst = int64(2_000_000)
	seeds = 5
)

// result is one row of the table. Counts are summed over the seeds.
type result struct {
	Traffic, Fault, Design string
	Requests               int64
	Refused                int64
	// Wrongful counts requests that were refused although an ideal central bucket that receives the same
	// requests admits them. Extra counts the reverse: requests that were admitted although the ideal bucket,
	// which spent its tokens on other requests, refuses them.
	Wrongful, Extra int64
	// WrongfulPercent and NetPercent are percentages of all requests. NetPercent is Wrongful minus Extra: how many
	// requests fewer the design admits than the ideal bucket.
	WrongfulPercent, NetPercent float64
	// Overshoot is the largest amount, in tokens, by which the use in any time window exceeded
	// burst + rate * window.
	Overshoot int64
}

// traffic is the control traffic between the hosts of a fleet that refuses no requests.
type traffic struct {
	Hosts, Workspaces int
	// Messages and Bytes are per host and second.
	Messages, Bytes float64
}

func main() {
	all := func(string, string) (bool, error) { return true, nil }
	// The fake clock of testing/synctest needs a *testing.T, which exists only in a test run.
	testing.Main(all, []testing.InternalTest{{Name: "quotabench", F: func(t *testing.T) {
		rows := measureRefusals(t)
		printResults(rows, measureTraffic(t))
	}}}, nil, nil)
}

func printResults(rows []result, control []traffic) {
	fmt.Printf("%-9s %-13s %-8s %9s %9s %9s %9s %9s %10s\n",
		"traffic", "fault", "design", "requests", "refused", "wrongful", "percent", "net", "overshoot")
	for _, r := range rows {
		fmt.Printf("%-9s %-13s %-8s %9d %9d %9d %8.3f%% %8.3f%% %10d\n", r.Traffic, r.Fault, r.Design,
			r.Requests, r.Refused, r.Wrongful, r.WrongfulPercent, r.NetPercent, r.Overshoot)
	}
	fmt.Printf("\n%6s %11s %14s %14s\n", "hosts", "workspaces", "messages/host/s", "bytes/host/s")
	for _, c := range control {
		fmt.Printf("%6d %11d %14.1f %14.0f\n", c.Hosts, c.Workspaces, c.Messages, c.Bytes)
	}
	if err := json.NewEncoder(os.Stdout).Encode(map[string]any{"refusals": rows, "traffic": control}); err != nil {
		os.Exit(1)
	}
}

func measureRefusals(t *testing.T) []result {
	var rows []result
	for _, kind := range []string{"balanced", "overload", "skewed"} {
		for _, fault := range []string{"none", "zone-cut", "host-death", "store-outage"} {
			for _, design := range []string{"quota", "static", "full"} {
				rows = append(rows, measure(t, kind, fault, design))
			}
		}
	}
	return rows
}

// measure runs all seeds in parallel and sums up their results.
func measure(t *testing.T, kind, fault, design string) result {
	row := result{Traffic: kind, Fault: fault, Design: design}
	parts := make([]result, seeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range parts {
			t.Run("seed", func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(*testing.T) { parts[seed] = run(kind, fault, design, uint64(seed)) })
			})
		}
	})
	for _, p := range parts {
		row.Requests += p.Requests
		row.Refused += p.Refused
		row.Wrongful += p.Wrongful
		row.Extra += p.Extra
		row.Overshoot = max(row.Overshoot, p.Overshoot)
	}
	row.WrongfulPercent = 100 * float64(row.Wrongful) / float64(row.Requests)
	row.NetPercent = 100 * float64(row.Wrongful-row.Extra) / float64(row.Requests)
	return row
}

// measuredHosts returns five hosts in four zones.
func measuredHosts() []host.ID { return hostsIn(5, 4) }

func hostsIn(hosts, zones int) []host.ID {
	var ids []host.ID
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		ids = append(ids, host.ID{Name: name, Addr: name, Zone: fmt.Sprintf("z%d", i%zones), Incarnation: 1})
	}
	return slices.Clip(ids)
}

func oneWorkspace() []*rules.Workspace {
	return []*rules.Workspace{{Name: workspaceName, Rate: rate, Burst: burst}}
}
