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
	// sampleInterval is the time between two samples of the load.
	sampleInterval = 250 * clock.Millisecond
	// sampleWeight is the weight of one sample in the moving averages of the load.
	sampleWeight = 0.05
	// warmupSamples limits the weight of the first samples in the averages: a daemon that
	// has just started learns of all existing runs at once.
	warmupSamples = 4
	// orderTimeout bounds the call for an engine's state, the renewal of the lease and
	// the order, each on its own.
	orderTimeout = 800 * clock.Millisecond
	// maxRenewalAge is the maximum time between the start of a lease renewal and the order
	// that relies on it.
	maxRenewalAge = 300 * clock.Millisecond
)

var metrics = expvar.NewMap("roles")

// Engines calls engines to read and to change their roles.
type Engines interface {
	State(ctx context.Context, to routing.Upstream) (calls.EngineState, error)
	ChangeRole(ctx context.Context, to routing.Upstream, o calls.Order) error
}

// Options configures a Controller.
type Options struct {
	// Log receives the log lines of role changes.
	Log *zap.Logger
	// Clock must continue while the VM is suspended.
	Clock clock.Clock
	// Lease must be held to send orders.
	Lease *Lease
	// Engines calls the engines.
	Engines Engines
	// Name is the name of this daemon, the holder in its orders.
	Name string
	// DataCentre is the name of this daemon's data centre. Only engines there are given
	// orders.
	DataCentre string
	// Services returns the engines of each service.
	Services func() map[string][]routing.Upstream
	// Responsible reports whether this daemon should send the orders of its data centre.
	Responsible func() bool
	// PrefillWorkMs returns the cumulative prefill time, in ms, of all prompts given to a
	// service's prefill engines.
	PrefillWorkMs func(service string) float64
	// MemoryUse returns, by engine id, the fraction of each decode engine's memory that
	// its runs need.
	MemoryUse func() map[string]float64
	// OnOrder is called with the id of an engine after an order was sent to it, whatever the result.
	OnOrder func(id string)
	// IsChanging reports whether an engine is about to give up the role that it is listed
	// with.
	IsChanging func(u routing.Upstream) bool
}

// Controller changes the roles of a data centre's engines.
type Controller struct {
	o        Options
	services map[string]*serviceLoad
}

// serviceLoad is the averaged load of one service's engines.
type serviceLoad struct {
	debouncer *Debouncer
	// prefillWork is the moving average of the number of busy prefill engines.
	prefillWork float64
	// decodeWork is the moving average of the memory that runs need, in units of one
	// decode engine's memory.
	decodeWork float64
	// samples is the number of samples in the averages.
	samples int
	// totalWorkMs is the cumulative prefill time at the last sample.
	totalWorkMs float64
	// sampledMs is the time of the last sample.
	sampledMs clock.Millis
}

// candidates holds the engines of this data centre that could change their role now.
type candidates struct{ prefillers, decoders []routing.Upstream }

// NewController returns a controller without any load samples.
func NewController(o Options) *Controller {
	return &Controller{o: o, services: map[string]*serviceLoad{}}
}

// Run samples the load and sends orders until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for clock.Pause(ctx, sampleInterval) {
		c.step(ctx)
	}
}

// step samples the load of each service and sends the orders that it calls for.
func (c *Controller) step(ctx context.Context) {
	memory := c.o.MemoryUse()
	for name, engines := range c.o.Services() {
		s, ok := c.services[name]
		if !ok {
			s = &serviceLoad{debouncer: NewDebouncer(DefaultPolicy()), totalWorkMs: c.o.PrefillWorkMs(name), sampledMs: c.o.Clock.Now()}
			c.services[name] = s
		}
		load, own := c.sample(s, engines, c.prefillWork(name, s), memory)
		change := s.debouncer.Decide(load, c.o.Clock.Now())
		if change == Stay || !c.o.Responsible() {
			continue
		}
		s.debouncer.Ordered(c.o.Clock.Now())
		c.order(ctx, change, own, load, memory)
	}
}

// prefillWork returns the mean number of busy prefill engines of a service that the
// prompts given to it since the last sample require.
func (c *Controller) prefillWork(service string, s *serviceLoad) float64 {
	total, now := c.o.PrefillWorkMs(service), c.o.Clock.Now()
	mean := (total - s.totalWorkMs) / float64(max(1, now-s.sampledMs))
	s.totalWorkMs, s.sampledMs = total, now
	return mean
}

