package engine

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/standin/internal/eventlog"
	"hemlockmux.example/standin/internal/fault"
)

// maxBodyBytes is the maximum number of bytes that are read of a request body.
const maxBodyBytes = 64 << 20

// serve handles one completion request as a prefill or a decode, depending on the
// engine's kind.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	attemptID := r.Header.Get("X-Request-Id")
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		e.resume(w, r, attemptID, last)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var req completions.Request
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := req.Text()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := e.newJob(req, attemptID, prompt, chat)
	j.requestID = cmp.Or(r.Header.Get("X-Correlation-Id"), attemptID)
	if e.cfg.Kind == settings.KindPrefill {
		e.servePrefill(w, r, j)
		return
	}
	e.serveDecode(w, r, j)
}

// serveDecode reserves memory, fetches the prefill result and streams the answer.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, j *job) {
	j.changed = make(chan struct{})
	if err := e.admit(j); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	if kv := j.req.KVTransferParams; kv != nil && kv.DoRemotePrefill {
		source := e.cluster.find(kv.RemoteEngineID)
		if source == nil || !source.fetch(kv.RemoteRequestID) {
			e.end(j, false)
			http.Error(w, "kv_expired: the prefill result has expired or was fetched before, or its engine has crashed or is unknown", http.StatusConflict)
			return
		}
	}
	e.log.Write(eventlog.Event{Event: eventlog.Run, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.attemptID, Phase: settings.KindDecode})
	if _, ok := e.faults.Consume(fault.CrashOn, j.prompt); ok {
		e.OnCrash(0)
		panic(http.ErrAbortHandler)
	}
	if f, ok := e.faults.ConsumeParts(promptParts(j.req, j.prompt)); ok {
		e.OnCrash(time.Duration(f.RestartMs) * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.waiting = append(e.waiting, j) // joins the batch at the next step
	e.mu.Unlock()
	e.wakeUp()
	e.stream(w, r, j, 0)
}

// promptParts returns the parts of a prompt: the contents of the messages, or the
// paragraphs of the prompt, which blank lines separate. The last is the request's own.
func promptParts(req completions.Request, prompt string) []string {
	if len(req.Messages) == 0 {
		return strings.Split(prompt, "\n\n")
	}
	var parts []string
	for _, m := range req.Messages {
		parts = append(parts, m.Content)
	}
	return parts
}

// resume continues a stream after the event with the id last.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, attemptID, last string) {
	offset, err := strconv.Atoi(last)
	e.mu.Lock()
	j, ok := e.jobs[attemptID]
	e.mu.Unlock()
	if err != nil || !ok || j.changed == nil {
		http.Error(w, "no stream with this X-Request-Id, or Last-Event-ID is not a number", http.StatusNotFound)
		return
	}
	e.stream(w, r, j, offset+1)
}

// runSteps runs the decode loop: each step generates one token for every request of
// the batch.
func (e *Engine) runSteps() {
	var batch []*job
	for {
		batch = e.step(batch)
		if len(batch) == 0 {
			select {
			case <-e.stop:
				return
			case <-e.wake:
			}
			continue
		}
		m := e.cfg.Model
		ms := m.StepBaseMs + m.StepPerSlotMs*float64(len(batch)-1)
		select {
		case <-e.stop:
			return
		case <-time.After(time.Duration(ms * float64(time.Millisecond))):
		}
	}
}

// step adds one token to each request of the batch, removes finished requests, adds
// the waiting ones and returns the batch of the next step.
func (e *Engine) step(batch []*job) []*job {
	e.mu.Lock()
	defer e.mu.Unlock()
	var next []*job
	for _, j := range batch {
		if j.ended {
			continue
		}
		j.madeTokens++
		if j.madeTokens >= j.wantTokens {
			e.endLocked(j, false)
			continue
		}
		close(j.changed)
		j.changed = make(chan struct{})
		next = append(next, j)
	}
	for _, j := range e.waiting {
		if !j.ended {
			next = append(next, j)
		}
	}
	e.waiting = nil
	return next
}

// stream sends the tokens from offset on, as they are generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		e.mu.Lock()
		made, ended, aborted, changed := j.madeTokens, j.ended, j.aborted, j.changed
		e.mu.Unlock()
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if e.faults.IsConnSilent(r.Context()) {
			<-r.Context().Done()
			return
		}
		if offset < made {
			if !e.write(w, r, j, offset, made) {
				return
			}
			_ = controller.Flush()
			offset = made
		}
		if ended {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", j.wantTokens, completions.DoneEvent)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// write sends the chunks from offset up to end, with the faults in force applied. It
// returns false if the stream can't continue.
func (e *Engine) write(w http.ResponseWriter, r *http.Request, j *job, offset, end int) bool {
	var chunks [][]byte
	for i := offset; i < end; i++ {
		chunk := e.chunk(j, i)
		if _, ok := e.faults.Consume(fault.DropChunk, j.prompt); ok {
			continue
		}
		chunks = append(chunks, chunk)
		if _, ok := e.faults.Consume(fault.Duplicate, j.prompt); ok {
			chunks = append(chunks, chunk)
		}
		if _, ok := e.faults.Consume(fault.Reorder, j.prompt); ok && i+1 < j.wantTokens {
			chunks[len(chunks)-1] = e.chunk(j, i+1)
			chunks = append(chunks, chunk)
		}
	}
	if _, ok := e.faults.Consume(fault.Stall, j.prompt); ok {
		<-r.Context().Done()
		return false
	}
	_, err := w.Write(bytes.Join(chunks, nil))
	return err == nil
}

// Token returns the i-th output token for a prompt. It contains a hash of the prompt
// and the index, so that a test can check that an answer is complete and belongs to
// its prompt.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, prompt)
	return fmt.Sprintf("%08x.%d ", h.Sum32(), i)
}

func (e *Engine) chunk(j *job, i int) []byte {
	answer := completions.Response{ID: j.attemptID, Object: "text_completion", Created: j.started.Unix(), Model: j.req.Model}
	choice := completions.Choice{Text: Token(j.prompt, i)}
	if j.chat {
		answer.Object = "chat.completion.chunk"
		choice = completions.Choice{Delta: &completions.Message{Role: "assistant", Content: Token(j.prompt, i)}}
	}
	if i == j.wantTokens-1 {
		reason := "length"
		choice.FinishReason = &reason
		prompt := prefix.EstimateTokens(j.prompt)
		answer.Usage = &completions.Usage{PromptTokens: prompt, CompletionTokens: j.wantTokens, TotalTokens: prompt + j.wantTokens}
	}
	answer.Choices = []completions.Choice{choice}
	data, _ := json.Marshal(answer) // a struct of plain fields always encodes
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i, data)
}
