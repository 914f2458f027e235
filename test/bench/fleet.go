// Package bench compares placement policies in a simulation of both fleets, on the fake clock of testing/synctest.
package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/boragecourse/boragecourse/internal/config"
	"github.com/boragecourse/boragecourse/internal/host"
	"github.com/boragecourse/boragecourse/internal/placement"
	"github.com/boragecourse/boragecourse/internal/rules"
)

// Parameters of the engine model.
const (
	slots = 20
	// stepBase and stepPerStream give a decode step of 28 ms when all slots are in use.
	stepBase      = 16 * time.Millisecond
	stepPerStream = 600 * time.Microsecond
	// prefillPerToken is such that a prompt of 3,300 tokens costs as much as 58 output tokens of a full batch.
	prefillPerToken = 25 * time.Microsecond
	prefillBase     = 4 * time.Millisecond
	// chunkTokens is the largest number of prompt tokens that an engine of role both adds to one decode step.
	chunkTokens = 512
	// kvLifetime is the time after which an exported KV cache expires.
	kvLifetime = 800 * time.Millisecond
	// linkPerToken is the transfer time per prompt token within a zone, crossPerToken between two zones. Each
	// ordered pair of zones has one link, and a link carries one transfer at a time.
	linkPerToken  = 4 * time.Microsecond
	crossPerToken = 8 * time.Microsecond
	// cacheBlocks is the size of an engine's prefix cache: 307,200 tokens.
	cacheBlocks = 600
	blockTokens = 512
	// reportLag is the period of load reports and the delay of cache events.
	reportLag = 200 * time.Millisecond
	// engineQueue is the largest number of prompts that wait for prefill at one engine.
	engineQueue = 32
)

// Parameters of the runs.
const (
	firstTokenTarget = 310 * time.Millisecond
	tokenTarget      = 40 * time.Millisecond
	// callerTimeout is how long callers of the latency class wait for the first token.
	callerTimeout = 2 * time.Second
	warmUp        = 10 * time.Second
	runLength     = 60 * time.Second
	faultAt       = 25 * time.Second
	// epochDelay is the time from the loss of a host to the epoch without it, redirectDelay the time until callers use
	// other hosts.
	epochDelay    = 5 * time.Second
	redirectDelay = time.Second
	model         = "keeper-llm"
	// documents is the number of documents of each workspace.
	documents = 30
	// systemBlock is the number of blocks of the system prompt that short prompts of a workspace share.
	systemBlock = 1
)

// Fleet describes one of the two fleets for which the system is designed.
type Fleet struct {
	Name  string
	Hosts []host.ID
	// Prefill and Decode list the zone of each engine.
	Prefill, Decode []string
	// Latency is the one-way delay between zones.
	Latency time.Duration
	// WaitShare is the fraction of requests in the wait class.
	WaitShare float64
	// LostServer, LostHost and PartitionedZone name the engine that fails, the host that fails and the zone that is
	// partitioned in the fault cases.
	LostServer, LostHost, PartitionedZone string
}

// Shares are the rates of the five workspaces as fractions of the fleet's capacity.
var Shares = []float64{0.32, 0.28, 0.20, 0.12, 0.08}

// Fleets returns the two fleets. A request occupies a prefill server for about a twentieth of the time that it occupies
// one of a decode server's twenty slots, so prefill needs roughly half as many servers as decode. Svetilnik has 3
// prefill and 5 decode engines with at least one decode engine in each zone; Gommapulita has 3 and 6, one prefill and
// two decode engines in each zone. Plain services are not simulated.
func Fleets() []Fleet {
	return []Fleet{
		{
			Name:    "svetilnik",
			Hosts:   hosts("piran-a", "piran-b", "koper-a", "izola-a"),
			Prefill: []string{"piran-a", "koper-a", "izola-a"},
			Decode:  []string{"piran-a", "piran-b", "piran-b", "koper-a", "izola-a"},
			Latency: 500 * time.Microsecond, WaitShare: 0.6,
			LostServer: "decode-1", LostHost: "h1", PartitionedZone: "koper-a",
		},
		{
			Name:    "gommapulita",
			Hosts:   hosts("porto-pa", "porto-pa", "centro-pa", "trapani-mare"),
			Prefill: []string{"porto-pa", "centro-pa", "trapani-mare"},
			Decode:  []string{"porto-pa", "porto-pa", "centro-pa", "centro-pa", "trapani-mare", "trapani-mare"},
			Latency: 900 * time.Microsecond, WaitShare: 0.4,
			LostServer: "decode-1", LostHost: "h2", PartitionedZone: "trapani-mare",
		},
	}
}

