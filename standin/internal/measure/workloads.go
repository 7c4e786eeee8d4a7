package measure

import (
	"math/rand/v2"

	"hemlockmux.example/common/admission"
	"hemlockmux.example/common/settings"
)

// Config describes the engines and the load of a measurement.
type Config struct {
	// Model describes the engines' speed and memory.
	Model settings.Model
	// Policy holds the latency targets, retry limits and weights.
	Policy settings.Policy
	// Prefills is the number of prefill engines.
	Prefills int
	// Decodes is the number of decode engines.
	Decodes int
	// MeanPromptTokens and MeanOutputTokens are the mean lengths in tokens. Single
	// prompts range from tens to tens of thousands of tokens.
	MeanPromptTokens, MeanOutputTokens float64
	// SharedPrefixShare is the fraction of prompts that begin with one of
	// SharedPrefixes common texts.
	SharedPrefixShare float64
	SharedPrefixes    int
	// LoadSeconds and WarmUpSeconds are the lengths of the measured part of a run
	// and of the warm-up before it, in virtual seconds.
	LoadSeconds, WarmUpSeconds float64
	// CrashEverySeconds is the mean time between two crashes of any engine, in
	// virtual seconds; a crashed engine is down for CrashDurationSeconds.
	CrashEverySeconds, CrashDurationSeconds float64
	// StallEverySeconds is the mean time between two stalls of any prefill
	// engine's link, in virtual seconds; each lasts for StallDurationSeconds.
	StallEverySeconds, StallDurationSeconds float64
}

// Workloads returns the available configurations by name.
func Workloads() map[string]Config {
	letter := Config{
		Model: settings.DefaultModel(), Policy: settings.DefaultSystem().Policy, Prefills: 4, Decodes: 6,
		MeanPromptTokens: 3300, MeanOutputTokens: 283, SharedPrefixShare: 0.5, SharedPrefixes: 40, LoadSeconds: 90, WarmUpSeconds: 20,
		CrashEverySeconds: 60, CrashDurationSeconds: 5, StallEverySeconds: 30, StallDurationSeconds: 4,
	}
	// Long spec sheets and short recommendations: prefill is the bottleneck.
	poleworks := letter
	poleworks.Prefills, poleworks.Decodes, poleworks.MeanPromptTokens, poleworks.MeanOutputTokens = 6, 4, 6000, 60
	poleworks.Policy.GoodputWeight, poleworks.Policy.WasteWeight = 1, 4
	lampoterassi := poleworks
	lampoterassi.Policy.GoodputWeight, lampoterassi.Policy.WasteWeight = 4, 1
	return map[string]Config{"letter": letter, "poleworks": poleworks, "lampoterassi": lampoterassi}
}

// Capacity returns the number of requests per second that the engines can serve within
// the target for the time between tokens, assuming that the prefix cache never hits.
func (c Config) Capacity() float64 {
	group := admission.NewGroup(admission.DefaultOptions(), c.Model, c.Policy, rand.New(rand.NewPCG(1, 1)))
	batch := float64(group.MaxBatch())
	stepMs := c.Model.StepBaseMs + c.Model.StepPerSlotMs*(batch-1)
	holdMs := c.MeanOutputTokens*stepMs + c.prefillMs() + c.MeanPromptTokens*c.Model.KVTokenKB/c.Model.TransferMBps
	decode := float64(c.Decodes) * batch / holdMs * 1000
	prefill := float64(c.Prefills) / c.prefillMs() * 1000
	return min(decode, prefill)
}

func (c Config) prefillMs() float64 {
	return float64(c.Model.PrefillBaseMs) + c.MeanPromptTokens*float64(c.Model.PrefillTokenUs)/1000
}
