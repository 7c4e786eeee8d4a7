package measure

import (
	"math/rand/v2"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/settings"
)

// Config is the pool and the load of a measurement.
type Config struct {
	Model    settings.Model
	Policy   settings.Policy
	Prefills int
	Decodes  int
	// MeanPrompt and MeanOutput are in tokens; prompts spread from tens to tens
	// of thousands.
	MeanPrompt, MeanOutput float64
	// SharedShare of the prompts begin with one of Documents common texts.
	SharedShare float64
	Documents   int
	// SecondsOfLoad and WarmUp bound one run, in virtual seconds.
	SecondsOfLoad, WarmUp float64
	// CrashEverySeconds is the mean time between two crashes of any engine; a
	// crashed engine is away for CrashForSeconds.
	CrashEverySeconds, CrashForSeconds float64
	// StallEverySeconds is the mean time between two stalls of any prefill
	// engine's link, for StallForSeconds each.
	StallEverySeconds, StallForSeconds float64
}

// Workloads returns the configurations that can be measured, by name.
func Workloads() map[string]Config {
	letter := Config{
		Model: settings.DefaultModel(), Policy: settings.DefaultSystem().Policy, Prefills: 4, Decodes: 6,
		MeanPrompt: 3300, MeanOutput: 283, SharedShare: 0.5, Documents: 40, SecondsOfLoad: 90, WarmUp: 20,
		CrashEverySeconds: 60, CrashForSeconds: 5, StallEverySeconds: 30, StallForSeconds: 4,
	}
	// Long spec sheets and short recommendations: prefill is the scarce part.
	poleworks := letter
	poleworks.Prefills, poleworks.Decodes, poleworks.MeanPrompt, poleworks.MeanOutput = 6, 4, 6000, 60
	poleworks.Policy.GoodputWeight, poleworks.Policy.WasteWeight = 1, 4
	lampoterassi := poleworks
	lampoterassi.Policy.GoodputWeight, lampoterassi.Policy.WasteWeight = 4, 1
	return map[string]Config{"letter": letter, "poleworks": poleworks, "lampoterassi": lampoterassi}
}

// Capacity is the requests a second that the pool can serve within the target
// for the time between tokens, without help from the prefix cache.
func (c Config) Capacity() float64 {
	group := admission.NewGroup(admission.DefaultOptions(), c.Model, c.Policy, rand.New(rand.NewPCG(1, 1)))
	batch := float64(group.MaxBatch())
	stepMs := c.Model.StepBaseMs + c.Model.StepPerSlotMs*(batch-1)
	holdMs := c.MeanOutput*stepMs + c.prefillMs() + c.MeanPrompt*c.Model.KVTokenKB/c.Model.TransferMBps
	decode := float64(c.Decodes) * batch / holdMs * 1000
	prefill := float64(c.Prefills) / c.prefillMs() * 1000
	return min(decode, prefill)
}

func (c Config) prefillMs() float64 {
	return float64(c.Model.PrefillBaseMs) + c.MeanPrompt*float64(c.Model.PrefillTokenUs)/1000
}
