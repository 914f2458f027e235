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

// answer is what a caller saw of one request.
type answer struct {
	label     string
	requestID string
	status    int
	// outcome is the outcome field of refusals, "ran" for whole answers.
	outcome string
	code    string
	text    string
	whole   bool
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

// chat sends one chat completion and reads the whole answer.
func chat(ctx context.Context, h *daemonHost, label, key, prompt string, maxTokens int64, stream bool) answer {
	a := answer{label: label}
	var resp *http.Response
	c := client(h, key, &resp)
	var err error
	if stream {
		s := c.Chat.Completions.NewStreaming(ctx, chatParams(prompt, maxTokens))
		var text strings.Builder
		for s.Next() {
			for _, choice := range s.Current().Choices {
				text.WriteString(choice.Delta.Content)
				a.whole = a.whole || choice.FinishReason != ""
			}
		}
		a.text, err = text.String(), s.Err()
		_ = s.Close()
	} else {
		var out *openai.ChatCompletion
		out, err = c.Chat.Completions.New(ctx, chatParams(prompt, maxTokens))
		if err == nil && len(out.Choices) > 0 {
			a.text, a.whole = out.Choices[0].Message.Content, out.Choices[0].FinishReason != ""
		}
	}
	a.finish(resp, err)
	return a
}

// finish fills in what the response says about the request.
func (a *answer) finish(resp *http.Response, err error) {
	if resp != nil {
		a.status = resp.StatusCode
		a.requestID = resp.Header.Get("X-Request-Id")
		a.outcome = resp.Header.Get("X-Boragecourse-Outcome")
	}
	if err != nil {
		a.whole = false
		a.code = errorCode(err)
		return
	}
	a.outcome = "ran"
}

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
func call(ctx context.Context, h *daemonHost, label, key, method, path, idempotencyKey, body string) answer {
	a := answer{label: label}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callers+path, bytes.NewBufferString(body))
	if err != nil {
		a.code = err.Error()
		return a
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.code = err.Error()
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.text = string(data)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, errorBody(data)) //nolint:err113 // Shown to a person.
	}
	a.whole = err == nil
	a.finish(resp, err)
	return a
}

// errorBody returns the error object of a refusal, as the client library prints it.
func errorBody(data []byte) string {
	var body struct{ Error json.RawMessage }
	if json.Unmarshal(data, &body) == nil && len(body.Error) > 0 {
		return string(body.Error)
	}
	return string(data)
}
