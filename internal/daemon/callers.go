package daemon

import (
	"net/http"

	"github.com/boragecourse/boragecourse/internal/api"
)

// callerServer returns the HTTP server for callers. Request ids are issued by the charge ledger, which can find the
// charge of an id without an index.
func (d *Daemon) callerServer() *http.Server {
	return api.Server(api.Options{
		Router: d.Router, Metrics: d.Metrics, Log: d.Log.WithName("api"), Ready: d.ready, NewID: d.Charges.NewRequestID,
		MaxBodyBytes: d.settings.MaxBodyBytes, MaxHeaderBytes: d.settings.MaxHeaderBytes,
		BodyTimeout: d.settings.BodyTimeout, IdleTimeout: d.settings.IdleTimeout, StreamTimeout: d.settings.StreamTimeout,
	})
}
