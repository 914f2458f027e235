package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/go-logr/logr"

	"github.com/boragecourse/boragecourse/internal/cacheindex"
	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
	"github.com/boragecourse/boragecourse/test/standin/memnet"
)

// targetHosts is the number of hosts at the target size.
const targetHosts = 350

// viewer is a membership.Viewer with a fixed epoch.
type viewer struct {
	self  host.ID
	epoch membership.Epoch
}

func (v *viewer) Self() host.ID                  { return v.self }
func (v *viewer) Epoch() membership.Epoch        { return v.epoch }
func (v *viewer) CheckAuthority(time.Time) error { return nil }
func (v *viewer) Reachable(host.ID) bool         { return true }

// MeasureServers measures the memory and the CPU time of the placement service for a number of backend servers, with
// the target number of hosts.
func MeasureServers(r *Report, servers int) error {
	v := &viewer{epoch: membership.Epoch{Number: 1}}
	for i := range targetHosts {
		v.epoch.Hosts = append(v.epoch.Hosts, host.ID{Name: fmt.Sprintf("host-%03d", i), Zone: zoneName(i % Zones), Incarnation: 1})
	}
	v.self = v.epoch.Hosts[0]
	f := Fleet{Size: Size{Zones: Zones}}
	var all []rules.Rule
	for i := range servers {
		name, role := f.serverName(i)
		all = append(all, &rules.Server{
			Name: name, Addr: serverAddr(i), Zone: zoneName(i % Zones), Role: rules.Role(role), Model: model, Slots: slots,
		})
	}
	snap := config.NewSnapshot(1, all)
	before, cpu := heapBytes(), cpuTime()
	s := placement.New(placement.Deps{Viewer: v, Dialer: memnet.New().Node("a"), Log: logr.Discard()}, placement.Options{})
	// The pool is empty, so the call fails. It only makes the service process the snapshot and the epoch.
	_, _, err := s.PlaceService(context.Background(), snap, "none", nil)
	took := cpuTime() - cpu
	if err == nil {
		return &placement.NoServerError{Pool: "none"}
	}
	r.Add("placement: memory of the view and of the own books", "servers", "MB", float64(servers), (heapBytes()-before)/1e6)
	r.Add("placement: CPU of a new snapshot or epoch", "servers", "ms", float64(servers), thousand*took.Seconds())
	runtime.KeepAlive(s)
	runtime.KeepAlive(snap)
	return nil
}

// MeasureCache measures the prefix-cache index with the same number of entries for each of ten servers. At the target
// size each host is the home host of about ten servers.
func MeasureCache(r *Report, entries int) {
	const servers = 10
	before := heapBytes()
	x := cacheindex.New(0, 0)
	now := time.Now()
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // Sampling needs no secret.
	cpu := cpuTime()
	blocks := make([]uint64, 1)
	for i := range servers {
		for range entries {
			blocks[0] = random.Uint64()
			x.Hint(fmt.Sprint("server-", i), now, blocks)
		}
	}
	took := cpuTime() - cpu
	kept := 0
	for i := range servers {
		kept += x.Len(fmt.Sprint("server-", i))
	}
	r.Add("cache index: memory", "entries", "MB", float64(kept), (heapBytes()-before)/1e6)
	r.Add("cache index: CPU of insertion", "entries", "ms", float64(kept), thousand*took.Seconds())
	runtime.KeepAlive(x)
}
