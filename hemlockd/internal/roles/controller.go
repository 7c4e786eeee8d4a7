package roles

import (
	"context"
	"expvar"

	"go.uber.org/zap"

	"hemlockmux.example/common/calls"
	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/routing"
)

const (
	// lookInterval is the time between two looks at the load.
	lookInterval = 250 * clock.Millisecond
	// useWeight is the weight of one look in the average of a use.
	useWeight = 0.05
	// firstLooks is the number of looks for which the first one counts at the most:
	// a daemon that has just started hears of all runs at once.
	firstLooks = 4
	// orderTimeout bounds the renewal of the right and, again, the order.
	orderTimeout = 800 * clock.Millisecond
	// freshFor is how long after its renewal the right may be used.
	freshFor = 300 * clock.Millisecond
)

var metrics = expvar.NewMap("roles")

// Engines speaks to engines.
type Engines interface {
	State(ctx context.Context, to routing.Upstream) (calls.EngineState, error)
	ChangeRole(ctx context.Context, to routing.Upstream, o calls.Order) error
}

// Options is what a keeper works with.
type Options struct {
	Log *zap.Logger
	// Clock goes on while the VM is suspended.
	Clock      clock.Clock
	Lease      *Lease
	Engines    Engines
	Name       string
	DataCentre string
	// Services returns the engines of each service.
	Services func() map[string][]routing.Upstream
	// Responsible tells whether it is this daemon that should give orders.
	Responsible func() bool
	// PrefillWorkMs returns the time that a service's prefill engines need, together, for
	// all prompts that they were ever given, Memory the part of each decode engine's
	// memory that runs need.
	PrefillWorkMs func(service string) float64
	MemoryUse     func() map[string]float64
	// OnOrder is called with an engine that has been given an order; IsChanging
	// tells whether an engine is about to give up the role it is listed with.
	OnOrder    func(id string)
	IsChanging func(u routing.Upstream) bool
}

// Controller changes the roles of a data centre's engines.
type Controller struct {
	o        Options
	services map[string]*serviceLoad
}

type serviceLoad struct {
	sustained *Debouncer
	// prefillWork is the number of prefill engines that read at the same time,
	// decodeWork the memory that runs need, in decode engines; both are averages
	// over time, of so many looks.
	prefillWork, decodeWork float64
	looks                   int
	// readingMs and lookedMs are of the last look.
	readingMs float64
	lookedMs  clock.Millis
}

// candidates is the engines that could change their role now.
type candidates struct{ prefillers, decoders []routing.Upstream }

// NewController returns a keeper that has seen no load yet.
func NewController(o Options) *Controller {
	return &Controller{o: o, services: map[string]*serviceLoad{}}
}

// Run looks at the load and gives orders until ctx ends.
func (k *Controller) Run(ctx context.Context) {
	for clock.Pause(ctx, lookInterval) {
		k.lookAtAll(ctx)
	}
}

// lookAtAll takes in the load of each service and gives the orders that it calls
// for.
func (k *Controller) lookAtAll(ctx context.Context) {
	memory := k.o.MemoryUse()
	for name, engines := range k.o.Services() {
		s, ok := k.services[name]
		if !ok {
			s = &serviceLoad{sustained: NewDebouncer(DefaultPolicy()), readingMs: k.o.PrefillWorkMs(name), lookedMs: k.o.Clock.Now()}
			k.services[name] = s
		}
		load, own := k.look(s, engines, k.reading(name, s), memory)
		change := s.sustained.Decide(load, k.o.Clock.Now())
		if change == Stay || !k.o.Responsible() {
			continue
		}
		s.sustained.Ordered(k.o.Clock.Now())
		k.order(ctx, change, own, load, memory)
	}
}

// reading returns how many of a service's prefill engines were needed at the same
// time since the last look.
func (k *Controller) reading(service string, s *serviceLoad) float64 {
	total, now := k.o.PrefillWorkMs(service), k.o.Clock.Now()
	needed := (total - s.readingMs) / float64(max(1, now-s.lookedMs))
	s.readingMs, s.lookedMs = total, now
	return needed
}

