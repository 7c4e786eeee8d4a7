// Package load is the load tool. It sends requests with Poisson arrivals at a given
// mean rate to daemons or directly to the engines, and prints goodput, the latencies
// that callers observed, and wasted prefill. The seed determines the requests.
//
// # Usage
//
//	report := load.Run(ctx, load.Config{CallerAddresses: callers, TeamKey: key, Model: "spec-models", Rate: 24, Seconds: 20})
//	report.Print(os.Stdout)
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/problem"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// sample holds what the caller observed of one request.
type sample struct {
	sent          time.Time
	firstToken    time.Duration // from sending to the first chunk
	betweenTokens time.Duration // mean time between two chunks
	chunks        int
	complete      bool
	reason        string // why the request was refused or failed
	id            string
}

// sender sends one request, reads the answer and returns a sample.
type sender interface {
	send(ctx context.Context, prompt string, tokens int) sample
}

var client = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext, MaxIdleConnsPerHost: 256,
}}

// errNoResult reports a prefill response that does not say where the result is.
var errNoResult = errors.New("prefill response has no kv_transfer_params")

func post(ctx context.Context, url, key string, body any) (*http.Response, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("load~%p~%d", req, time.Now().UnixNano()))
	return client.Do(req)
}

// router sends requests to a daemon.
type router struct {
	address, key, model string
}

func (r router) send(ctx context.Context, prompt string, tokens int) sample {
	s := sample{sent: time.Now()}
	resp, err := post(ctx, "http://"+r.address+completions.Path, r.key, map[string]any{
		"model": r.model, "prompt": prompt, "max_tokens": tokens, "stream": true,
	})
	if err != nil {
		s.reason = "transport"
		return s
	}
	defer resp.Body.Close()
	s.id = resp.Header.Get("X-Request-Id")
	if resp.StatusCode != http.StatusOK {
		var p problem.Problem
		_ = json.NewDecoder(resp.Body).Decode(&p)
		s.reason = string(p.Reason)
		return s
	}
	s.read(resp.Body)
	return s
}

// direct sends requests to the engines without a daemon: first the prefill, then the
// decode.
type direct struct {
	prefill, decode, model string
}

func (d direct) send(ctx context.Context, prompt string, tokens int) sample {
	s := sample{sent: time.Now()}
	kv, err := d.runPrefill(ctx, prompt)
	if err != nil {
		s.reason = err.Error()
		return s
	}
	resp, err := post(ctx, "http://"+d.decode+completions.Path, "", map[string]any{
		"model": d.model, "prompt": prompt, "max_tokens": tokens, "stream": true, "kv_transfer_params": kv,
	})
	if err != nil {
		s.reason = "transport"
		return s
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.reason = resp.Status
		return s
	}
	s.read(resp.Body)
	return s
}

func (d direct) runPrefill(ctx context.Context, prompt string) (*completions.KVTransferParams, error) {
	resp, err := post(ctx, "http://"+d.prefill+completions.Path, "", map[string]any{
		"model": d.model, "prompt": prompt, "max_tokens": 1,
		"kv_transfer_params": completions.KVTransferParams{DoRemoteDecode: true},
	})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer completions.Response
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if answer.KVTransferParams == nil {
		return nil, errNoResult
	}
	return answer.KVTransferParams, nil
}

// read reads a stream until it ends or fails and sets the result in s.
func (s *sample) read(body io.Reader) {
	var firstAt, lastAt time.Time
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			s.reason = "stream could not be read"
			return
		}
		if event.Type == "error" {
			s.reason = "stream ended with an error event: " + reasonOf(event.Data)
			return
		}
		if event.Data == completions.DoneEvent {
			s.complete = true
			break
		}
		lastAt = time.Now()
		if s.chunks == 0 {
			firstAt = lastAt
			s.firstToken = firstAt.Sub(s.sent)
		}
		s.chunks++
	}
	if s.chunks > 1 {
		s.betweenTokens = lastAt.Sub(firstAt) / time.Duration(s.chunks-1)
	}
	if !s.complete {
		s.reason = "stream ended without [DONE]"
	}
}

func reasonOf(data string) string {
	var p problem.Problem
	_ = json.NewDecoder(strings.NewReader(data)).Decode(&p)
	return string(p.Reason)
}
