package explain

import "time"

// RoutePath is the path, on the metrics address of a host, that explains where a request would go.
const RoutePath = "/explain/route"

// RouteRequest describes the request whose decision is explained. Key must not be logged.
type RouteRequest struct {
	Host string `json:"host"`
	// Path is the path of the request, with or without a query.
	Path string `json:"path"`
	// Workspace and Key exclude each other. Both are empty on routes that admit anonymous requests.
	Workspace string `json:"workspace,omitempty"`
	Key       string `json:"key,omitempty"`
	// PromptTokens and OutputTokens are nil if the request states no token counts.
	PromptTokens *int64 `json:"promptTokens,omitempty"`
	OutputTokens *int64 `json:"outputTokens,omitempty"`
	LengthHint   int64  `json:"lengthHint,omitempty"`
	// DeadlineMillis is how long the caller waits, 0 if the request does not state it.
	DeadlineMillis int64  `json:"deadlineMillis,omitempty"`
	Model          string `json:"model,omitempty"`
}

// RouteResponse is the decision of one host about a request at one time.
type RouteResponse struct {
	// Asked is the host that was asked, At the time of the decision by its clock.
	Asked         string    `json:"asked"`
	At            time.Time `json:"at"`
	Configuration uint64    `json:"configuration"`
	// NewestReportMillis is the age of the newest report from another host, nil if there is none.
	NewestReportMillis *int64 `json:"newestReportMillis,omitempty"`
	// Refusal is set if the request would be refused.
	Refusal   *RouteRefusal   `json:"refusal,omitempty"`
	Route     *RouteMatch     `json:"route,omitempty"`
	Workspace *RouteWorkspace `json:"workspace,omitempty"`
	// OverloadProbability is the probability that a plain request is refused because of the queues of its service.
	OverloadProbability float64 `json:"overloadProbability"`
	// Stages are in the order in which the request gets servers.
	Stages []RouteStage `json:"stages,omitempty"`
}

// RouteRefusal is the refusal that the request would get. A random part may be added to the time of a Retry-After.
type RouteRefusal struct {
	Status           int    `json:"status"`
	Code             string `json:"code"`
	Reason           string `json:"reason"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// RouteMatch is the route of a request.
type RouteMatch struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Service  string `json:"service"`
	Kind     string `json:"kind"`
	Priority int    `json:"priority"`
	// Destinations are set if the route splits its requests at random. Service is then the one with the largest share.
	Destinations []RouteDestination `json:"destinations,omitempty"`
}

// RouteDestination is a service with its share of the requests of a route.
type RouteDestination struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"`
}

// RouteWorkspace is the workspace of a request. TokensAvailable is nil if it has no rate limit.
type RouteWorkspace struct {
	Name            string   `json:"name,omitempty"`
	Rank            int      `json:"rank"`
	TokensAvailable *float64 `json:"tokensAvailable,omitempty"`
	TokensNeeded    int64    `json:"tokensNeeded"`
}

// RouteStage describes the choice among the servers of one stage: plain, decode or prefill.
type RouteStage struct {
	Stage      string           `json:"stage"`
	Candidates []RouteCandidate `json:"candidates"`
	LeftOut    []RouteLeftOut   `json:"leftOut"`
	// Sample is the number of candidates, drawn at random, among which the request chooses; 0 if it chooses among all.
	Sample int `json:"sample,omitempty"`
	// RecheckProbability is the probability that the speeds of the servers are ignored.
	RecheckProbability float64 `json:"recheckProbability,omitempty"`
	// Waiting is the number of requests in the queue; Waits is set if the request would wait there.
	Waiting int  `json:"waiting"`
	Waits   bool `json:"waits,omitempty"`
	// Skipped is set if no prefill engine would get the prompt in time, so that the decode engine processes it.
	Skipped bool `json:"skipped,omitempty"`
}

// RouteCandidate is a server that may get the request, with the terms that decide.
type RouteCandidate struct {
	Server       string  `json:"server"`
	Zone         string  `json:"zone"`
	Slots        int     `json:"slots"`
	Used         float64 `json:"used"`
	Occupancy    float64 `json:"occupancy"`
	RelativeTime float64 `json:"relativeTime"`
	LearnedLimit int     `json:"learnedLimit"`
	Score        float64 `json:"score"`
	Doubtful     bool    `json:"doubtful"`
}

// RouteLeftOut is a server that does not get the request now.
type RouteLeftOut struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	Reason string `json:"reason"`
}

// RouteError is the body of a response with another status than 200. Field is set for bad input.
type RouteError struct {
	Code    string `json:"code"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error implements error.
func (e *RouteError) Error() string {
	if e.Field != "" {
		return e.Field + ": " + e.Message
	}
	return e.Code + ": " + e.Message
}
