// Package placement chooses backend servers for requests and reserves capacity on them.
//
// Each backend server has a home host: the host of its availability zone to which rendezvous hashing assigns it. The
// home host keeps the server's reservations and grants, queues or denies the reservation requests of all hosts.
package placement

import (
	"context"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Request describes the work to place.
type Request struct {
	ID        string
	Workspace string
	// Weight is the workspace's rate in tokens per second; fair sharing divides granted tokens by it.
	Weight   int64
	Priority int
	Model    string
	Class    rules.Class
	// PromptTokens and MaxOutputTokens are estimates in tokens.
	PromptTokens, MaxOutputTokens int64
	// PrefixBlocks are the hashes of the prompt's prefix blocks, shortest prefix first.
	PrefixBlocks []uint64
	// Exclude lists the names of backend servers on which this request has already failed.
	Exclude []string
	// Arrived is when the request reached this host. The first-token deadline counts from it.
	Arrived time.Time
}

// Placement is a reserved pair of backend servers. Prefill and Decode are the same server when one engine runs both
// stages.
type Placement struct {
	Prefill, Decode *rules.Server
	// CachedTokens is the expected prefix-cache hit on Prefill, in tokens.
	CachedTokens int64
	// Transfer is the predicted duration of the KV cache transfer, including the delay by transfers that this host has
	// already planned on the same link. It is zero when both servers are the same or when there is no prediction.
	Transfer time.Duration
	// ReleasePrefill and ReleaseDecode free the reservations. Repeated calls have no effect.
	ReleasePrefill, ReleaseDecode func()
}

// Placer places requests. It is safe for concurrent use.
type Placer interface {
	// Place reserves a decode slot from the predicted end of the prefill on, and the prefill itself. On error nothing
	// stays reserved; errors are *NoServerError, *DeadlineError, *QueueFullError or a wrapped context error.
	Place(ctx context.Context, snap *config.Snapshot, r Request) (*Placement, error)
	// PlaceDecode reserves another decode server for a KV cache that already exists on prefill.
	PlaceDecode(ctx context.Context, snap *config.Snapshot, r Request, prefill *rules.Server) (*Placement, error)
	// PlaceService chooses a server of a pool of plain services. The caller must call the returned function when the call
	// to the server has ended.
	PlaceService(ctx context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error)
	// Observe updates the cost estimates and the health of a server with a measured stage.
	Observe(o Observation)
}

// Stage is a step of a request on a backend server.
type Stage string

// Stages of a request.
const (
	StagePrefill  Stage = "prefill"
	StageTransfer Stage = "transfer"
	StageDecode   Stage = "decode"
	StageService  Stage = "service"
)

// Observation is the measured duration of one stage on one server.
type Observation struct {
	Server   string
	Stage    Stage
	Tokens   int64
	Duration time.Duration
	Failed   bool
}
