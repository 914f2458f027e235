// Package bench measures placement policies on a model of both fleets, on the fake clock of testing/synctest.
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
	// stepBase and stepPerStream make a decode step of 28 ms with all slots in use.
	stepBase      = 16 * time.Millisecond
	stepPerStream = 600 * time.Microsecond
	// prefillPerToken makes a prompt of 3,300 tokens cost as much as 58 output tokens of a full batch.
	prefillPerToken = 25 * time.Microsecond
	prefillBase     = 4 * time.Millisecond
	// chunkTokens is how much prefill an engine of role both mixes into one decode step.
	chunkTokens = 512
	kvLife      = 800 * time.Millisecond
	// linkPerToken is the transfer time per prompt token within a zone, crossPerToken between two zones. One
	// transfer after the other uses a link, and each ordered pair of zones has one.
	linkPerToken  = 4 * time.Microsecond
	crossPerToken = 8 * time.Microsecond
	// cacheBlocks limits the prefix cache of an engine to 307,200 tokens.
	cacheBlocks = 600
	blockTokens = 512
	// reportLag is the period of load reports and the delay of cache events.
	reportLag = 200 * time.Millisecond
	// engineQueue bounds the prefills that wait at one engine.
	engineQueue = 32
)

// Parameters of the runs.
const (
	firstTokenTarget = 310 * time.Millisecond
	tokenTarget      = 40 * time.Millisecond
	// callerTimeout is when callers of the latency class give up without a first token.
	callerTimeout = 2 * time.Second
	warmUp        = 10 * time.Second
	runLength     = 60 * time.Second
	faultAt       = 25 * time.Second
	epochDelay    = 5 * time.Second
	redirect      = time.Second
	model         = "keeper-llm"
	documents     = 30
	systemBlock   = 1
)

// Fleet describes one of the fleets of the design page.
type Fleet struct {
	Name  string
	Hosts []host.ID
	// Prefill and Decode list the zone of each engine.
	Prefill, Decode []string
	// Latency is the one-way delay between zones.
	Latency time.Duration
	// WaitShare is the share of wait-class requests.
	WaitShare float64
	// LostServer is the engine that fails and CutZone the zone that is cut off in the fault cases.
	LostServer, LostHost, CutZone string
}

// Shares are the rates of the five workspaces as parts of the capacity.
var Shares = []float64{0.32, 0.28, 0.20, 0.12, 0.08}

// Fleets returns the two fleets. A request holds a prefill server for about a twentieth of the time that it holds
// one decode slot of twenty, so prefill needs roughly half as many servers as decode. Svetilnik's 8 engines are
// split 3 to 5 with at least one decode server per zone, Gommapulita's 9 engines 3 to 6 with the same pair of roles
// in each zone. The plain services take no part.
func Fleets() []Fleet {
	return []Fleet{
		{
			Name:    "svetilnik",
			Hosts:   hosts("piran-a", "piran-b", "koper-a", "izola-a"),
			Prefill: []string{"piran-a", "koper-a", "izola-a"},
			Decode:  []string{"piran-a", "piran-b", "piran-b", "koper-a", "izola-a"},
			Latency: 500 * time.Microsecond, WaitShare: 0.6,
			LostServer: "decode-1", LostHost: "h1", CutZone: "koper-a",
		},
		{
			Name:    "gommapulita",
			Hosts:   hosts("porto-pa", "porto-pa", "centro-pa", "trapani-mare"),
			Prefill: []string{"porto-pa", "centro-pa", "trapani-mare"},
			Decode:  []string{"porto-pa", "porto-pa", "centro-pa", "centro-pa", "trapani-mare", "trapani-mare"},
			Latency: 900 * time.Microsecond, WaitShare: 0.4,
			LostServer: "decode-1", LostHost: "h2", CutZone: "trapani-mare",
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

// snapshot makes the rules of the fleet. With both set every engine has role both, for the colocated baseline.
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

// Sizes of prompts and answers in tokens, drawn uniformly.
var (
	shortPrompt  = span{128, 1536}
	shortAnswer  = span{40, 128}
	question     = span{64, 256}
	documentSize = span{4, 16} // blocks
	longAnswer   = span{80, 200}
)

type span struct{ from, to int64 }

func (s span) draw(r *rand.Rand) int64 { return s.from + r.Int64N(s.to-s.from+1) }

func (s span) mean() float64 { return float64(s.from+s.to) / 2 }

// Capacity is the analytic upper bound of requests per second with all decode slots in use all the time and
// perfect caching of documents.
func (f *Fleet) Capacity(prefill, decode int) float64 {
	tokens := f.WaitShare*longAnswer.mean() + (1-f.WaitShare)*shortAnswer.mean()
	step := stepBase + slots*stepPerStream
	byDecode := float64(decode*slots) / (tokens * step.Seconds())
	prompt := f.WaitShare*question.mean() + (1-f.WaitShare)*shortPrompt.mean()
	byPrefill := float64(prefill) / (prefillBase.Seconds() + prompt*prefillPerToken.Seconds())
	return min(byDecode, byPrefill)
}

// Job is one request of the load.
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
	// InRate is true when the workspace was within its rate and burst.
	InRate bool
}

func (j *Job) request() placement.Request {
	return placement.Request{
		ID: fmt.Sprint(j.ID), Workspace: fmt.Sprintf("w%d", j.Workspace), Weight: int64(Shares[j.Workspace] * 10000),
		Model: model, Class: j.Class, PromptTokens: j.Prompt, MaxOutputTokens: j.MaxOutput, PrefixBlocks: j.Blocks, Arrived: j.Arrived,
	}
}

// demand is the offered rate of each workspace. Above capacity the first one sends all of the excess.
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

// newJob draws a request of a workspace.
func (f *Fleet) newJob(r *rand.Rand, workspace int) *Job {
	j := &Job{Workspace: workspace, Class: rules.ClassLatency}
	if r.Float64() < f.WaitShare {
		j.Class = rules.ClassWait
		// The square makes low numbers popular.
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
