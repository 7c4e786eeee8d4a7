// Package completions defines the part of the OpenAI completions and chat
// completions APIs that the router and the stand-ins use, the kv_transfer_params
// object by which public engines transfer a KV cache from prefill to decode, and the
// messages of the engines' administration calls.
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

// Paths of the two APIs.
const (
	Path     = "/v1/completions"
	ChatPath = "/v1/chat/completions"
)

// DoneEvent is the data of the last event of a stream.
const DoneEvent = "[DONE]"

// Message is one message of a chat.
type Message struct {
	// Role is the role of the author, such as "user".
	Role string `json:"role"`
	// Content is the text of the message.
	Content string `json:"content"`
}

// Request holds the members of a caller's request that the router reads. The others
// are kept by ReplaceMembers.
type Request struct {
	// Model is the name of the model.
	Model string `json:"model"`
	// Prompt is the prompt of a completion: a string or a list of strings.
	Prompt json.RawMessage `json:"prompt,omitempty"`
	// Messages are the messages of a chat.
	Messages []Message `json:"messages,omitempty"`
	// MaxTokens is the largest number of output tokens.
	MaxTokens int `json:"max_tokens,omitempty"`
	// Stream reports whether the response is to be streamed.
	Stream bool `json:"stream,omitempty"`
	// N is the number of choices.
	N int `json:"n,omitempty"`
	// Priority is the priority of the request at the engine.
	Priority int `json:"priority,omitempty"`
	// KVTransferParams holds the parameters of the transfer of the KV cache.
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
}

// BadRequestError reports an invalid request.
type BadRequestError struct {
	// Detail says what the caller has to change.
	Detail string
}

// Error implements error.
func (e *BadRequestError) Error() string { return e.Detail }

// Text returns the prompt as one text: that of the messages, each line with its role,
// or the only string of Prompt. The error is a *BadRequestError.
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
	return "", &BadRequestError{Detail: "prompt must be one non-empty string, or messages must be given"}
}

// KVTransferParams describes the transfer of a request's KV cache from a prefill
// engine to a decode engine.
type KVTransferParams struct {
	// DoRemoteDecode asks a prefill engine to keep the KV cache for a decode engine.
	DoRemoteDecode bool `json:"do_remote_decode"`
	// DoRemotePrefill asks a decode engine to fetch the KV cache of a prefill engine.
	DoRemotePrefill bool `json:"do_remote_prefill"`
	// RemoteEngineID is the id of the engine that holds the KV cache.
	RemoteEngineID string `json:"remote_engine_id,omitempty"`
	// RemoteRequestID is the id of the request at that engine.
	RemoteRequestID string `json:"remote_request_id,omitempty"`
	// RemoteBlockIDs are the ids of the KV cache's blocks at that engine.
	RemoteBlockIDs []int `json:"remote_block_ids,omitempty"`
	// RemoteHost is the host of that engine.
	RemoteHost string `json:"remote_host,omitempty"`
	// RemotePort is the port at which that engine serves the KV cache.
	RemotePort int `json:"remote_port,omitempty"`
}

// Usage is the number of tokens of a request.
type Usage struct {
	// PromptTokens is the number of tokens of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	// CompletionTokens is the number of output tokens.
	CompletionTokens int `json:"completion_tokens"`
	// TotalTokens is the sum of both.
	TotalTokens int `json:"total_tokens"`
	// PromptTokensDetails breaks down PromptTokens.
	PromptTokensDetails struct {
		// CachedTokens is the number of prompt tokens found in the prefix cache.
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// Choice is one choice of a response or of a chunk.
type Choice struct {
	// Index is the index of the choice among the request's choices.
	Index int `json:"index"`
	// Text is the output of a completion.
	Text string `json:"text,omitempty"`
	// Delta is the output of one chunk of a chat.
	Delta *Message `json:"delta,omitempty"`
	// Message is the complete output of a chat.
	Message *Message `json:"message,omitempty"`
	// FinishReason says why the output ended; nil if it has not ended.
	FinishReason *string `json:"finish_reason"`
}

// Response is a complete response, or one chunk of a stream.
type Response struct {
	// ID is the id that the engine gave the response.
	ID string `json:"id"`
	// Object is the type of the response, such as "text_completion".
	Object string `json:"object"`
	// Created is the time of creation, in seconds since the Unix epoch.
	Created int64 `json:"created"`
	// Model is the name of the model.
	Model string `json:"model"`
	// Choices are the outputs.
	Choices []Choice `json:"choices"`
	// Usage is the number of tokens; it may be nil in a chunk.
	Usage *Usage `json:"usage,omitempty"`
	// KVTransferParams says where a prefill engine holds the KV cache.
	KVTransferParams *KVTransferParams `json:"kv_transfer_params,omitempty"`
}

// ReplaceMembers returns the JSON object body with the members of replace set to the
// given values; all others are kept.
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

// AbortRequest asks an engine to abort a request and to free its memory.
type AbortRequest struct {
	// RequestID is the id of the request at the engine.
	RequestID string `json:"rid"`
}

// HeldRequest is one request for which an engine holds memory.
type HeldRequest struct {
	// RequestID is the id of the request at the engine.
	RequestID string `json:"rid"`
	// Phase is the engine's kind: "prefill" or "decode".
	Phase string `json:"phase"`
	// Pieces is the number of pieces of memory held.
	Pieces int `json:"pieces"`
	// AgeMs is the time since the request started, in ms.
	AgeMs int64 `json:"ageMs"`
}

// Load is an engine's load report. Its counts may be stale.
type Load struct {
	// Running is the number of requests that the engine runs.
	Running int `json:"running"`
	// Waiting is the number of requests in the engine's queue.
	Waiting int `json:"waiting"`
	// FreePieces is the number of free pieces of memory.
	FreePieces int `json:"freePieces"`
	// AtMs is the time of the counts, in ms since the Unix epoch.
	AtMs int64 `json:"atMs"`
	// State is "serving" or "leaving".
	State string `json:"state"`
	// Held lists the requests that hold memory at the time of the response; unlike
	// the counts it is not stale. It is set only if the request has the query ?held=1.
	Held []HeldRequest `json:"held,omitempty"`
}

// CacheEvents is a batch of changes to an engine's prefix cache.
type CacheEvents struct {
	// Seq is the sequence number of the batch.
	Seq int64 `json:"seq"`
	// Events are the changes, in order.
	Events []CacheEvent `json:"events"`
}

// CacheEvent is one change to an engine's prefix cache.
type CacheEvent struct {
	// Type is "BlockStored" or "BlockRemoved".
	Type string `json:"type"`
	// BlockHashes are the hashes of the blocks that were stored or removed.
	BlockHashes []uint64 `json:"block_hashes"`
}
