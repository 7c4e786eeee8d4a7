package roles

import (
	"slices"
	"testing"

	"hemlockmux.example/common/clock"
)

func TestIdlePrefillEngineDecodesWhereDecodingIsBusy(t *testing.T) {
	p := DefaultPolicy()
	for _, c := range []struct {
		name string
		load Load
		want Change
	}{
		{"busy decode, idle prefill", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 1.25, DecodeWork: 4}, ToDecode},
		{"the last prefill engine stays", Load{Prefillers: 1, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 0.5, DecodeWork: 7.2}, Stay},
		{"prefill has no spare time", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 3, AllDecoders: 5, PrefillWork: 1.9, DecodeWork: 4.5}, Stay},
		{"all is idle", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 0.5, DecodeWork: 0.8}, Stay},
		{"busy prefill, idle decode", Load{Prefillers: 1, Decoders: 4, AllPrefillers: 2, AllDecoders: 6, PrefillWork: 1.9, DecodeWork: 0.6}, ToPrefill},
		{"both are busy, prefill more", Load{Prefillers: 1, Decoders: 4, AllPrefillers: 7, AllDecoders: 38, PrefillWork: 6.9, DecodeWork: 33}, ToPrefill},
	} {
		if got := p.Wanted(c.load); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestChangeMustBeWantedForAWhile(t *testing.T) {
	p := DefaultPolicy()
	s := NewDebouncer(p)
	busy := Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 1, DecodeWork: 4.8}
	if got := s.Decide(busy, 0); got != Stay {
		t.Errorf("changed at once: %v", got)
	}
	due := p.SustainMs + p.StaggerMs
	if got := s.Decide(busy, due); got != ToDecode {
		t.Errorf("not changed after %d ms: %v", due, got)
	}
	s.Ordered(due)
	if got := s.Decide(busy, due+clock.Second); got != Stay {
		t.Errorf("changed again before the last change has settled: %v", got)
	}
	if got := s.Decide(busy, due+p.CooldownMs); got != ToDecode {
		t.Errorf("never changed again: %v", got)
	}
}

// TestDataCentresTakeTurns is the load of a calm morning of six data centres with
// sixteen prefill engines and work for five: each data centre sees the same load,
// and all of them together must not give away more than that work leaves over.
func TestDataCentresTakeTurns(t *testing.T) {
	const dataCentres = 6
	prefillers := []int{3, 3, 3, 3, 2, 2}
	all, decoders := 16, 29
	var deciders []*Debouncer
	for range dataCentres {
		deciders = append(deciders, NewDebouncer(DefaultPolicy()))
	}
	for now := clock.Millis(0); now < 20*clock.Second; now += 250 {
		counted, seen, listed := all, decoders, slices.Clone(prefillers) // what all see at this moment
		for i, s := range deciders {
			load := Load{
				Prefillers: prefillers[i], Decoders: 5, AllPrefillers: counted, AllDecoders: seen,
				PrefillWork: 4.6, DecodeWork: 22, Rank: turn(listed, i),
			}
			if s.Decide(load, now) == ToDecode {
				s.Ordered(now)
				prefillers[i]--
				all, decoders = all-1, decoders+1
			}
		}
	}
	if all < 7 || all > 9 {
		t.Errorf("%d prefill engines are left for the work of 4.6 beside that of 22 decode engines", all)
	}
}

// turn counts the data centres that come before one.
func turn(prefillers []int, own int) int {
	counts := map[string]int{}
	for i, n := range prefillers {
		counts[string(rune('a'+i))] = n
	}
	return before(counts, string(rune('a'+own)))
}
