package dispatch

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

const (
	// openShards is the number of shards of the requests in flight.
	openShards = 16
	// maxOpenLogged is the number of requests that are named in the log if the daemon exits before they have
	// ended.
	maxOpenLogged = 100
)

// openRequests holds the ids of the requests in flight. Callers may use an id more than once.
type openRequests struct {
	shards [openShards]struct {
		mu  sync.Mutex
		ids map[string]int
	}
}

func (o *openRequests) add(id string) { o.change(id, 1) }

func (o *openRequests) remove(id string) { o.change(id, -1) }

func (o *openRequests) change(id string, by int) {
	s := &o.shards[xxhash.Sum64String(id)%openShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = map[string]int{}
	}
	s.ids[id] += by
	if s.ids[id] == 0 {
		delete(s.ids, id)
	}
}

// list returns the ids in order.
func (o *openRequests) list() []string {
	var all []string
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, n := range s.ids {
			for range n {
				all = append(all, id)
			}
		}
		s.mu.Unlock()
	}
	slices.Sort(all)
	return all
}

// OpenRequests returns the number of requests in flight.
func (d *Dispatcher) OpenRequests() int { return len(d.open.list()) }

// LogOpenRequests names the requests that have not ended. It is called when the daemon exits: their
// connections are closed without a line of their own.
func (d *Dispatcher) LogOpenRequests() {
	ids := d.open.list()
	metrics.Add("openAtExit", int64(len(ids)))
	for _, id := range ids[:min(len(ids), maxOpenLogged)] {
		d.opts.Log.Warn("daemon exits before the request has ended", zap.String("request", id), zap.Int("open", len(ids)))
	}
}
