package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes a load and where to send it.
type Config struct {
	// CallerAddresses are the daemons' ports for callers (host:port). If there are
	// none, requests go directly to the engines at PrefillAddresses and
	// DecodeAddresses.
	CallerAddresses []string
	// PrefillAddresses and DecodeAddresses are the engines' addresses (host:port).
	PrefillAddresses, DecodeAddresses []string
	// TeamKey is the API key of the team, used with CallerAddresses only.
	TeamKey string
	// Model is the name of the model to request.
	Model string
	// Rate is the mean number of requests per second.
	Rate float64
	// Seconds is how long requests are sent, in seconds.
	Seconds float64
	// MeanPromptTokens and MeanOutputTokens are the mean lengths of prompt and output,
	// in tokens.
	MeanPromptTokens, MeanOutputTokens int
	// FixedOutput makes all outputs MeanOutputTokens long.
	FixedOutput bool
	// Seed determines the arrivals, the prompts and the output lengths.
	Seed uint64
	// FirstTokenTarget is the greatest time to the first token of a good request.
	FirstTokenTarget time.Duration
	// BetweenTokensTarget is the greatest mean time between tokens of a good
	// request.
	BetweenTokensTarget time.Duration
}

// Report holds the results of a load.
type Report struct {
	// Config is the load that was sent.
	Config Config
	// Sent is the number of requests sent.
	Sent int
	// Good is the number of completed requests that met both targets.
	Good int
	// Complete is the number of requests whose answer arrived in full.
	Complete int
	// Chunks is the number of chunks received, also of incomplete answers.
	Chunks int
	// Reasons counts the incomplete requests by the reason of their failure.
	Reasons map[string]int
	// FirstToken and BetweenTokens are the time to the first token and the mean time
	// between tokens of completed requests, in microseconds.
	FirstToken, BetweenTokens *hdrhistogram.Histogram
	// Elapsed is the time from the start until all answers had ended.
	Elapsed time.Duration
}

// maxMicros is the greatest value of the histograms: ten minutes, in microseconds.
const maxMicros = int64(600_000_000)

// Run sends the requests and waits for all answers.
func Run(ctx context.Context, cfg Config) Report {
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	r := Report{
		Config: cfg, Reasons: map[string]int{},
		FirstToken: hdrhistogram.New(1, maxMicros, 3), BetweenTokens: hdrhistogram.New(1, maxMicros, 3),
	}
	samples := make(chan sample, 256)
	collected := make(chan struct{})
	go r.collect(samples, collected)
	var all sync.WaitGroup
	started := time.Now()
	at := started
	for i := 0; ctx.Err() == nil && at.Sub(started).Seconds() < cfg.Seconds; i++ {
		prompt, tokens, sender := cfg.prompt(rng, i), cfg.tokens(rng), cfg.sender(i)
		time.Sleep(time.Until(at))
		all.Go(func() { samples <- sender.send(ctx, prompt, tokens) })
		at = at.Add(time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second)))
	}
	all.Wait()
	close(samples)
	<-collected
	r.Elapsed = time.Since(started)
	return r
}

// prompt returns a prompt that is unique to the request. With a probability of one half
// it begins with lines that are each taken at random from one of eight common sheets, so
// that prefix caches can hit.
func (c Config) prompt(rng *rand.Rand, i int) string {
	size := 4 * int(float64(c.MeanPromptTokens)*math.Exp(0.5*rng.NormFloat64()-0.125))
	var b strings.Builder
	if rng.IntN(2) == 0 {
		for b.Len() < size/2 {
			fmt.Fprintf(&b, "common sheet %d, line %d. ", rng.IntN(8), b.Len())
		}
	}
	fmt.Fprintf(&b, "request %d of seed %d: ", i, c.Seed)
	for b.Len() < size {
		fmt.Fprintf(&b, "pole %d ", rng.IntN(1_000_000))
	}
	return b.String()
}

func (c Config) tokens(rng *rand.Rand) int {
	if c.FixedOutput {
		return c.MeanOutputTokens
	}
	return int(min(1000, max(2, float64(c.MeanOutputTokens)*math.Exp(0.5*rng.NormFloat64()-0.125))))
}

func (c Config) sender(i int) sender {
	if len(c.CallerAddresses) > 0 {
		return router{address: c.CallerAddresses[i%len(c.CallerAddresses)], key: c.TeamKey, model: c.Model}
	}
	return direct{prefill: c.PrefillAddresses[i%len(c.PrefillAddresses)], decode: c.DecodeAddresses[i%len(c.DecodeAddresses)], model: c.Model}
}

func (r *Report) collect(samples <-chan sample, done chan<- struct{}) {
	defer close(done)
	for s := range samples {
		r.Sent++
		r.Chunks += s.chunks
		if !s.complete {
			r.Reasons[s.reason]++
			continue
		}
		r.Complete++
		_ = r.FirstToken.RecordValue(min(maxMicros, s.firstToken.Microseconds()))
		_ = r.BetweenTokens.RecordValue(min(maxMicros, s.betweenTokens.Microseconds()))
		if s.firstToken <= r.Config.FirstTokenTarget && s.betweenTokens <= r.Config.BetweenTokensTarget {
			r.Good++
		}
	}
}

// ms returns a percentile of a histogram of microseconds, in milliseconds.
func ms(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// Print writes the report as text.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "sent %d, completed %d, goodput %.2f per second (%.1f %% of sent met both targets)\n",
		r.Sent, r.Complete, float64(r.Good)/r.Config.Seconds, 100*float64(r.Good)/math.Max(1, float64(r.Sent)))
	fmt.Fprintf(out, "first token: p50 %.2f, p95 %.2f, p99 %.2f ms; between tokens: p50 %.2f, p95 %.2f ms\n",
		ms(r.FirstToken, 50), ms(r.FirstToken, 95), ms(r.FirstToken, 99), ms(r.BetweenTokens, 50), ms(r.BetweenTokens, 95))
	var reasons []string
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(out, "not completed: %d %s\n", r.Reasons[reason], reason)
	}
}