// sample adds a sample to a service's averages. It returns the averaged load and the
// engines that could change their role.
func (c *Controller) sample(s *serviceLoad, engines []routing.Upstream, prefillWork float64, memory map[string]float64) (Load, candidates) {
	var load Load
	var own candidates
	decodeWork := 0.0
	inDataCentre := map[string]int{} // prefill engines
	for _, u := range engines {
		prefill, changing := u.Role == routing.RolePrefill, c.o.IsChanging(u)
		if !prefill {
			decodeWork += min(1, memory[u.ID])
		}
		if prefill != changing {
			load.AllPrefillers++
			inDataCentre[u.DataCentre]++
		} else {
			load.AllDecoders++
		}
		if changing || u.DataCentre != c.o.DataCentre {
			continue
		}
		if prefill {
			own.prefillers = append(own.prefillers, u)
		} else {
			own.decoders = append(own.decoders, u)
		}
	}
	if prefillWork == 0 && decodeWork == 0 {
		s.samples = 0 // averages start with the first work
	}
	s.samples++
	weight := max(sampleWeight, 1/float64(warmupSamples+s.samples))
	s.prefillWork += weight * (prefillWork - s.prefillWork)
	s.decodeWork += weight * (decodeWork - s.decodeWork)
	load.Prefillers, load.Decoders = len(own.prefillers), len(own.decoders)
	load.PrefillWork, load.DecodeWork = s.prefillWork, s.decodeWork
	load.Rank = rank(inDataCentre, c.o.DataCentre)
	return load, own
}

// rank counts the data centres that have more prefill engines than own. Ties are
// broken by name.
func rank(prefillers map[string]int, own string) int {
	n := 0
	for name, count := range prefillers {
		if count > prefillers[own] || count == prefillers[own] && name < own {
			n++
		}
	}
	return n
}

// order sends the order to change roles to the engine with the lowest memory use.
func (c *Controller) order(ctx context.Context, change Change, own candidates, load Load, memory map[string]float64) {
	from := own.prefillers
	if change == ToPrefill {
		from = own.decoders
	}
	u := leastUsed(from, memory)
	state, err := c.state(ctx, u)
	if err != nil || state.ChangingRole || state.Prefill == (change == ToPrefill) {
		c.o.Log.Info("role change order not sent", zap.String("upstream", u.ID),
			zap.Bool("changing", state.ChangingRole), zap.Error(err))
		return
	}
	fence, renewedMs := c.renew(ctx)
	if fence == 0 {
		return
	}
	order := calls.Order{Prefill: change == ToPrefill, Holder: c.o.Name, FencingToken: fence, ExpectedOrders: state.AcceptedOrders}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	if c.o.Clock.Now()-renewedMs > maxRenewalAge {
		return
	}
	err = c.o.Engines.ChangeRole(orderCtx, u, order)
	metrics.Add("orders", 1)
	c.o.OnOrder(u.ID)
	c.o.Log.Info("role change order sent", zap.String("upstream", u.ID), zap.Bool("prefill", order.Prefill),
		zap.Int64("fence", fence), zap.Float64("prefillWork", load.PrefillWork), zap.Float64("decodeWork", load.DecodeWork),
		zap.Int("prefillers", load.AllPrefillers), zap.Int("decoders", load.AllDecoders), zap.Error(err))
}

func (c *Controller) state(ctx context.Context, u routing.Upstream) (calls.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	return c.o.Engines.State(ctx, u)
}

// renew renews the lease. It returns a fencing token and the time at which the renewal
// began; the token is 0 if no order may be sent.
func (c *Controller) renew(ctx context.Context) (fence int64, renewedMs clock.Millis) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	renewedMs = c.o.Clock.Now()
	fence, err := c.o.Lease.Renew(ctx, c.o.Clock.Now)
	if err != nil {
		c.o.Log.Warn("role lease renewal failed", zap.Error(err))
	}
	return fence, renewedMs
}

// leastUsed returns the engine with the lowest use, the first one in case of a tie.
func leastUsed(engines []routing.Upstream, use map[string]float64) routing.Upstream {
	best := engines[0]
	for _, u := range engines[1:] {
		if use[u.ID] < use[best.ID] {
			best = u
		}
	}
	return best
}
