package fleet

import "time"

// Stage is the stage of generations that an engine runs.
type Stage string

// Stages of engines. Backend servers of plain services have NoStage.
const (
	NoStage Stage = ""
	Prefill Stage = "prefill"
	Decode  Stage = "decode"
	// Colocated engines run both stages.
	Colocated Stage = "colocated"
)

// Server is the registration of one backend server.
type Server struct {
	// ID usually identifies one incarnation of a backend server. A restarted backend server may keep its ID, but then
	// StartMillis differs.
	ID string
	// StartMillis is the start time of this incarnation, in Unix milliseconds; zero if the backend server does not
	// report it.
	StartMillis int64
	Service     string
	// Software is the version of the backend server's software. Streams cannot go on at a server of another one.
	Software string
	Address  string
	Zone     string
	Slots    int
	Stage    Stage
	Draining bool
	// WarmupLeft is the remaining warm-up time, during which the backend server is slow, as of its registration.
	WarmupLeft time.Duration
}

// EngineState is the state that an engine reports. The front reads it before it commands a change of the stage.
type EngineState struct {
	Stage Stage
	// Commanded is set while the engine executes a command. Accepted is the number of commands accepted since its start.
	Commanded bool
	Accepted  int64
}
