// Package placement chooses backend servers for requests and reserves capacity on them.
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
	// Weight is the workspace's rate in tokens per second; fairness counts tokens divided by it.
	Weight   int64
	Priority int
	Model    string
	Class    rules.Class
	// PromptTokens and MaxOutputTokens are estimates in tokens.
	PromptTokens, MaxOutputTokens int64
	// PrefixBlocks are the hashes of the prompt's prefix blocks, shortest prefix first.
	PrefixBlocks []uint64
	// Exclude lists backend servers that failed this request.
	Exclude []string
	// Arrived is when the request reached this host; deadlines count from it.
	Arrived time.Time
}

// Placement is a reserved pair of backend servers. Prefill and Decode are the same server when an engine does both.
type Placement struct {
	Prefill, Decode *rules.Server
	// CachedTokens is the expected prefix-cache hit on Prefill, in tokens.
	CachedTokens int64
	// Transfer is the predicted time of the KV transfer from its start to its end, behind what this host has on the
	// link. It is zero when both servers are the same, or when there is no prediction.
	Transfer time.Duration
	// ReleasePrefill and ReleaseDecode free the reservations; they may be called repeatedly.
	ReleasePrefill, ReleaseDecode func()
}

// Placer places requests. It is safe for concurrent use.
type Placer interface {
	// Place reserves a decode slot for the time that the prefill will finish, and the prefill. Errors are
	// *NoServerError, *DeadlineError and *QueueFullError; nothing is reserved then.
	Place(ctx context.Context, snap *config.Snapshot, r Request) (*Placement, error)
	// PlaceDecode reserves another decode server for a KV cache that exists already on prefill.
	PlaceDecode(ctx context.Context, snap *config.Snapshot, r Request, prefill *rules.Server) (*Placement, error)
	// PlaceService chooses a plain service of a pool.
	PlaceService(ctx context.Context, snap *config.Snapshot, pool string, exclude []string) (*rules.Server, func(), error)
	// Observe feeds back how long a stage took on a server, or that it failed.
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

// Observation is the measured duration of one stage.
type Observation struct {
	Server   string
	Stage    Stage
	Tokens   int64
	Duration time.Duration
	Failed   bool
}
