package membership

import (
	"slices"

	"hemlockmux.example/common/clock"
)

// Beat is the newest heartbeat known of one daemon.
type Beat struct {
	Name    string `json:"name"`
	Count   int64  `json:"count"`
	Version int64  `json:"version"`
}

// Tree gathers heartbeats up a k-ary tree over the sorted list of live daemons
// and spreads them down again (the idea is that of SOMO, Zhang, Shi and Zhu).
type Tree struct {
	name    string
	k       int
	silence clock.Millis
	all     []string
	beats   map[string]Beat
	changed map[string]clock.Millis // when a daemon's count last rose
	now     clock.Millis
}

// NewTree returns the view of one daemon of a fixed list.
func NewTree(name string, all []string, k int, silence clock.Millis) *Tree {
	return &Tree{name: name, k: k, silence: silence, all: all, beats: map[string]Beat{name: {Name: name}}, changed: map[string]clock.Millis{}}
}

func (t *Tree) liveList() []string {
	var live []string
	for _, name := range t.all {
		if t.Live(name) || t.now < t.silence {
			live = append(live, name)
		}
	}
	return live
}

// Tick starts a period and returns the parent and the children.
func (t *Tree) Tick(now clock.Millis) []string {
	t.now = now
	own := t.beats[t.name]
	own.Count++
	t.beats[t.name] = own
	live := t.liveList()
	i := slices.Index(live, t.name)
	var to []string
	if i > 0 {
		to = append(to, live[(i-1)/t.k])
	}
	for c := t.k*i + 1; c <= t.k*i+t.k && c < len(live); c++ {
		to = append(to, live[c])
	}
	return to
}

// Message is what to send: up, the own subtree; down, everything.
func (t *Tree) Message(to string) []Beat {
	live := t.liveList()
	i, up := slices.Index(live, t.name), slices.Index(live, to)
	var beats []Beat
	for j, name := range live {
		below := j
		for below > i {
			below = (below - 1) / t.k
		}
		if up > i || below == i {
			if b, ok := t.beats[name]; ok {
				beats = append(beats, b)
			}
		}
	}
	return beats
}

// Receive takes beats in.
func (t *Tree) Receive(beats []Beat, now clock.Millis) {
	for _, b := range beats {
		if b.Count > t.beats[b.Name].Count {
			t.changed[b.Name] = now
			t.beats[b.Name] = b
		}
		own := t.beats[t.name]
		own.Version = max(own.Version, b.Version)
		t.beats[t.name] = own
	}
}

// Live tells whether a daemon's count rose lately.
func (t *Tree) Live(name string) bool {
	at, ok := t.changed[name]
	return name == t.name || ok && t.now-at < t.silence
}
