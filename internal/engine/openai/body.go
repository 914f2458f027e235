package openai

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"

	"github.com/boragecourse/boragecourse/internal/engine"
)

// fields is a JSON request whose unknown fields are kept as they are.
type fields map[string]json.RawMessage

func parseFields(body []byte) (fields, error) {
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, &BodyError{Reason: "not a JSON object", Cause: err}
	}
	return f, nil
}

func (f fields) set(name string, v any) {
	// The values set here are plain structs, strings and numbers, which always encode.
	f[name], _ = json.Marshal(v)
}

// prefillBody asks for the KV cache of the prompt: one token, no stream, export.
func prefillBody(c engine.Call) ([]byte, error) {
	f, err := parseFields(c.Body)
	if err != nil {
		return nil, err
	}
	if err := f.extend(c); err != nil {
		return nil, err
	}
	delete(f, "stream_options")
	delete(f, "max_completion_tokens")
	f.set("stream", false)
	f.set("max_tokens", 1)
	f.set("kv_transfer_params", KVTransferParams{DoRemoteDecode: true})
	return json.Marshal(f)
}

// decodeBody asks for a stream with usage, whatever the caller asked for, since only a stream can be resumed.
func decodeBody(c engine.Call, kv *engine.KVHandle) ([]byte, error) {
	f, err := parseFields(c.Body)
	if err != nil {
		return nil, err
	}
	if err := f.extend(c); err != nil {
		return nil, err
	}
	f.set("stream", true)
	f.set("stream_options", map[string]bool{"include_usage": true})
	delete(f, "kv_transfer_params")
	if kv != nil {
		host, port, err := net.SplitHostPort(kv.Addr)
		if err != nil {
			return nil, &BodyError{Reason: "address of the KV cache", Cause: err}
		}
		number, _ := strconv.Atoi(port)
		f.set("kv_transfer_params", KVTransferParams{
			DoRemotePrefill: true, RemoteEngineID: kv.Server, RemoteHost: host, RemotePort: number,
			RemoteRequestID: kv.ID,
		})
	}
	return json.Marshal(f)
}

// extend makes the engine continue after text that the caller has already received.
func (f fields) extend(c engine.Call) error {
	if c.Continue == "" {
		return nil
	}
	if strings.HasSuffix(c.Path, "/chat/completions") {
		var messages []json.RawMessage
		if err := json.Unmarshal(f["messages"], &messages); err != nil {
			return &BodyError{Reason: "messages", Cause: err}
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
			return &BodyError{Reason: "prompt", Cause: err}
		}
		prompt = prompts[0]
	}
	f.set("prompt", prompt+c.Continue)
	return nil
}
