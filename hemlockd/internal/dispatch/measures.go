package dispatch

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// Bounds of the log's request lines, each in lines a second with a burst of as
// many. Lines of requests that were not served have a bound of their own, so
// that those of served ones never crowd them out.
const (
	servedLinesPerSecond = 100
	failedLinesPerSecond = 200
)

// lineLimits bounds the lines of the log.
type lineLimits struct{ served, failed *rate.Limiter }

func newLineLimits() *lineLimits {
	return &lineLimits{
		served: rate.NewLimiter(servedLinesPerSecond, servedLinesPerSecond),
		failed: rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond),
	}
}

func (l *lineLimits) allow(served bool) bool {
	if served {
		return l.served.Allow()
	}
	return l.failed.Allow()
}

const (
	// maxLatency bounds what the histograms tell apart, in ms.
	maxLatency = int64(2 * clock.Minute)
	// latencyDigits is the number of digits that they keep.
	latencyDigits = 2
)

// latencies holds a histogram of the time to the end of the answer, in ms, for
// each kind of route, and of the time to the first event and in the queue.
type latencies struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Names of the histograms, beside those of the kinds of routes.
const (
	latencyFirstEvent = "firstEvent"
	latencyWaited     = "waited"
)

var publishLatencies sync.Once

func newLatencies() *latencies {
	l := &latencies{histograms: map[string]*hdrhistogram.Histogram{}}
	for _, name := range []string{
		routing.Idempotent.String(), routing.NonIdempotent.String(), routing.Streaming.String(), latencyFirstEvent, latencyWaited,
	} {
		l.histograms[name] = hdrhistogram.New(1, maxLatency, latencyDigits)
	}
	publishLatencies.Do(func() { expvar.Publish("latenciesMs", expvar.Func(l.summary)) })
	return l
}

// LatencySummary is one histogram as the metrics show it; times in ms.
type LatencySummary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func (l *latencies) summary() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]LatencySummary{}
	for name, h := range l.histograms {
		all[name] = LatencySummary{
			Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(),
		}
	}
	return all
}

// note counts one time; what is beyond the bound counts as the bound.
func (l *latencies) note(name string, span clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.histograms[name]; ok {
		if err := h.RecordValue(min(maxLatency, max(1, int64(span)))); err != nil {
			metrics.Add("latenciesLost", 1)
		}
	}
}

// record counts a request that was answered by an upstream, and its wait.
func (l *latencies) record(x *exchange, end clock.Millis) {
	if x.route != nil && x.reason == reasonServed {
		l.note(x.route.Kind.String(), end-x.arrivedMs)
	}
	if x.waitedMs > 0 {
		l.note(latencyWaited, x.waitedMs)
	}
}
