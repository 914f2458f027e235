// Command standin-engine serves a stand-in for an inference engine over HTTP, for the demo and measurements.
package main

import (
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"github.com/boragecourse/boragecourse/test/standin/engine"
)

// headerTimeout bounds the time in which a client must send its request headers.
const headerTimeout = 10 * time.Second

type flags struct {
	Listen         string        `help:"Address to listen on." default:"127.0.0.1:9001"`
	Name           string        `help:"Name in the rules." default:"keeper-1"`
	Role           string        `help:"Stages that the engine runs." enum:"prefill,decode,both" default:"both"`
	Model          string        `help:"Model name." default:"keeper-llm"`
	Slots          int           `help:"Requests held at once." default:"20"`
	Pieces         int64         `help:"KV memory in pieces of 2,048 tokens." default:"4096"`
	PrefillToken   time.Duration `help:"Compute time of one prompt token." default:"50us"`
	OutputToken    time.Duration `help:"Time between output tokens." default:"20ms"`
	LinkRate       int64         `help:"Transfer rate of each link in tokens per second." default:"400000"`
	ExportLifetime time.Duration `help:"Lifetime of an exported KV cache." default:"800ms"`
	BytesPerToken  int           `help:"Bytes of text per token." default:"4"`
	NaturalTokens  int64         `help:"Length of answers when above zero, in tokens."`
	ChecksFence    bool          `help:"Refuse commands with an old fencing number."`
	Secret         []string      `help:"Caller's key whose appearance in a call is a violation."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Stand-in for an inference engine. GET /standin/report returns its counts."))
	core := engine.New(engine.Config{
		Name: f.Name, Addr: f.Listen, Role: engine.Role(f.Role), Model: f.Model, Slots: f.Slots, Pieces: f.Pieces,
		PrefillPerToken: f.PrefillToken, TimePerToken: f.OutputToken, LinkRate: f.LinkRate,
		ExportLifetime: f.ExportLifetime, BytesPerToken: f.BytesPerToken, StopAfterTokens: f.NaturalTokens,
		ChecksFencingToken: f.ChecksFence,
	}, engine.NewFleet())
	for _, s := range f.Secret {
		core.RegisterSecret(s)
	}
	server := &http.Server{Addr: f.Listen, Handler: engine.Handler(core), ReadHeaderTimeout: headerTimeout}
	k.FatalIfErrorf(server.ListenAndServe())
}
