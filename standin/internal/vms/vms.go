// Package vms is a stand-in for the platform's VM list. The list shows each change
// after a fixed delay.
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

// List holds the target groups of all VMs and the delayed view of them that it serves.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	groups  map[string]platform.TargetGroup
	visible []platform.TargetGroup
}

// New returns a list that shows changes after lag.
func New(groups []platform.TargetGroup, lag time.Duration) *List {
	l := &List{lag: lag, groups: map[string]platform.TargetGroup{}}
	for _, g := range groups {
		l.groups[g.Labels[platform.LabelName]] = g
	}
	l.visible = l.copyLocked()
	return l
}

// SetState sets the state of a VM. The list shows it after the lag; an unknown name is
// ignored.
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
	time.AfterFunc(l.lag, l.publish)
}

func (l *List) publish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.visible = l.copyLocked()
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
		groups := l.visible
		l.mu.Unlock()
		_ = json.NewEncoder(w).Encode(groups)
	})
	return mux
}
