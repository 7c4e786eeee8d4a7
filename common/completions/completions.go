// Package completions holds the messages of the OpenAI completions and chat
// completions interfaces, as far as the router and the stand-ins use them, the
// kv_transfer_params object by which public engines pass a prefill's result on,
// and the engines' administration calls.
//
// # Usage
//
//	var req completions.Request
//	err := json.Unmarshal(body, &req)
//	text, err := req.Text()
package completions

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Paths of the two calls.
const (
	Path     = "/v1/completions"
	ChatPath = "/v1/chat/completions"
)

// DoneEvent is the data of the event that ends a stream.
const DoneEvent = "[DONE]"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a caller's request; unknown members are passed on untouched by
// Forward.
type Request struct {
	Model            string            `json:"model"`
	Prompt           json.RawMessage   `json:"prompt,omitempty"`
	Messages         []Message         `json:"messages,omitempty"`
	MaxTokens        int               `json:"max_tokens,omitempty"`
	Stream           bool              `json:"stream,omitempty"`
	N                int               `json:"n,omitempty"`
	Priority         int               `json:"priority,omitempty"`
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
}

// BadRequestError says what a caller should change.
type BadRequestError struct {
	Detail string
}

// Error implements error.
func (e *BadRequestError) Error() string { return e.Detail }

// Text returns the whole prompt as one text.
func (r Request) Text() (string, error) {
	if len(r.Messages) > 0 {
		var b strings.Builder
		for _, m := range r.Messages {
			fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
		}
		return b.String(), nil
	}
	var one string
	if json.Unmarshal(r.Prompt, &one) == nil && one != "" {
		return one, nil
	}
	var many []string
	if json.Unmarshal(r.Prompt, &many) == nil && len(many) == 1 && many[0] != "" {
		return many[0], nil
	}
	return "", &BadRequestError{Detail: "prompt must be a text that is not empty, or messages must be given"}
}

// KVTransferParams tells an engine where a prefill's result is or goes.
type KVTransferParams struct {
	DoRemoteDecode  bool   `json:"do_remote_decode"`
	DoRemotePrefill bool   `json:"do_remote_prefill"`
	RemoteEngineID  string `json:"remote_engine_id,omitempty"`
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	RemoteBlockIDs  []int  `json:"remote_block_ids,omitempty"`
	RemoteHost      string `json:"remote_host,omitempty"`
	RemotePort      int    `json:"remote_port,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens        int `json:"prompt_tokens"`
	CompletionTokens    int `json:"completion_tokens"`
	TotalTokens         int `json:"total_tokens"`
	PromptTokensDetails struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Choice is one choice of an answer or of a chunk.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Response is a whole answer, or one chunk of a stream.
type Response struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Created          int64             `json:"created"`
	Model            string            `json:"model"`
	Choices          []Choice          `json:"choices"`
	Usage            *Usage            `json:"usage,omitempty"`
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
}

// ReplaceMembers returns body with some members replaced; all others are kept.
func ReplaceMembers(body []byte, replace map[string]any) ([]byte, error) {
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, fmt.Errorf("decode request: %w", err)
	}
	for key, v := range replace {
		raw, err := json.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", key, err)
		}
		members[key] = raw
	}
	return json.Marshal(members)
}

// AbortRequest asks an engine to end a request and free its memory.
type AbortRequest struct {
	RequestID string `json:"rid"`
}

// HeldRequest is one request that an engine holds memory for.
type HeldRequest struct {
	RequestID string `json:"rid"`
	Phase     string `json:"phase"`
	Pieces    int    `json:"pieces"`
	AgeMs     int64  `json:"ageMs"`
}

// Load is an engine's report of its load; it lags.
type Load struct {
	Running    int    `json:"running"`
	Waiting    int    `json:"waiting"`
	FreePieces int    `json:"freePieces"`
	AtMs       int64  `json:"atMs"`
	State      string `json:"state"` // "serving" or "leaving"
	// Held lists the requests that hold memory right now, where it was asked for
	// with ?held=1; unlike the counts it does not lag.
	Held []HeldRequest `json:"held,omitempty"`
}

// CacheEvents is a batch of changes to an engine's prefix cache.
type CacheEvents struct {
	Seq    int64        `json:"seq"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent is one change: "BlockStored" or "BlockRemoved".
type CacheEvent struct {
	Type        string   `json:"type"`
	BlockHashes []uint64 `json:"block_hashes"`
}
