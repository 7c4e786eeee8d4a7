package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/settings"
)

func newTestGroup(prefills, decodes int, change func(*settings.Model, *settings.Policy)) *Group {
	model, policy := settings.DefaultModel(), settings.DefaultSystem().Policy
	if change != nil {
		change(&model, &policy)
	}
	g := NewGroup(DefaultOptions(), model, policy, rand.New(rand.NewPCG(1, 2)))
	var engines []Engine
	for i := range prefills {
		engines = append(engines, Engine{Name: fmt.Sprintf("p%d", i), Kind: settings.KindPrefill, Up: true})
	}
	for i := range decodes {
		engines = append(engines, Engine{Name: fmt.Sprintf("d%d", i), Kind: settings.KindDecode, Up: true})
	}
	g.SetEngines(engines)
	return g
}

// TestLongPromptIsServed checks that a prompt that misses the target even on an idle
// pool is served, also behind a short one, since retrying later would not help it.
func TestLongPromptIsServed(t *testing.T) {
	for _, weights := range [][2]float64{{1, 1}, {1, 4}, {4, 1}} {
		for _, tokens := range []int{20, 3_000, 25_000, 60_000} {
			g := newTestGroup(1, 2, func(_ *settings.Model, p *settings.Policy) {
				p.GoodputWeight, p.WasteWeight = weights[0], weights[1]
			})
			g.Submit(Work{ID: "short", PromptTokens: 2_000, OutputTokens: 10, ArrivedMs: 990}, 990)
			d := g.Submit(Work{ID: "long", PromptTokens: tokens, OutputTokens: 100, ArrivedMs: 1000}, 1000)
			if len(d) == 0 {
				d = g.PrefillDone("short", 0, 1100)
			}
			if len(d) != 1 || d[0].Grant == nil {
				t.Errorf("%d tokens with weights %v: decisions %+v, want one grant", tokens, weights, d)
			}
		}
	}
}

// TestGrantsBalance checks for any sequence of events that each request is decided
// once, only usable and allowed engines are granted, no engine is granted more than its
// capacity, two suspects never share an engine, and all grants are released in the end.
func TestGrantsBalance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGroup(2, 3, func(m *settings.Model, _ *settings.Policy) { m.Slots, m.Pieces = 3, 600 })
		m := &referenceModel{t: t, g: g, decided: map[string]bool{}, offered: map[string]Work{}, active: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer,
			"advance": func(t *rapid.T) {
				m.now += clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms"))
				m.record(g.Schedule(m.now))
			},
			"prefillDone": func(t *rapid.T) { m.withActive(t, func(id string) { m.record(g.PrefillDone(id, 0, m.now)) }) },
			"prefillFailed": func(t *rapid.T) {
				m.withActive(t, func(id string) { g.PrefillFailed(id, map[string]bool{"p0": true}, m.now) })
			},
			"decodeFailed": func(t *rapid.T) {
				m.withActive(t, func(id string) { g.DecodeFailed(id, map[string]bool{"d1": true}, m.now) })
			},
			"done": func(t *rapid.T) {
				m.withActive(t, func(id string) {
					delete(m.active, id)
					m.record(g.Done(id, m.now))
				})
			},
			"cancel": func(t *rapid.T) {
				for id := range m.offered {
					if !m.decided[id] {
						m.decided[id] = true
						m.record(g.Done(id, m.now))
						return
					}
				}
			},
			"engine": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"p0", "p1", "d0", "d1", "d2"}).Draw(t, "engine")
				g.SetUp(name, rapid.Bool().Draw(t, "up"))
				g.SetLeaving(name, rapid.Bool().Draw(t, "leaving"))
			},
			"": m.check,
		})
		for id := range m.active {
			m.record(g.Done(id, m.now))
		}
		m.now += 1_000_000
		m.record(g.Schedule(m.now))
		for len(m.active) > 0 {
			for id := range m.active {
				delete(m.active, id)
				m.record(g.Done(id, m.now))
			}
		}
		for _, e := range g.Engines() {
			if e.InFlight != 0 || e.Pieces != 0 {
				t.Fatalf("%s still holds %d requests and %d pieces after all requests ended", e.Name, e.InFlight, e.Pieces)
			}
		}
	})
}

// referenceModel is the state that the property test tracks beside the group.
type referenceModel struct {
	t       *rapid.T
	g       *Group
	now     clock.Millis
	next    int
	decided map[string]bool
	offered map[string]Work
	active  map[string]bool
}

func (m *referenceModel) offer(t *rapid.T) {
	m.next++
	w := Work{
		ID: fmt.Sprint(m.next), Priority: rapid.IntRange(0, 3).Draw(t, "priority"), ArrivedMs: m.now,
		PromptTokens: rapid.IntRange(1, 6_000).Draw(t, "prompt"), OutputTokens: rapid.IntRange(1, 300).Draw(t, "output"),
		Suspect: rapid.IntRange(0, 3).Draw(t, "suspect") == 0,
	}
	if rapid.IntRange(0, 3).Draw(t, "limited") == 0 {
		w.Allowed = map[string]bool{"p0": true, "d0": true, "d1": true}
	}
	m.offered[w.ID] = w
	m.record(m.g.Submit(w, m.now))
}

func (m *referenceModel) withActive(t *rapid.T, do func(id string)) {
	ids := make([]string, 0, len(m.active))
	for i := range m.next {
		if id := fmt.Sprint(i + 1); m.active[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		do(rapid.SampledFrom(ids).Draw(t, "id"))
	}
}

func (m *referenceModel) record(decisions []Decision) {
	for _, d := range decisions {
		if m.decided[d.ID] {
			m.t.Fatalf("request %s was decided twice", d.ID)
		}
		m.decided[d.ID] = true
		if d.Grant == nil {
			continue
		}
		m.active[d.ID] = true
		for _, name := range []string{d.Grant.Prefill, d.Grant.Decode} {
			e := m.g.engines[name]
			if e == nil || !e.usable() {
				m.t.Fatalf("request %s was granted %q, which is not usable", d.ID, name)
			}
			if allowed := m.offered[d.ID].Allowed; allowed != nil && !allowed[name] {
				m.t.Fatalf("request %s was granted %q, which its team may not use", d.ID, name)
			}
		}
	}
}

func (m *referenceModel) check(t *rapid.T) {
	suspects := map[string]int{}
	for id := range m.active {
		r := m.g.active[id]
		if r == nil || !r.Suspect {
			continue
		}
		for _, e := range []*engine{r.prefill, r.decode} {
			if e != nil {
				suspects[e.Name]++
			}
		}
	}
	for name, n := range suspects {
		if n > 1 {
			t.Fatalf("%d suspects share %s", n, name)
		}
	}
	for _, e := range m.g.engines {
		if e.batch < 0 || e.batch > m.g.model.Slots || e.pieces < 0 || e.pieces > m.g.model.Pieces {
			t.Fatalf("%s is granted %d slots and %d pieces", e.Name, e.batch, e.pieces)
		}
	}
}
