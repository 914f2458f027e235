// Command standin-service serves a stand-in for a plain HTTP service, for the demo and measurements.
package main

import (
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"github.com/boragecourse/boragecourse/test/standin/service"
)

// headerTimeout bounds the time in which a client must send its request headers.
const headerTimeout = 10 * time.Second

type flags struct {
	Listen string        `help:"Address to listen on." default:"127.0.0.1:9101"`
	Name   string        `help:"Name in the rules." default:"booking-1"`
	Slow   time.Duration `help:"Delay of each answer."`
	Once   []string      `help:"Path on which a second run of a call is a violation."`
	Secret []string      `help:"Caller's key whose appearance in a call is a violation."`
}

func main() {
	var f flags
	k := kong.Parse(&f, kong.Description("Stand-in for a plain HTTP service. GET /standin/report returns its counts."))
	s := service.New(f.Name)
	s.SetFaults(service.Faults{Slow: f.Slow})
	for _, secret := range f.Secret {
		s.RegisterSecret(secret)
	}
	once := map[string]bool{}
	for _, path := range f.Once {
		once[path] = true
	}
	s.SetOnce(func(path string) bool { return once[path] })
	server := &http.Server{Addr: f.Listen, Handler: s, ReadHeaderTimeout: headerTimeout}
	k.FatalIfErrorf(server.ListenAndServe())
}
