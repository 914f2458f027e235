// Package openai implements the clients of package engine over HTTP: the OpenAI API with kv_transfer_params for
// engines, and plain HTTP for services.
package openai

// Headers of calls to backend servers and of their responses.
const (
	// HeaderAttempt carries the attempt id in both directions. A response with another id is dropped.
	HeaderAttempt = "X-Boragecourse-Attempt"
	// HeaderRequestID carries the request id, which is the same for all attempts of a request.
	HeaderRequestID = "X-Request-Id"
	// HeaderHost and HeaderIncarnation identify the calling daemon and the run of its process.
	HeaderHost        = "X-Boragecourse-Host"
	HeaderIncarnation = "X-Boragecourse-Incarnation"
	// HeaderPriority carries the workspace's priority; higher values are served first.
	HeaderPriority = "X-Boragecourse-Priority"
	// HeaderNotRun marks a response with status 429 or 503 as a refusal of a call that had no effect.
	HeaderNotRun = "X-Not-Run"
	// HeaderLastEventID carries the output-token offset at which a stream is resumed.
	HeaderLastEventID = "Last-Event-ID"
)

// NotRunValue is the only value of HeaderNotRun that marks a refusal.
const NotRunValue = "true"

// Paths of the engine protocol that are not part of the OpenAI API.
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

// KVTransferParams is the field kv_transfer_params of requests and responses.
type KVTransferParams struct {
	// DoRemoteDecode makes a prefill engine keep the KV cache for export.
	DoRemoteDecode bool `json:"do_remote_decode"`
	// DoRemotePrefill makes a decode engine import the KV cache identified by the other fields.
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	// RemoteHost and RemotePort are the address of the exporting engine.
	RemoteHost string `json:"remote_host,omitempty"`
	RemotePort int    `json:"remote_port,omitempty"`
	// RemoteRequestID is the id of the export on the exporting engine.
	RemoteRequestID string `json:"remote_request_id,omitempty"`
}

// Usage is the field usage of responses.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// PromptTokensDetails is absent on engines without a prefix cache.
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails is the part of Usage that splits the prompt; CachedTokens were found in the prefix cache.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// ErrorBody is the body of a response with a status other than 200.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the failure in an ErrorBody; Code is one of the codes below or an engine's own.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// HighestFence is the highest fencing token that the engine has received, set with CodeStaleFence.
	HighestFence int64 `json:"highest_fence,omitempty"`
}

// Codes in ErrorDetail.
const (
	// CodeImportFailed and CodeExportGone are the reasons for which a decode engine cannot import a KV cache: the
	// transfer failed, or the exporting engine no longer holds the cache.
	CodeImportFailed = "kv_import_failed"
	CodeExportGone   = "kv_export_gone"
	// CodeStaleFence is the reason for refusing a command whose fencing token is lower than one received before.
	CodeStaleFence = "stale_fence"
)

// AbortRequest is the request body of PathAbort.
type AbortRequest struct {
	AttemptID string `json:"attempt_id"`
}

// CacheBlocksResponse is the response body of PathCacheBlocks.
type CacheBlocksResponse struct {
	Blocks   []uint64 `json:"blocks"`
	Sequence uint64   `json:"sequence"`
}
