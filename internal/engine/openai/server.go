package openai

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/boragecourse/boragecourse/internal/engine"
)

var _ engine.Server = (*client)(nil)

// prefillResponse is the part of a prefill response that is needed to address the exported KV cache.
type prefillResponse struct {
	Usage Usage             `json:"usage"`
	KV    *KVTransferParams `json:"kv_transfer_params"`
}

// Prefill implements engine.Server.
func (c *client) Prefill(ctx context.Context, call engine.Call) (engine.KVCacheHandle, error) {
	body, err := prefillBody(call)
	if err != nil {
		return engine.KVCacheHandle{}, &engine.ConnectError{Server: c.name, Cause: err}
	}
	res, err := c.post(ctx, call.Path, call.Attempt, body) //nolint:bodyclose // closeBody closes it.
	if err != nil {
		return engine.KVCacheHandle{}, err
	}
	defer closeBody(res.Body)
	var response prefillResponse
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponse)).Decode(&response); err != nil {
		return engine.KVCacheHandle{}, &engine.FailedError{Server: c.name, Status: res.StatusCode, Cause: err}
	}
	kv := engine.KVCacheHandle{Server: c.name, Addr: c.addr, ID: call.Attempt.ID, Tokens: response.Usage.PromptTokens}
	if response.Usage.PromptTokensDetails != nil {
		kv.Cached = response.Usage.PromptTokensDetails.CachedTokens
	}
	if p := response.KV; p != nil {
		if p.RemoteRequestID != "" {
			kv.ID = p.RemoteRequestID
		}
		if p.RemoteHost != "" && p.RemotePort != 0 {
			kv.Addr = net.JoinHostPort(p.RemoteHost, strconv.Itoa(p.RemotePort))
		}
	}
	return kv, nil
}

// Decode implements engine.Server.
func (c *client) Decode(ctx context.Context, call engine.Call, kv *engine.KVCacheHandle) (engine.Stream, error) {
	body, err := decodeBody(call, kv)
	if err != nil {
		return nil, &engine.ConnectError{Server: c.name, Cause: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	res, err := c.post(ctx, call.Path, call.Attempt, body) //nolint:bodyclose // The stream closes it.
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(c.name, res.Body, cancel, 0), nil
}

// Resume implements engine.Server.
func (c *client) Resume(ctx context.Context, a engine.Attempt, offset int64) (engine.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+PathStream, nil)
	if err != nil {
		cancel()
		return nil, &engine.ConnectError{Server: c.name, Cause: err}
	}
	req.Header.Set(HeaderLastEventID, strconv.FormatInt(offset, 10))
	res, err := c.sendChecked(req, a) //nolint:bodyclose // The stream closes it.
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(c.name, res.Body, cancel, offset), nil
}

// Abort implements engine.Server.
func (c *client) Abort(ctx context.Context, attemptID string) error {
	body, _ := json.Marshal(AbortRequest{AttemptID: attemptID})
	return c.control(ctx, PathAbort, body, nil)
}

// Load implements engine.Server.
func (c *client) Load(ctx context.Context) (engine.LoadReport, error) {
	var load engine.LoadReport
	err := c.control(ctx, PathLoad, nil, &load)
	return load, err
}

// CacheEvents implements engine.Server.
func (c *client) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	var events []engine.CacheEvent
	err := c.control(ctx, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// CacheBlocks implements engine.Server.
func (c *client) CacheBlocks(ctx context.Context) ([]uint64, uint64, error) {
	var response CacheBlocksResponse
	err := c.control(ctx, PathCacheBlocks, nil, &response)
	return response.Blocks, response.Sequence, err
}

// Holdings implements engine.Server.
func (c *client) Holdings(ctx context.Context) ([]engine.Holding, error) {
	var held []engine.Holding
	err := c.control(ctx, PathHoldings, nil, &held)
	return held, err
}

// Apply implements engine.Server.
func (c *client) Apply(ctx context.Context, cmd engine.Command) error {
	body, _ := json.Marshal(cmd)
	return c.control(ctx, PathCommand, body, nil)
}

// State implements engine.Server.
func (c *client) State(ctx context.Context) (engine.State, error) {
	var state engine.State
	err := c.control(ctx, PathState, nil, &state)
	return state, err
}

// control makes a call that runs no model: a POST if there is a body, else a GET. It decodes the response into v unless
// v is nil.
func (c *client) control(ctx context.Context, path string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, c.d.settings.ControlTimeout)
	defer cancel()
	var res *http.Response
	var err error
	if body != nil {
		res, err = c.post(ctx, path, engine.Attempt{}, body) //nolint:bodyclose // closeBody closes it.
	} else {
		var req *http.Request
		req, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+path, nil)
		if err != nil {
			return &engine.ConnectError{Server: c.name, Cause: err}
		}
		res, err = c.sendChecked(req, engine.Attempt{}) //nolint:bodyclose // closeBody closes it.
	}
	if err != nil {
		return err
	}
	defer closeBody(res.Body)
	if v == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponse)).Decode(v); err != nil {
		return &engine.FailedError{Server: c.name, Status: res.StatusCode, Cause: err}
	}
	return nil
}
