package usersplatform

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func (s *Server) consumeHandle(handle string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := s.handles[handle]
	delete(s.handles, handle)
	return ok
}

// servePlain answers a plain call after plainCallDuration, or after the time that its caller tells the stand-in.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, body []byte, fault ServerFault) {
	time.Sleep(headerInterval(r.Header, plainCallDuration))
	if fault.DropResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Seal", "seal-"+s.spec.ID)
	_, _ = fmt.Fprintf(w, "answer of %d bytes asked", len(body))
	if n, err := strconv.Atoi(r.Header.Get(bytesHeader)); err == nil {
		_, _ = io.WriteString(w, strings.Repeat(".", n))
	}
}

func (s *Server) prefill(w http.ResponseWriter) {
	time.Sleep(prefillDuration)
	var random [8]byte
	_, _ = rand.Read(random[:]) // crypto/rand.Read never fails.
	handle := hex.EncodeToString(random[:])
	s.mu.Lock()
	s.handles[handle] = true
	s.mu.Unlock()
	time.AfterFunc(handleTTL, func() { s.consumeHandle(handle) })
	reply(w, http.StatusOK, map[string]any{"KvHandle": handle, "Tokens": 100, "Version": 1})
}

// readPrompt gets a prompt's KV cache: from a server that has prefilled it or, if source is empty, by its
// own prefill at half the speed.
func (s *Server) readPrompt(source string) bool {
	if source == "" {
		time.Sleep(2 * prefillDuration)
		return true
	}
	return s.fetchPrefillResult(source)
}

// fetchPrefillResult fetches a prefill result from the server that holds it. A result
// can be fetched once; false means that it was fetched before or has expired.
func (s *Server) fetchPrefillResult(source string) bool {
	address, handle, ok := strings.Cut(source, "/")
	if !ok {
		return false
	}
	from := s.platform.serverAt(address)
	return from != nil && from.consumeHandle(handle)
}

// sourceSoftware returns the version of the software of the server that holds a prefill result.
func (s *Server) sourceSoftware(source string) string {
	address, _, _ := strings.Cut(source, "/")
	if from := s.platform.serverAt(address); from != nil {
		return from.spec.software()
	}
	return ""
}

// eventText returns the text of the event with a number.
func (s *Server) eventText(number int) string {
	if v := s.spec.software(); v != firstSoftware {
		return fmt.Sprintf("piece %d of %s", number, v)
	}
	return fmt.Sprintf("piece %d", number)
}

// Headers with which a caller tells the stand-in how long its answer is, whatever it told the daemon.
const (
	eventsHeader   = "X-Standin-Events"   // number of events
	intervalHeader = "X-Standin-Interval" // time between two events, or before the answer to a plain call, in ms
	bytesHeader    = "X-Standin-Bytes"    // number of bytes added to the answer to a plain call
)

// headerInterval returns the time that intervalHeader names, or the default.
func headerInterval(h http.Header, byDefault time.Duration) time.Duration {
	if ms, err := strconv.Atoi(h.Get(intervalHeader)); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return byDefault
}

// streamShape returns how many events a stream has and the time between them: one event for each
// tokensPerEvent output tokens that X-Token-Count requests, unless the caller tells otherwise.
func streamShape(h http.Header) (number int, interval time.Duration) {
	_, out, _ := strings.Cut(h.Get("X-Token-Count"), ",")
	tokens, _ := strconv.Atoi(out)
	number = tokens / tokensPerEvent
	if n, err := strconv.Atoi(h.Get(eventsHeader)); err == nil {
		number = min(number, n)
	}
	return number, headerInterval(h, eventInterval)
}

// stream sends the events of a stream, starting after Last-Event-Id.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault ServerFault) {
	number, interval := streamShape(r.Header)
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after
	}
	w.Header().Set("X-Server-Seal", "seal-"+s.spec.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	flush, pad := http.NewResponseController(w).Flush, padding(r.Header)
	for i := first + 1; i <= number; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-s.done:
			panic(http.ErrAbortHandler)
		case <-time.After(interval):
		}
		if fault.ResetAfterEvents > 0 && i-first > fault.ResetAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // in the middle of an event
			_ = flush()
			panic(http.ErrAbortHandler)
		}
		if fault.StallAfterEvents > 0 && i-first > fault.StallAfterEvents {
			<-r.Context().Done()
			return
		}
		if fault.EndAfterEvents > 0 && i-first > fault.EndAfterEvents {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s%s\n\n", i, s.eventText(i), pad); err != nil {
			return
		}
		if flush() != nil {
			return
		}
	}
}
