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

// Config is one load.
type Config struct {
	// CallerAddresses are daemons' ports for callers; Prefills and Decodes are engines
	// that requests go straight to instead.
	CallerAddresses                   []string
	PrefillAddresses, DecodeAddresses []string
	TeamKey, Model                    string
	Rate                              float64 // requests a second
	Seconds                           float64
	// MeanPromptTokens and MeanOutputTokens are in tokens.
	MeanPromptTokens, MeanOutputTokens int
	FixedOutput                        bool
	Seed                               uint64
	FirstTokenTarget                   time.Duration
	BetweenTokensTarget                time.Duration
}

// Report is what a load came to.
type Report struct {
	Config   Config
	Sent     int
	Good     int
	Complete int
	Chunks   int
	Reasons  map[string]int
	// FirstToken and BetweenTokens are in microseconds.
	FirstToken, BetweenTokens *hdrhistogram.Histogram
	Elapsed                   time.Duration
}

// maxMicros bounds the histograms: ten minutes.
const maxMicros = int64(600_000_000)

// Run sends the load and waits for all answers.
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

// prompt makes a text of its own for each request, half of them with one of a
// few common beginnings.
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
		if !s.whole {
			r.Reasons[s.reason]++
			continue
		}
		r.Complete++
		_ = r.FirstToken.RecordValue(min(maxMicros, s.first.Microseconds()))
		_ = r.BetweenTokens.RecordValue(min(maxMicros, s.between.Microseconds()))
		if s.first <= r.Config.FirstTokenTarget && s.between <= r.Config.BetweenTokensTarget {
			r.Good++
		}
	}
}

// ms reads a percentile in milliseconds.
func ms(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// Print writes the report for people.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "sent %d, whole %d, goodput %.2f a second (%.1f %% of sent in target)\n",
		r.Sent, r.Complete, float64(r.Good)/r.Config.Seconds, 100*float64(r.Good)/math.Max(1, float64(r.Sent)))
	fmt.Fprintf(out, "first token: p50 %.2f, p95 %.2f, p99 %.2f ms; between tokens: p50 %.2f, p95 %.2f ms\n",
		ms(r.FirstToken, 50), ms(r.FirstToken, 95), ms(r.FirstToken, 99), ms(r.BetweenTokens, 50), ms(r.BetweenTokens, 95))
	var reasons []string
	for reason := range r.Reasons {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		fmt.Fprintf(out, "not served: %d %s\n", r.Reasons[reason], reason)
	}
}
