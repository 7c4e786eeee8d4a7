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
	"time"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/standin/internal/eventlog"
	"hemlockmux.example/standin/internal/fault"
)

// maxBody bounds a request's body.
const maxBody = 64 << 20

// serve takes one completion request, in whichever role the engine has.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	rid := r.Header.Get("X-Request-Id")
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		e.resume(w, r, rid, last)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
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
	j := e.newJob(req, rid, prompt, chat)
	j.requestID = cmp.Or(r.Header.Get("X-Correlation-Id"), rid)
	if e.cfg.Kind == settings.KindPrefill {
		e.servePrefill(w, r, j)
		return
	}
	e.serveDecode(w, r, j)
}

// serveDecode fetches the prefill's result and streams the answer.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, j *job) {
	j.changed = make(chan struct{})
	if err := e.take(j); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	if kv := j.req.KVTransferParams; kv != nil && kv.DoRemotePrefill {
		source := e.cluster.find(kv.RemoteEngineID)
		if source == nil || !source.fetch(kv.RemoteRequestID) {
			e.end(j, false)
			http.Error(w, "kv_expired: the prefill's result is gone", http.StatusConflict)
			return
		}
	}
	e.log.Write(eventlog.Event{Event: eventlog.Run, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.rid, Phase: settings.KindDecode})
	if _, ok := e.faults.Consume(fault.CrashOn, j.prompt); ok {
		e.OnCrash()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	e.waiting = append(e.waiting, j) // joins the batch at the next step
	e.mu.Unlock()
	e.signal()
	e.stream(w, r, j, 0)
}

// resume goes on with a stream after the last event that arrived.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, rid, last string) {
	offset, err := strconv.Atoi(last)
	e.mu.Lock()
	j, ok := e.jobs[rid]
	e.mu.Unlock()
	if err != nil || !ok || j.changed == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.stream(w, r, j, offset+1)
}

// runSteps makes one token for each running request at every step.
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

// step makes tokens for batch, lets waiting requests join, and returns the
// batch of the next step.
func (e *Engine) step(batch []*job) []*job {
	e.mu.Lock()
	defer e.mu.Unlock()
	var next []*job
	for _, j := range batch {
		if j.ended {
			continue
		}
		j.tokens++
		if j.tokens >= j.want {
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

// stream sends the tokens from an offset on, as they are made.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for {
		e.mu.Lock()
		made, ended, aborted, changed := j.tokens, j.ended, j.aborted, j.changed
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
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", j.want, completions.Done)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// write sends the chunks from offset up to end, with the faults in force.
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
		if _, ok := e.faults.Consume(fault.Reorder, j.prompt); ok && i+1 < j.want {
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

// Token is the i-th output token for a prompt: it names the prompt and the
// place, so that a test can tell whether an answer is whole and one's own.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, prompt)
	return fmt.Sprintf("%08x.%d ", h.Sum32(), i)
}

func (e *Engine) chunk(j *job, i int) []byte {
	answer := completions.Answer{ID: j.rid, Object: "text_completion", Created: j.started.Unix(), Model: j.req.Model}
	choice := completions.Choice{Text: Token(j.prompt, i)}
	if j.chat {
		answer.Object = "chat.completion.chunk"
		choice = completions.Choice{Delta: &completions.Message{Role: "assistant", Content: Token(j.prompt, i)}}
	}
	if i == j.want-1 {
		reason := "length"
		choice.FinishReason = &reason
		prompt := prefix.Tokens(j.prompt)
		answer.Usage = &completions.Usage{PromptTokens: prompt, CompletionTokens: j.want, TotalTokens: prompt + j.want}
	}
	answer.Choices = []completions.Choice{choice}
	data, _ := json.Marshal(answer) // a struct of plain fields always encodes
	return fmt.Appendf(nil, "id: %d\ndata: %s\n\n", i, data)
}
