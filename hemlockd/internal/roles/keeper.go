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
	useWeight = 0.15
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
	// PrefillUse returns the part of the prefill engines that read prompts now,
	// Memory the part of each decode engine's memory that runs need.
	PrefillUse func() float64
	Memory     func() map[string]float64
	// Changing is called with an engine that has been given an order.
	Changing func(id string)
}

// Keeper changes the roles of a data centre's engines.
type Keeper struct {
	o        Options
	services map[string]*serviceLoad
}

type serviceLoad struct {
	sustained               *Sustained
	prefillUse, decodeUse   float64
	prefillers, allPrefills []routing.Upstream
	decoders                []routing.Upstream
}

// NewKeeper returns a keeper that has seen no load yet.
func NewKeeper(o Options) *Keeper { return &Keeper{o: o, services: map[string]*serviceLoad{}} }

// Run looks at the load and gives orders until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for clock.Pause(ctx, lookInterval) {
		k.lookAtAll(ctx)
	}
}

// lookAtAll takes in the load of each service and gives the orders that it calls
// for.
func (k *Keeper) lookAtAll(ctx context.Context) {
	reading, memory := k.o.PrefillUse(), k.o.Memory()
	for name, engines := range k.o.Services() {
		s := k.look(name, engines, reading, memory)
		load := Load{
			Prefillers: len(s.prefillers), Decoders: len(s.decoders), AllPrefillers: len(s.allPrefills),
			PrefillUse: s.prefillUse, DecodeUse: s.decodeUse,
		}
		change := s.sustained.Decide(load, k.o.Clock.Now())
		if change == Stay || !k.o.Responsible() {
			continue
		}
		s.sustained.Changed(k.o.Clock.Now())
		k.order(ctx, change, s, memory)
	}
}

// look takes the load of one service into its averages.
func (k *Keeper) look(name string, engines []routing.Upstream, reading float64, memory map[string]float64) *serviceLoad {
	s, ok := k.services[name]
	if !ok {
		s = &serviceLoad{sustained: NewSustained(DefaultPolicy())}
		k.services[name] = s
	}
	s.prefillers, s.allPrefills, s.decoders = nil, nil, nil
	used, decoders := 0.0, 0.0
	for _, u := range engines {
		own := u.DataCentre == k.o.DataCentre
		switch u.Role {
		case routing.RolePrefill:
			s.allPrefills = append(s.allPrefills, u)
			if own {
				s.prefillers = append(s.prefillers, u)
			}
		case routing.RoleDecode:
			if own {
				s.decoders = append(s.decoders, u)
			}
			decoders++
			used += min(1, memory[u.ID])
		}
	}
	s.prefillUse += useWeight * (reading - s.prefillUse)
	s.decodeUse += useWeight * (used/max(1, decoders) - s.decodeUse)
	return s
}

// order has the engine that has least to do take the other role.
func (k *Keeper) order(ctx context.Context, change Change, s *serviceLoad, memory map[string]float64) {
	candidates := s.prefillers
	if change == ToPrefill {
		candidates = s.decoders
	}
	u := leastUsed(candidates, memory)
	state, err := k.state(ctx, u)
	if err != nil || state.Changing || state.Prefill == (change == ToPrefill) {
		k.o.Log.Info("engine is not ordered to change its role", zap.String("upstream", u.ID),
			zap.Bool("changing", state.Changing), zap.Error(err))
		return
	}
	fence, renewedMs := k.renew(ctx)
	if fence == 0 {
		return
	}
	order := calls.Order{Prefill: change == ToPrefill, Holder: k.o.Name, Fence: fence, AfterOrders: state.Orders}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	if k.o.Clock.Now()-renewedMs > freshFor {
		return
	}
	err = k.o.Engines.ChangeRole(orderCtx, u, order)
	metrics.Add("orders", 1)
	k.o.Changing(u.ID)
	k.o.Log.Info("engine is ordered to change its role", zap.String("upstream", u.ID), zap.Bool("prefill", order.Prefill),
		zap.Int64("fence", fence), zap.Float64("prefillUse", s.prefillUse), zap.Float64("decodeUse", s.decodeUse), zap.Error(err))
}

func (k *Keeper) state(ctx context.Context, u routing.Upstream) (calls.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	return k.o.Engines.State(ctx, u)
}

// renew returns a fencing number and when it was asked for, 0 where no order may
// be given.
func (k *Keeper) renew(ctx context.Context) (fence int64, renewedMs clock.Millis) {
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
