package openai

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// fields is a JSON request body. Fields that this package does not know are passed through unchanged.
type fields map[string]json.RawMessage

func parseFields(body []byte) (fields, error) {
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, &BodyError{Reason: "not a JSON object", Cause: err}
	}
	return f, nil
}

func (f fields) set(name string, v any) {
	// Encoding cannot fail: the values are plain structs, maps, slices, strings, numbers and booleans.
	f[name], _ = json.Marshal(v)
}

// prefillBody returns the body of a prefill call: one output token, no stream, export of the KV cache.
func prefillBody(c engine.Call) ([]byte, error) {
	f, err := parseFields(c.Body)
	if err != nil {
		return nil, err
	}
	if err := f.appendContinuation(c); err != nil {
		return nil, err
	}
	delete(f, "stream_options")
	delete(f, "max_completion_tokens")
	f.set("stream", false)
	f.set("max_tokens", 1)
	f.set("kv_transfer_params", KVTransferParams{DoRemoteDecode: true})
	return json.Marshal(f)
}

// decodeBody returns the body of a decode call. It requests a stream with usage even if the caller requested none,
// since only a stream can be resumed.
func decodeBody(c engine.Call, kv *engine.KVCacheHandle) ([]byte, error) {
	f, err := parseFields(c.Body)
	if err != nil {
		return nil, err
	}
	if err := f.appendContinuation(c); err != nil {
		return nil, err
	}
	f.set("stream", true)
	f.set("stream_options", map[string]bool{"include_usage": true})
	delete(f, "kv_transfer_params")
	if kv != nil {
		host, port, err := net.SplitHostPort(kv.Addr)
		if err != nil {
			return nil, &BodyError{Reason: "invalid address of the KV cache", Cause: err}
		}
		number, _ := strconv.Atoi(port)
		f.set("kv_transfer_params", KVTransferParams{
			DoRemotePrefill: true, RemoteEngineID: kv.Server, RemoteHost: host, RemotePort: number,
			RemoteRequestID: kv.ID,
		})
	}
	return json.Marshal(f)
}

// appendContinuation appends the text that the caller has already received, so that the engine continues after it.
func (f fields) appendContinuation(c engine.Call) error {
	if c.Continue == "" {
		return nil
	}
	if strings.HasSuffix(c.Path, "/chat/completions") {
		var messages []json.RawMessage
		if err := json.Unmarshal(f["messages"], &messages); err != nil {
			return &BodyError{Reason: "invalid field messages", Cause: err}
		}
		last, _ := json.Marshal(map[string]string{"role": "assistant", "content": c.Continue})
		f.set("messages", append(messages, last))
		f.set("add_generation_prompt", false)
		f.set("continue_final_message", true)
		return nil
	}
	var prompt string
	if err := json.Unmarshal(f["prompt"], &prompt); err != nil {
		var prompts [1]string
		if err := json.Unmarshal(f["prompt"], &prompts); err != nil {
			return &BodyError{Reason: "invalid field prompt", Cause: err}
		}
		prompt = prompts[0]
	}
	f.set("prompt", prompt+c.Continue)
	return nil
}
