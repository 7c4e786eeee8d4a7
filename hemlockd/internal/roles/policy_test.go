package roles

import (
	"slices"
	"testing"

	"hemlockmux.example/common/clock"
)

func TestWantedChange(t *testing.T) {
	p := DefaultPolicy()
	for _, c := range []struct {
		name string
		load Load
		want Change
	}{
		{"busy decode, idle prefill", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 1.25, DecodeWork: 4}, ToDecode},
		{"last prefill engine of the data centre", Load{Prefillers: 1, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 0.5, DecodeWork: 7.2}, Stay},
		{"busy prefill and decode", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 3, AllDecoders: 5, PrefillWork: 1.9, DecodeWork: 4.5}, Stay},
		{"idle prefill and decode", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 0.5, DecodeWork: 0.8}, Stay},
		{"busy prefill, idle decode", Load{Prefillers: 1, Decoders: 4, AllPrefillers: 2, AllDecoders: 6, PrefillWork: 1.9, DecodeWork: 0.6}, ToPrefill},
		{"busy prefill and decode, prefill busier", Load{Prefillers: 1, Decoders: 4, AllPrefillers: 7, AllDecoders: 38, PrefillWork: 6.9, DecodeWork: 33}, ToPrefill},
	} {
		if got := p.Wanted(c.load); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestChangeIsDelayedUntilWantedForSomeTime(t *testing.T) {
	p := DefaultPolicy()
	s := NewDebouncer(p)
	busy := Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, AllDecoders: 8, PrefillWork: 1, DecodeWork: 4.8}
	if got := s.Decide(busy, 0); got != Stay {
		t.Errorf("changed immediately: %v", got)
	}
	due := p.SustainMs + p.StaggerMs
	if got := s.Decide(busy, due); got != ToDecode {
		t.Errorf("not changed after %d ms: %v", due, got)
	}
	s.Ordered(due)
	if got := s.Decide(busy, due+clock.Second); got != Stay {
		t.Errorf("changed again during the cooldown: %v", got)
	}
	if got := s.Decide(busy, due+p.CooldownMs); got != ToDecode {
		t.Errorf("not changed again after the cooldown: %v", got)
	}
}

// TestDataCentresTakeTurns guards against data centres that see the same load and
// change engines at the same time: six data centres with sixteen prefill engines and
// work for five must not together give away more engines than they can spare.
func TestDataCentresTakeTurns(t *testing.T) {
	const dataCentres = 6
	prefillers := []int{3, 3, 3, 3, 2, 2}
	all, decoders := 16, 29
	var deciders []*Debouncer
	for range dataCentres {
		deciders = append(deciders, NewDebouncer(DefaultPolicy()))
	}
	for now := clock.Millis(0); now < 20*clock.Second; now += 250 {
		// All data centres observe the same numbers in this step.
		counted, seen, listed := all, decoders, slices.Clone(prefillers)
		for i, s := range deciders {
			load := Load{
				Prefillers: prefillers[i], Decoders: 5, AllPrefillers: counted, AllDecoders: seen,
				PrefillWork: 4.6, DecodeWork: 22, Rank: rankOf(listed, i),
			}
			if s.Decide(load, now) == ToDecode {
				s.Ordered(now)
				prefillers[i]--
				all, decoders = all-1, decoders+1
			}
		}
	}
	if all < 7 || all > 9 {
		t.Errorf("%d prefill engines left, want 7 to 9 for a prefill work of 4.6 and a decode work of 22 engines", all)
	}
}

// rankOf returns the rank of one data centre.
func rankOf(prefillers []int, own int) int {
	counts := map[string]int{}
	for i, n := range prefillers {
		counts[string(rune('a'+i))] = n
	}
	return rank(counts, string(rune('a'+own)))
}