// look takes the load of one service into its averages and returns it.
func (k *Controller) look(s *serviceLoad, engines []routing.Upstream, reading float64, memory map[string]float64) (Load, candidates) {
	var load Load
	var own candidates
	decodeWork := 0.0
	inDataCentre := map[string]int{} // prefill engines
	for _, u := range engines {
		prefill, changing := u.Role == routing.RolePrefill, k.o.IsChanging(u)
		if !prefill {
			decodeWork += min(1, memory[u.ID])
		}
		if prefill != changing {
			load.AllPrefillers++
			inDataCentre[u.DataCentre]++
		} else {
			load.AllDecoders++
		}
		if changing || u.DataCentre != k.o.DataCentre {
			continue
		}
		if prefill {
			own.prefillers = append(own.prefillers, u)
		} else {
			own.decoders = append(own.decoders, u)
		}
	}
	if reading == 0 && decodeWork == 0 {
		s.looks = 0 // averages begin with the first work
	}
	s.looks++
	weight := max(useWeight, 1/float64(firstLooks+s.looks))
	s.prefillWork += weight * (reading - s.prefillWork)
	s.decodeWork += weight * (decodeWork - s.decodeWork)
	load.Prefillers, load.Decoders = len(own.prefillers), len(own.decoders)
	load.PrefillWork, load.DecodeWork = s.prefillWork, s.decodeWork
	load.Rank = before(inDataCentre, k.o.DataCentre)
	return load, own
}

// before counts the data centres that have more prefill engines than the own one;
// among equals the name decides.
func before(prefillers map[string]int, own string) int {
	n := 0
	for name, count := range prefillers {
		if count > prefillers[own] || count == prefillers[own] && name < own {
			n++
		}
	}
	return n
}

// order has the engine that has least to do take the other role.
func (k *Controller) order(ctx context.Context, change Change, own candidates, load Load, memory map[string]float64) {
	from := own.prefillers
	if change == ToPrefill {
		from = own.decoders
	}
	u := leastUsed(from, memory)
	state, err := k.state(ctx, u)
	if err != nil || state.ChangingRole || state.Prefill == (change == ToPrefill) {
		k.o.Log.Info("engine is not ordered to change its role", zap.String("upstream", u.ID),
			zap.Bool("changing", state.ChangingRole), zap.Error(err))
		return
	}
	fence, renewedMs := k.renew(ctx)
	if fence == 0 {
		return
	}
	order := calls.Order{Prefill: change == ToPrefill, Holder: k.o.Name, FencingToken: fence, ExpectedOrders: state.AcceptedOrders}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	if k.o.Clock.Now()-renewedMs > freshFor {
		return
	}
	err = k.o.Engines.ChangeRole(orderCtx, u, order)
	metrics.Add("orders", 1)
	k.o.OnOrder(u.ID)
	k.o.Log.Info("engine is ordered to change its role", zap.String("upstream", u.ID), zap.Bool("prefill", order.Prefill),
		zap.Int64("fence", fence), zap.Float64("prefillWork", load.PrefillWork), zap.Float64("decodeWork", load.DecodeWork),
		zap.Int("prefillers", load.AllPrefillers), zap.Int("decoders", load.AllDecoders), zap.Error(err))
}

func (k *Controller) state(ctx context.Context, u routing.Upstream) (calls.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	return k.o.Engines.State(ctx, u)
}

// renew returns a fencing number and when it was asked for, 0 where no order may
// be given.
func (k *Controller) renew(ctx context.Context) (fence int64, renewedMs clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	renewedMs = k.o.Clock.Now()
	fence, err := k.o.Lease.Renew(ctx, k.o.Clock.Now)
	if err != nil {
		k.o.Log.Warn("the right to give orders could not be renewed", zap.Error(err))
	}
	return fence, renewedMs
}

// leastUsed returns the engine of the smallest use, the first among equals.
func leastUsed(engines []routing.Upstream, use map[string]float64) routing.Upstream {
	best := engines[0]
	for _, u := range engines[1:] {
		if use[u.ID] < use[best.ID] {
			best = u
		}
	}
	return best
}
