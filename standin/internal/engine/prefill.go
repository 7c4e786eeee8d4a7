package engine

import (
	"net"
	"net/http"
	"sort"
	"strconv"
	"time"

	"hemlockmux.example/common/completions"
	"hemlockmux.example/common/prefix"
	"hemlockmux.example/common/settings"
	"hemlockmux.example/standin/internal/eventlog"
	"hemlockmux.example/standin/internal/fault"
)

// servePrefill queues a prefill, waits until it has run and answers with the location
// of its result.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, j *job) {
	j.done = make(chan struct{})
	if err := e.admit(j); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	e.mu.Lock()
	e.waiting = append(e.waiting, j)
	sort.SliceStable(e.waiting, func(a, b int) bool { return e.waiting[a].req.Priority > e.waiting[b].req.Priority })
	e.mu.Unlock()
	e.wakeUp()
	select {
	case <-j.done:
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	aborted, cached := j.aborted, j.cachedTokens
	e.mu.Unlock()
	if aborted {
		http.Error(w, "aborted", 499)
		return
	}
	host, port := hostPort(r)
	reason := "length"
	usage := &completions.Usage{PromptTokens: prefix.EstimateTokens(j.prompt), CompletionTokens: 1}
	usage.PromptTokensDetails.CachedTokens = cached
	writeJSON(w, http.StatusOK, completions.Response{
		ID: j.attemptID, Object: "text_completion", Created: time.Now().Unix(), Model: j.req.Model, Usage: usage,
		Choices: []completions.Choice{{FinishReason: &reason}},
		KVTransferParams: &completions.KVTransferParams{
			DoRemotePrefill: true, RemoteEngineID: e.cfg.Name, RemoteRequestID: j.attemptID, RemoteHost: host, RemotePort: port,
		},
	})
}

// hostPort returns the local address of the connection on which the request arrived.
func hostPort(r *http.Request) (string, int) {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return "", 0
	}
	host, portText, _ := net.SplitHostPort(addr.String())
	port, _ := strconv.Atoi(portText)
	return host, port
}

// runPrefills runs the queued prefills one at a time, highest priority first.
func (e *Engine) runPrefills() {
	for {
		j := e.nextPrefill()
		if j == nil {
			select {
			case <-e.stop:
				return
			case <-e.wake:
			}
			continue
		}
		e.prefill(j)
	}
}

func (e *Engine) nextPrefill() *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !j.ended {
			return j
		}
	}
	return nil
}

func (e *Engine) prefill(j *job) {
	m := e.cfg.Model
	e.mu.Lock()
	j.cachedTokens = prefix.CachedBlocks(j.hashes, e.cache.has) * m.PieceTokens
	e.mu.Unlock()
	work := prefix.EstimateTokens(j.prompt) - j.cachedTokens
	e.log.Write(eventlog.Event{
		Event: eventlog.Run, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.attemptID, Phase: settings.KindPrefill,
		Tokens: work, Cached: j.cachedTokens,
	})
	if _, ok := e.faults.Consume(fault.CrashOn, j.prompt); ok {
		e.OnCrash(0)
		return
	}
	span := m.PrefillBaseMs.Duration() + time.Duration(int64(work)*m.PrefillTokenUs)*time.Microsecond
	select {
	case <-time.After(span):
	case <-e.stop:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.ended {
		return
	}
	stored, removed := e.cache.store(j.hashes)
	e.events.add(stored, removed)
	drop := e.random.Float64() < cacheEventLossProbability
	time.AfterFunc(cacheEventDelay, func() { e.events.flush(drop) })
	close(j.done)
	time.AfterFunc(resultTTL, func() { e.end(j, false) })
}

// fetch simulates the transfer of a prefill result to a decode engine and frees its
// memory; ok is false if the result has expired or was fetched before.
func (e *Engine) fetch(attemptID string) (ok bool) {
	e.mu.Lock()
	j, found := e.jobs[attemptID]
	held := found && !j.ended
	tokens := 0
	if held {
		tokens = prefix.EstimateTokens(j.prompt)
	}
	e.mu.Unlock()
	if !held {
		return false
	}
	seconds := float64(tokens) * e.cfg.Model.KVTokenKB / 1000 / e.cfg.Model.TransferMBps
	e.transferLink.Lock()
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	e.transferLink.Unlock()
	e.end(j, false)
	return true
}
