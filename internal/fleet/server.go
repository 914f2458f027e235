package fleet

import "time"

// Stage is the part of a generation that an engine runs.
type Stage string

// Stages of engines; plain services have none.
const (
	NoStage Stage = ""
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
	// Colocated engines run both stages.
	Colocated Stage = "colocated"
)

// Server is the registration of one backend server.
type Server struct {
	// ID names one lifetime of a backend server, mostly: one that restarts may keep its id, but then Born differs.
	ID string
	// Born is the start of this lifetime, in Unix milliseconds; zero when the backend server does not say.
	Born     int64
	Service  string
	Address  string
	Zone     string
	Slots    int
	Stage    Stage
	Draining bool
	// ColdLeft is how much longer the backend server was slow after its start when it registered.
	ColdLeft time.Duration
}

// EngineState is what an engine says of itself.
type EngineState struct {
	Stage Stage
	// Commanded is set while a command is carried out, Accepted the number of commands accepted since its start.
	Commanded bool
	Accepted  int64
}