func hosts(zones ...string) []host.ID {
	var out []host.ID
	for i, z := range zones {
		name := fmt.Sprintf("h%d", i)
		out = append(out, host.ID{Name: name, Addr: name + ":1", Zone: z, Incarnation: uint64(i + 1)})
	}
	return out
}

// snapshot returns the configuration of the fleet. If both is true, every engine has role both, as the colocated
// baseline needs.
func (f *Fleet) snapshot(both bool) *config.Snapshot {
	var all []rules.Rule
	add := func(role rules.Role, zones []string) {
		for i, z := range zones {
			name := fmt.Sprintf("%s-%d", role, i)
			s := &rules.Server{Name: name, Addr: name, Zone: z, Role: role, Model: model, Slots: slots}
			if both {
				s.Role = rules.RoleBoth
			}
			all = append(all, s)
		}
	}
	add(rules.RolePrefill, f.Prefill)
	add(rules.RoleDecode, f.Decode)
	return config.NewSnapshot(1, all)
}

// Sizes of prompts and answers, drawn uniformly; in tokens except documentSize.
var (
	shortPrompt  = sizeRange{128, 1536}
	shortAnswer  = sizeRange{40, 128}
	question     = sizeRange{64, 256}
	documentSize = sizeRange{4, 16} // blocks
	longAnswer   = sizeRange{80, 200}
)

type sizeRange struct{ from, to int64 }

func (s sizeRange) draw(r *rand.Rand) int64 { return s.from + r.Int64N(s.to-s.from+1) }

func (s sizeRange) mean() float64 { return float64(s.from+s.to) / 2 }

// Capacity returns the analytic upper bound of the request rate, in requests per second, with all decode slots in use
// all the time and every document cached.
func (f *Fleet) Capacity(prefill, decode int) float64 {
	tokens := f.WaitShare*longAnswer.mean() + (1-f.WaitShare)*shortAnswer.mean()
	step := stepBase + slots*stepPerStream
	byDecode := float64(decode*slots) / (tokens * step.Seconds())
	prompt := f.WaitShare*question.mean() + (1-f.WaitShare)*shortPrompt.mean()
	byPrefill := float64(prefill) / (prefillBase.Seconds() + prompt*prefillPerToken.Seconds())
	return min(byDecode, byPrefill)
}

// Job is one simulated request.
type Job struct {
	ID        int
	Host      int
	Workspace int
	Class     rules.Class
	Arrived   time.Time
	Prompt    int64
	Blocks    []uint64
	Output    int64
	MaxOutput int64
	// InRate reports whether the workspace was within its rate and burst when the request arrived.
	InRate bool
}

func (j *Job) request() placement.Request {
	return placement.Request{
		ID: fmt.Sprint(j.ID), Workspace: fmt.Sprintf("w%d", j.Workspace), Weight: int64(Shares[j.Workspace] * 10000),
		Model: model, Class: j.Class, PromptTokens: j.Prompt, MaxOutputTokens: j.MaxOutput, PrefixBlocks: j.Blocks, Arrived: j.Arrived,
	}
}

// demand returns the offered rate of each workspace, in requests per second. If load is above 1, the first workspace
// sends all of the excess.
func demand(capacity, load float64) []float64 {
	out := make([]float64, len(Shares))
	rest := load
	for i := len(Shares) - 1; i > 0; i-- {
		out[i] = Shares[i] * min(load, 1) * capacity
		rest -= Shares[i] * min(load, 1)
	}
	out[0] = rest * capacity
	return out
}

// newJob generates a random request of a workspace.
func (f *Fleet) newJob(r *rand.Rand, workspace int) *Job {
	j := &Job{Workspace: workspace, Class: rules.ClassLatency}
	if r.Float64() < f.WaitShare {
		j.Class = rules.ClassWait
		// Squaring a uniform number makes documents with low numbers more popular.
		u := r.Float64()
		doc := int(u * u * documents)
		size := documentSize.from + int64(doc*7)%(documentSize.to-documentSize.from+1)
		j.addBlocks(uint64(1+workspace), uint64(doc), size)
		j.Prompt = size*blockTokens + question.draw(r)
		j.Output, j.MaxOutput = longAnswer.draw(r), longAnswer.to
		return j
	}
	j.Prompt = shortPrompt.draw(r)
	if j.Prompt >= blockTokens {
		j.addBlocks(uint64(1+workspace), documents, systemBlock)
	}
	j.Output, j.MaxOutput = shortAnswer.draw(r), shortAnswer.to
	return j
}

func (j *Job) addBlocks(workspace, doc uint64, n int64) {
	for i := range uint64(n) {
		j.Blocks = append(j.Blocks, workspace<<40|doc<<20|i)
	}
}
