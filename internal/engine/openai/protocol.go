// Package openai speaks to backend servers over HTTP: the OpenAI API with kv_transfer_params for engines, and
// plain HTTP for services.
package openai

// Headers of calls to backend servers and of their answers.
const (
	// HeaderAttempt carries the attempt id in both directions. An answer with another id is dropped.
	HeaderAttempt = "X-Boragecourse-Attempt"
	// HeaderRequestID carries the request id, which stays the same over all attempts.
	HeaderRequestID = "X-Request-Id"
	// HeaderHost and HeaderIncarnation name the calling daemon.
	HeaderHost        = "X-Boragecourse-Host"
	HeaderIncarnation = "X-Boragecourse-Incarnation"
	// HeaderPriority carries the workspace's priority; higher is served first.
	HeaderPriority = "X-Boragecourse-Priority"
	// HeaderNotRun marks an answer with status 429 or 503 as a refusal that had no effect.
	HeaderNotRun = "X-Not-Run"
	// HeaderLastEventID is the output-token offset from which a stream is resumed.
	HeaderLastEventID = "Last-Event-ID"
)

// NotRunValue is the value of HeaderNotRun.
const NotRunValue = "true"

// Paths of the engine interface beside the OpenAI API.
const (
	PathAbort       = "/engine/abort"
	PathStream      = "/engine/stream"
	PathLoad        = "/engine/load"
	PathCacheEvents = "/engine/cache/events"
	PathCacheBlocks = "/engine/cache/blocks"
	PathHoldings    = "/engine/holdings"
	PathCommand     = "/engine/command"
	PathState       = "/engine/state"
)

// KVTransferParams is the field kv_transfer_params of requests and answers.
type KVTransferParams struct {
	// DoRemoteDecode asks a prefill engine to keep the KV cache for export.
	DoRemoteDecode bool `json:"do_remote_decode"`
	// DoRemotePrefill tells a decode engine to import the KV cache named by the other fields.
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	// RemoteHost and RemotePort are the address of the exporting engine.
	RemoteHost string `json:"remote_host,omitempty"`
	RemotePort int    `json:"remote_port,omitempty"`
	// RemoteRequestID is the exporting engine's name for the export.
	RemoteRequestID string `json:"remote_request_id,omitempty"`
}

// Usage is the field usage of answers.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// PromptTokensDetails is absent on engines without a prefix cache.
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails is part of Usage.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// ErrorBody is the body of a failed answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is part of ErrorBody.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// HighestFence is set on refused commands.
	HighestFence int64 `json:"highest_fence,omitempty"`
}

// Codes in ErrorDetail.
const (
	// CodeImportFailed and CodeExportGone tell why a decode engine could not import a KV cache.
	CodeImportFailed = "kv_import_failed"
	CodeExportGone   = "kv_export_gone"
	// CodeStaleFence refuses a command with an old fencing number.
	CodeStaleFence = "stale_fence"
)

// AbortRequest is the body of a call to PathAbort.
type AbortRequest struct {
	AttemptID string `json:"attempt_id"`
}

// CacheBlocksAnswer is the answer of PathCacheBlocks.
type CacheBlocksAnswer struct {
	Blocks   []uint64 `json:"blocks"`
	Sequence uint64   `json:"sequence"`
}
