package measure

import (
	"fmt"
	"io"
	"math"
	"sort"
	"sync"
	"text/tabwriter"

	"hemlockmux.example/common/admission"
)

// Variant is a named set of admission options.
type Variant struct {
	// Name names the variant in the report.
	Name string
	// Options are the admission options that it uses.
	Options admission.Options
}

// Variants returns the variants in order; each changes one option of the one before it.
func Variants() []Variant {
	variants := []Variant{{Name: "random"}}
	options := admission.Options{Strategy: admission.ReportedLoad}
	add := func(name string, change func()) {
		change()
		variants = append(variants, Variant{Name: name, Options: options})
	}
	add("least loaded by report", func() {})
	add("+ decode reserved first", func() { options.ReserveDecode = true })
	add("+ own grants counted", func() { options.Strategy = admission.GrantedLoad })
	add("+ routed by prefix", func() { options.PrefixRouting = true })
	add("+ admitted by prediction", func() { options.Predict = true })
	add("+ priorities", func() { options.Priorities = true })
	return variants
}

// Loads lists the loads to measure, as fractions of capacity.
var Loads = []float64{0.6, 0.9, 1.1, 1.4}

// Row holds the results of one variant at one load.
type Row struct {
	// Variant is the name of the variant.
	Variant string
	// Load is the load as a fraction of capacity.
	Load float64
	// Faults reports whether engines crashed and links stalled.
	Faults bool
	// Runs holds one result for each seed.
	Runs []Result
}

// Compare measures all variants at all loads, without and with faults.
func Compare(cfg Config, variants []Variant, seeds int) []Row {
	var rows []Row
	for _, faults := range []bool{false, true} {
		for _, load := range Loads {
			for _, variant := range variants {
				rows = append(rows, Row{Variant: variant.Name, Load: load, Faults: faults, Runs: make([]Result, seeds)})
			}
		}
	}
	options := map[string]admission.Options{}
	for _, variant := range variants {
		options[variant.Name] = variant.Options
	}
	limit := make(chan struct{}, 4)
	var all sync.WaitGroup
	for _, row := range rows {
		for seed := range seeds {
			limit <- struct{}{}
			all.Go(func() {
				row.Runs[seed] = Run(cfg, options[row.Variant], row.Load, row.Faults, uint64(seed+1))
				<-limit
			})
		}
	}
	all.Wait()
	return rows
}

// meanAndDeviation returns the mean and the standard deviation of a value over the runs.
func (r Row) meanAndDeviation(value func(Result) float64) (mean, deviation float64) {
	for _, run := range r.Runs {
		mean += value(run) / float64(len(r.Runs))
	}
	for _, run := range r.Runs {
		deviation += math.Pow(value(run)-mean, 2) / float64(len(r.Runs))
	}
	return mean, math.Sqrt(deviation)
}

// percentile returns the p-th percentile of the values of all runs.
func (r Row) percentile(p float64, values func(Result) []float64) float64 {
	var all []float64
	for _, run := range r.Runs {
		all = append(all, values(run)...)
	}
	if len(all) == 0 {
		return 0
	}
	sort.Float64s(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}

// MeanGoodput returns the mean goodput over the seeds, in requests per second.
func (r Row) MeanGoodput() float64 {
	mean, _ := r.meanAndDeviation(Result.Goodput)
	return mean
}

// MeanWaste returns the mean fraction of wasted prefill over the seeds.
func (r Row) MeanWaste() float64 {
	mean, _ := r.meanAndDeviation(Result.Waste)
	return mean
}

// MetTargets returns the mean fraction of admitted requests that met both targets.
func (r Row) MetTargets() float64 {
	mean, _ := r.meanAndDeviation(func(run Result) float64 { return float64(run.Good) / math.Max(1, float64(run.Admitted)) })
	return mean
}

// Print writes rows as a Markdown table.
func Print(out io.Writer, cfg Config, rows []Row) {
	fmt.Fprintf(out, "Capacity: %.1f requests per second; %d prefill and %d decode engines; %d seeds, %.0f s each.\n\n",
		cfg.Capacity(), cfg.Prefills, cfg.Decodes, len(rows[0].Runs), cfg.LoadSeconds)
	w := tabwriter.NewWriter(out, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "| faults\t| load\t| variant\t| goodput/s\t| admitted that met targets\t| wasted prefill\t| refused\t| failed\t| first token p50, p95 ms\t| between tokens p95 ms\t| good by priority 0, 1, 2\t|")
	fmt.Fprintln(w, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, r := range rows {
		good, goodDev := r.meanAndDeviation(Result.Goodput)
		waste, wasteDev := r.meanAndDeviation(Result.Waste)
		refused, _ := r.meanAndDeviation(func(run Result) float64 { return float64(run.Refused) / float64(run.Offered) })
		failed, _ := r.meanAndDeviation(func(run Result) float64 { return float64(run.Failed) / float64(run.Offered) })
		first := func(run Result) []float64 { return run.FirstTokenMs }
		fmt.Fprintf(w, "| %s\t| %.0f %%\t| %s\t| %.2f ± %.2f\t| %.1f %%\t| %.2f ± %.2f %%\t| %.1f %%\t| %.1f %%\t| %.0f, %.0f\t| %.1f\t| %s\t|\n",
			yesNo(r.Faults), 100*r.Load, r.Variant, good, goodDev, 100*r.MetTargets(), 100*waste, 100*wasteDev, 100*refused, 100*failed,
			r.percentile(0.5, first), r.percentile(0.95, first),
			r.percentile(0.95, func(run Result) []float64 { return run.BetweenTokensMs }), r.goodByPriority())
	}
	_ = w.Flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// goodByPriority formats the percentage of the offered requests of each priority that
// met both targets.
func (r Row) goodByPriority() string {
	text := ""
	for p := range 3 {
		share, _ := r.meanAndDeviation(func(run Result) float64 {
			return float64(run.GoodByPriority[p]) / math.Max(1, float64(run.OfferedByPriority[p]))
		})
		text += fmt.Sprintf("%.0f ", 100*share)
	}
	return text + "%"
}
