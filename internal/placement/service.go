package placement

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/engine"
	"github.com/boragecourse/boragecourse/internal/membership"
	"github.com/boragecourse/boragecourse/internal/metrics"
	"github.com/boragecourse/boragecourse/internal/peer"
	"github.com/boragecourse/boragecourse/internal/rules"
	peerv1 "github.com/boragecourse/boragecourse/proto/peer/v1"
)

// Deps are the dependencies of a Service. Viewer and Dialer are required. Without Config the snapshot passed to Place
// is used; without Engines no server is polled.
type Deps struct {
	Viewer  membership.Viewer
	Dialer  peer.Dialer
	Config  config.Reader
	Engines engine.Directory
	Metrics *metrics.Registry
	Log     logr.Logger
}

// Service implements Placer on one host and serves as the home host of some servers. It is safe for concurrent use.
type Service struct {
	peerv1.UnimplementedPlacementServer

	opt         Options
	viewer      membership.Viewer
	dialer      peer.Dialer
	config      config.Reader
	engines     engine.Directory
	metrics     *metrics.Registry
	log         logr.Logger
	ownInflight inflight

	mu        sync.Mutex
	view      *view
	homeState *homeState
	// held are this host's open reservations by ID.
	held map[string]*heldReservation
	// knownIncarnations holds the incarnations of all epochs received so far, with the time when each was last
	// recorded. unknownOwners holds the owners reported by engines that are in none of these epochs, with the time
	// of the first report.
	knownIncarnations map[OwnerID]time.Time
	unknownOwners     map[OwnerID]time.Time
	lastID            uint64
	// waiting counts the wait-class requests in Place.
	waiting int
}

// heldReservation is a reservation that this host owns, with the request that it lists in renewals.
type heldReservation struct {
	request ReservationRequest
	server  string
	since   time.Time
}

// New returns a service. Call Register before the peer server starts, and run Serve.
func New(d Deps, o Options) *Service {
	o = o.withDefaults()
	s := &Service{
		opt: o, viewer: d.Viewer, dialer: d.Dialer, config: d.Config, engines: d.Engines, metrics: d.Metrics, log: d.Log,
		homeState: newHomeState(o), held: map[string]*heldReservation{}, knownIncarnations: map[OwnerID]time.Time{}, unknownOwners: map[OwnerID]time.Time{},
	}
	s.view = newView(&s.opt)
	return s
}

// Register adds the Placement gRPC service to the peer server.
func (s *Service) Register(r grpc.ServiceRegistrar) { peerv1.RegisterPlacementServer(r, s) }

// Observe implements Placer. A failure, except of a transfer, makes this host avoid the server for a while.
func (s *Service) Observe(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.view.servers[o.Server]; v != nil {
		v.observe(time.Now(), o, s.opt.DownBackoff)
	}
	if o.Failed {
		s.metrics.Inc(metricFailures, metrics.L("stage", string(o.Stage)))
	}
}

// PlaceService implements Placer: it draws two servers at random and takes the one with fewer calls of this host in
// flight per slot. It prefers servers of this host's zone that are not down, then any that are not down, then the
// others.
func (s *Service) PlaceService(_ context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error) {
	all := usable(snap.Pool(pool), StageService, exclude)
	up, sameZone := s.availableServers(snap, all)
	for _, servers := range [][]*rules.Server{sameZone, up, all} {
		if server := twoChoices(servers, s.ownLoad(StageService)); server != nil {
			return server, s.ownInflight.add(server.Name, StageService), nil
		}
	}
	return nil, nil, s.countRefusal(&NoServerError{Pool: pool, Evacuated: poolEvacuated(snap, pool)})
}

// availableServers returns the servers that are not down, and those of them in this host's zone.
func (s *Service) availableServers(snap *config.Snapshot, all []*rules.Server) (up, sameZone []*rules.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.syncLocked(now, snap)
	for _, r := range all {
		if v := s.view.servers[r.Name]; v != nil && v.down(now) {
			continue
		}
		up = append(up, r)
		if r.Zone == s.viewer.Self().Zone {
			sameZone = append(sameZone, r)
		}
	}
	return up, sameZone
}

func (s *Service) ownLoad(stage Stage) func(*rules.Server) float64 {
	return func(r *rules.Server) float64 {
		return float64(s.ownInflight.get(r.Name, stage)) / float64(max(r.Slots, 1))
	}
}

func (s *Service) snapshot() *config.Snapshot {
	if s.config == nil {
		return nil
	}
	return s.config.Current()
}

// installed returns the installed snapshot, or the given one without a configuration.
func (s *Service) installed(snap *config.Snapshot) *config.Snapshot {
	if installed := s.snapshot(); installed != nil {
		return installed
	}
	return snap
}

// newIDLocked returns the next reservation ID; the owner in it makes it unique among all hosts.
func (s *Service) newIDLocked() ReservationID {
	s.lastID++
	return ReservationID{Owner: ownerOf(s.viewer.Self()), ID: strconv.FormatUint(s.lastID, 36)}
}

var _ Placer = (*Service)(nil)
