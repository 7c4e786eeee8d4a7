// Package vms is a stand-in of the platform's VM list, which lags behind the
// truth by a fixed time.
//
// # Usage
//
//	list := vms.New(groups, 500*time.Millisecond)
//	list.SetState("decode-1", platform.StateLeaving)
package vms

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"hemlockmux.example/common/platform"
)

// List is the VM list.
type List struct {
	mu     sync.Mutex
	lag    time.Duration
	groups map[string]platform.TargetGroup
	shown  []platform.TargetGroup
}

// New returns a list whose changes show after lag.
func New(groups []platform.TargetGroup, lag time.Duration) *List {
	l := &List{lag: lag, groups: map[string]platform.TargetGroup{}}
	for _, g := range groups {
		l.groups[g.Labels[platform.LabelName]] = g
	}
	l.shown = l.copyLocked()
	return l
}

// SetState marks a VM live or leaving; the list shows it after the lag.
func (l *List) SetState(name, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, ok := l.groups[name]
	if !ok {
		return
	}
	labels := map[string]string{}
	for k, v := range g.Labels {
		labels[k] = v
	}
	labels[platform.LabelState] = state
	l.groups[name] = platform.TargetGroup{Targets: g.Targets, Labels: labels}
	time.AfterFunc(l.lag, l.show)
}

func (l *List) show() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shown = l.copyLocked()
}

func (l *List) copyLocked() []platform.TargetGroup {
	groups := make([]platform.TargetGroup, 0, len(l.groups))
	for _, g := range l.groups {
		groups = append(groups, g)
	}
	return groups
}

// Handler serves GET /vms.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		shown := l.shown
		l.mu.Unlock()
		_ = json.NewEncoder(w).Encode(shown)
	})
	return mux
}
