package roles

import (
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
		{"busy decode, idle prefill", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, PrefillUse: 0.25, DecodeUse: 0.5}, ToDecode},
		{"the last prefill engine stays", Load{Prefillers: 1, Decoders: 3, AllPrefillers: 5, PrefillUse: 0.1, DecodeUse: 0.9}, Stay},
		{"prefill has no spare time", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 3, PrefillUse: 0.5, DecodeUse: 0.9}, Stay},
		{"all is idle", Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, PrefillUse: 0.1, DecodeUse: 0.1}, Stay},
		{"busy prefill, idle decode", Load{Prefillers: 1, Decoders: 4, AllPrefillers: 2, PrefillUse: 0.95, DecodeUse: 0.1}, ToPrefill},
	} {
		if got := p.Wanted(c.load); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestChangeMustBeWantedForAWhile(t *testing.T) {
	p := DefaultPolicy()
	s := NewSustained(p)
	busy := Load{Prefillers: 2, Decoders: 3, AllPrefillers: 5, PrefillUse: 0.2, DecodeUse: 0.6}
	if got := s.Decide(busy, 0); got != Stay {
		t.Errorf("changed at once: %v", got)
	}
	if got := s.Decide(busy, p.SustainMs); got != ToDecode {
		t.Errorf("not changed after %d ms: %v", p.SustainMs, got)
	}
	s.Changed(p.SustainMs)
	if got := s.Decide(busy, p.SustainMs+clock.Second); got != Stay {
		t.Errorf("changed again before the last change has settled: %v", got)
	}
	if got := s.Decide(busy, p.SustainMs+p.SettleMs); got != ToDecode {
		t.Errorf("never changed again: %v", got)
	}
}
