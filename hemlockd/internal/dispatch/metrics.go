package dispatch

import (
	"expvar"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

// Rate limits of the log lines for requests, in lines per second; the burst size is
// the same number. Requests that were not served have a limit of their own, so that
// lines of served requests cannot displace theirs.
const (
	servedLinesPerSecond = 100
	failedLinesPerSecond = 200
)

// requestLogLimits limits the rate of log lines for requests.
type requestLogLimits struct{ served, failed *rate.Limiter }

func newRequestLogLimits() *requestLogLimits {
	return &requestLogLimits{
		served: rate.NewLimiter(servedLinesPerSecond, servedLinesPerSecond),
		failed: rate.NewLimiter(failedLinesPerSecond, failedLinesPerSecond),
	}
}

// allow reports whether a line for a request may be logged now.
func (l *requestLogLimits) allow(served bool) bool {
	if served {
		return l.served.Allow()
	}
	return l.failed.Allow()
}

const (
	// maxLatencyMs is the largest value of the histograms, in ms.
	maxLatencyMs = int64(2 * clock.Minute)
	// latencySignificantDigits is the precision of the histograms in decimal digits.
	latencySignificantDigits = 2
)

// latencies holds histograms in ms: for each kind of route the time to the end of the
// answer, and for all requests the time to the first event and the time spent waiting
// for an engine.
type latencies struct {
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Names of the histograms that are not named after a kind of route.
const (
	latencyFirstEvent = "firstEvent"
	latencyQueueTime  = "waited"
)

// publishLatencies publishes the histograms of the process's first dispatcher only,
// because expvar panics if a name is published twice.
var publishLatencies sync.Once

func newLatencies() *latencies {
	l := &latencies{histograms: map[string]*hdrhistogram.Histogram{}}
	for _, name := range []string{
		routing.Idempotent.String(), routing.NonIdempotent.String(), routing.Streaming.String(), latencyFirstEvent, latencyQueueTime,
	} {
		l.histograms[name] = hdrhistogram.New(1, maxLatencyMs, latencySignificantDigits)
	}
	publishLatencies.Do(func() { expvar.Publish("latenciesMs", expvar.Func(l.summary)) })
	return l
}

// LatencySummary is the summary of one histogram in the metrics.
type LatencySummary struct {
	// Count is the number of recorded values.
	Count int64 `json:"count"`
	// P50, P95 and P99 are percentiles in ms.
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
	// Max is the largest recorded value in ms.
	Max int64 `json:"max"`
}

// summary returns a LatencySummary of each histogram by name.
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

// recordValue adds a value to the named histogram, clamped to 1..maxLatencyMs.
func (l *latencies) recordValue(name string, span clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h, ok := l.histograms[name]; ok {
		if err := h.RecordValue(min(maxLatencyMs, max(1, int64(span)))); err != nil {
			metrics.Add("latenciesLost", 1)
		}
	}
}

// recordRequest records the latency of a request that an upstream answered, and the
// queueing time of any request that waited for an engine.
func (l *latencies) recordRequest(x *exchange, end clock.Millis) {
	if x.route != nil && x.reason == reasonServed {
		l.recordValue(x.route.Kind.String(), end-x.arrivedMs)
	}
	if x.queueTimeMs > 0 {
		l.recordValue(latencyQueueTime, x.queueTimeMs)
	}
}
