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

// servePrefill queues a prefill, waits for it and answers where its result is.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, j *job) {
	j.done = make(chan struct{})
	if err := e.take(j); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	e.mu.Lock()
	e.waiting = append(e.waiting, j)
	sort.SliceStable(e.waiting, func(a, b int) bool { return e.waiting[a].req.Priority > e.waiting[b].req.Priority })
	e.mu.Unlock()
	e.signal()
	select {
	case <-j.done:
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	aborted, cached := j.aborted, j.cached
	e.mu.Unlock()
	if aborted {
		http.Error(w, "aborted", 499)
		return
	}
	host, port := hostPort(r)
	reason := "length"
	usage := &completions.Usage{PromptTokens: prefix.Tokens(j.prompt), CompletionTokens: 1}
	usage.PromptTokensDetails.CachedTokens = cached
	writeJSON(w, http.StatusOK, completions.Answer{
		ID: j.rid, Object: "text_completion", Created: time.Now().Unix(), Model: j.req.Model, Usage: usage,
		Choices: []completions.Choice{{FinishReason: &reason}},
		KVTransferParams: &completions.KVTransferParams{
			DoRemotePrefill: true, RemoteEngineID: e.cfg.Name, RemoteRequestID: j.rid, RemoteHost: host, RemotePort: port,
		},
	})
}

// hostPort is the address under which the request reached the engine.
func hostPort(r *http.Request) (string, int) {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return "", 0
	}
	host, portText, _ := net.SplitHostPort(addr.String())
	port, _ := strconv.Atoi(portText)
	return host, port
}

// runPrefills does one prefill after the other, highest priority first.
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
	j.cached = prefix.Common(j.hashes, e.cache.has) * m.PieceTokens
	e.mu.Unlock()
	work := prefix.Tokens(j.prompt) - j.cached
	e.log.Write(eventlog.Event{
		Event: eventlog.Run, Upstream: e.cfg.Name, RequestID: j.requestID, Attempt: j.rid, Phase: settings.KindPrefill,
		Tokens: work, Cached: j.cached,
	})
	if _, ok := e.faults.Consume(fault.CrashOn, j.prompt); ok {
		e.OnCrash()
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
	lose := e.random.Float64() < eventGapChance
	time.AfterFunc(eventLag, func() { e.events.flush(lose) })
	close(j.done)
	time.AfterFunc(resultLife, func() { e.end(j, false) })
}

// fetch hands a prefill's result over to a decode engine; ok is false where it
// lives no more.
func (e *Engine) fetch(rid string) (ok bool) {
	e.mu.Lock()
	j, found := e.jobs[rid]
	alive := found && !j.ended
	tokens := 0
	if alive {
		tokens = prefix.Tokens(j.prompt)
	}
	e.mu.Unlock()
	if !alive {
		return false
	}
	seconds := float64(tokens) * e.cfg.Model.KVTokenKB / 1000 / e.cfg.Model.TransferMBps
	e.link.Lock()
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	e.link.Unlock()
	e.end(j, false)
	return true
}
