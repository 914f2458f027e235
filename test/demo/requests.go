package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// response is the result of one request as the caller received it.
type response struct {
	label     string
	requestID string
	status    int
	// outcome is the outcome header of a refusal, or "ran" for a complete response.
	outcome  string
	code     string
	text     string
	complete bool
}

func chatParams(prompt string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(maxTokens),
	}
}

func client(h *daemonHost, key string, into **http.Response) *openai.Client {
	c := openai.NewClient(option.WithBaseURL("http://"+h.callers+"/v1"), option.WithAPIKey(key),
		option.WithMaxRetries(0), option.WithResponseInto(into))
	return &c
}

// chat sends one chat completion and reads the complete response.
func chat(ctx context.Context, h *daemonHost, label, key, prompt string, maxTokens int64, stream bool) response {
	r := response{label: label}
	var resp *http.Response
	c := client(h, key, &resp)
	var err error
	if stream {
		s := c.Chat.Completions.NewStreaming(ctx, chatParams(prompt, maxTokens))
		var text strings.Builder
		for s.Next() {
			for _, choice := range s.Current().Choices {
				text.WriteString(choice.Delta.Content)
				r.complete = r.complete || choice.FinishReason != ""
			}
		}
		r.text, err = text.String(), s.Err()
		_ = s.Close()
	} else {
		var out *openai.ChatCompletion
		out, err = c.Chat.Completions.New(ctx, chatParams(prompt, maxTokens))
		if err == nil && len(out.Choices) > 0 {
			r.text, r.complete = out.Choices[0].Message.Content, out.Choices[0].FinishReason != ""
		}
	}
	r.finish(resp, err)
	return r
}

// finish sets the fields that come from the HTTP status, the headers and the error.
func (r *response) finish(resp *http.Response, err error) {
	if resp != nil {
		r.status = resp.StatusCode
		r.requestID = resp.Header.Get("X-Request-Id")
		r.outcome = resp.Header.Get("X-Boragecourse-Outcome")
	}
	if err != nil {
		r.complete = false
		r.code = errorCode(err)
		return
	}
	r.outcome = "ran"
}

// errorCode returns the refusal code of an error, or its text if it has none.
func errorCode(err error) string {
	var apiErr *openai.Error
	if errors.As(err, &apiErr) && apiErr.Code != "" {
		return apiErr.Code
	}
	var body struct{ Code string }
	raw := err.Error()
	if i := strings.Index(raw, "{"); i >= 0 && json.NewDecoder(strings.NewReader(raw[i:])).Decode(&body) == nil && body.Code != "" {
		return body.Code
	}
	return raw
}

// call sends one plain HTTP request.
func call(ctx context.Context, h *daemonHost, label, key, method, path, idempotencyKey, body string) response {
	r := response{label: label}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, bytes.NewBufferString(body))
	if err != nil {
		r.code = err.Error()
		return r
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.code = err.Error()
		return r
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	r.text = string(data)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, errorBody(data)) //nolint:err113 // Only printed.
	}
	r.complete = err == nil
	r.finish(resp, err)
	return r
}

// errorBody returns the error object of a refusal in the form in which the client library prints it, so that errorCode
// can read both.
func errorBody(data []byte) string {
	var body struct{ Error json.RawMessage }
	if json.Unmarshal(data, &body) == nil && len(body.Error) > 0 {
		return string(body.Error)
	}
	return string(data)
}
