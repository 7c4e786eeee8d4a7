package suspects

import (
	"testing"

	"hemlockmux.example/common/clock"
)

func TestSuspects(t *testing.T) {
	const until = 10 * clock.Minute
	for _, c := range []struct {
		name               string
		do                 func(s *Suspects)
		suspected, refused bool
	}{
		{"nothing happened", func(*Suspects) {}, false, false},
		{"one death", func(s *Suspects) { s.RecordDeath("d", 1, until) }, true, false},
		{"two deaths", func(s *Suspects) { s.RecordDeath("d", 1, until); s.RecordDeath("d", 2, until) }, true, true},
		{"one death, then a completion", func(s *Suspects) { s.RecordDeath("d", 1, until); s.RecordCompletion("d") }, false, false},
		{"two deaths, then a late completion", func(s *Suspects) { s.RecordDeath("d", 1, until); s.RecordDeath("d", 1, until); s.RecordCompletion("d") }, true, true},
		{"received entry with two deaths", func(s *Suspects) { s.Merge(Entry{Digest: "d", Deaths: 2, UntilMs: until}, 1) }, true, true},
		{"entry with one death received twice", func(s *Suspects) {
			s.Merge(Entry{Digest: "d", Deaths: 1, UntilMs: until}, 1)
			s.Merge(Entry{Digest: "d", Deaths: 1, UntilMs: until}, 2)
		}, true, false},
		{"expired entry received", func(s *Suspects) { s.Merge(Entry{Digest: "d", Deaths: 2, UntilMs: 50}, 60) }, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			c.do(s)
			if got := s.Suspected("d", 100); got != c.suspected {
				t.Errorf("suspected: got %t", got)
			}
			if _, got := s.Refused("d", 100); got != c.refused {
				t.Errorf("refused: got %t", got)
			}
			if _, got := s.Refused("d", until); got {
				t.Error("refused after its expiry")
			}
		})
	}
}
