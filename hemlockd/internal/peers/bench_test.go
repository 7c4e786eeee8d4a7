package peers

import (
	"encoding/json"
	"testing"

	"hemlockmux.example/hemlockd/internal/capacity"
)

// BenchmarkReceive measures what a full state costs its receiver.
func BenchmarkReceive(b *testing.B) {
	m := joinFleet(b, 295)
	for i := range 97 {
		m.handlers.View.Add("x", capacity.Run{ID: "r", Engine: string(rune('A' + i))}, 0)
	}
	s := m.others[5]
	s.Freshness = &Freshness{ConfigAgeMs: 5, ListAgeMs: 6}
	datagram, err := m.encode(s)
	if err != nil {
		b.Fatal(err)
	}
	b.Logf("%d bytes: %s", len(datagram), datagram)
	b.ReportAllocs()
	for b.Loop() {
		var message struct {
			Method string `json:"method"`
			Params State  `json:"params"`
		}
		if err := json.Unmarshal(datagram, &message); err != nil {
			b.Fatal(err)
		}
		s.Sequence++
		message.Params.Name, message.Params.Sequence = s.Name, s.Sequence
		m.apply(message.Params)
	}
}

// BenchmarkRound measures what a round of full states costs its sender.
func BenchmarkRound(b *testing.B) {
	m := joinFleet(b, 295)
	b.ReportAllocs()
	for b.Loop() {
		m.time.Advance(fullStateInterval)
		for _, a := range m.addresses {
			a.lastHeardMs = m.time.Clock().Now()
		}
		m.sendFullState(false)
	}
}
