package intake

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// What things are reckoned to take, in bytes.
const (
	// connectionBytes is the memory of a connection without a request.
	connectionBytes = 24 << 10
	// requestBytes is that of a request beside its head, its body and what is buffered of its answer: the buffers of
	// its connection and of the one to its upstream, also in the kernel.
	requestBytes = 192 << 10
	// daemonsRequestBytes is the same of a request that another daemon hands over. It reads its answers.
	daemonsRequestBytes = 64 << 10
	// headLineBytes and headByteFactor are the memory of a line of a head, with the copies that are made of it,
	// and that of each of its bytes.
	headLineBytes, headByteFactor = 768, 4
	// usualHeadBytes, usualBodyBytes and usualAnswerBytes are what a head, a body and the buffer of an answer may have in
	// the part of the budget that large ones can't use up.
	usualHeadBytes, usualBodyBytes, usualAnswerBytes = 32 << 10, 128 << 10, 16 << 10
)

const (
	// budgetShare is the share of the process's memory that clients may use.
	budgetShare = 0.5
	// largeShare is the share of that for what goes beyond the usual.
	largeShare = 0.6
	// collectShare is the share of the process's memory at which the Go runtime works hard to stay below it.
	collectShare = 0.65
)

const (
	// reservedDescriptors is the number of descriptors that are not for sockets.
	reservedDescriptors = 200
	// minOwnSockets and ownSocketsShare are the number of sockets, and their share, that are kept for the daemon's own
	// conversation with the platform, other daemons and upstreams.
	minOwnSockets, ownSocketsShare = 64, 0.25
	// daemonsShare is the share of the memory and the sockets for other daemons' connections, if they have a port of this
	// kind, with minDaemonsSockets at least. As many sockets are kept from callers besides.
	daemonsShare, minDaemonsSockets = 0.25, 48
	// callsShare is the share of the descriptors for connections for short calls among daemons, which have at least
	// minCalls.
	callsShare, minCalls = 0.0625, 24
	// requestSockets is the number of sockets that a request may take to upstreams at once.
	requestSockets = 2
)

// Capacity is what the process may use as a whole.
type Capacity struct {
	// MemoryBytes is the memory of the process; 0: that of the machine.
	MemoryBytes int64
	// Descriptors is the number of its descriptors; 0: what the system allows.
	Descriptors int
	// DaemonsPort is set if other daemons reach the process at a port under guard.
	DaemonsPort bool
}

// withDefaults returns the capacity with what the system gives where it names nothing.
func (c Capacity) withDefaults() Capacity {
	var system unix.Sysinfo_t
	if err := unix.Sysinfo(&system); err == nil && c.MemoryBytes <= 0 {
		c.MemoryBytes = int64(system.Totalram) * int64(system.Unit)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil && (c.Descriptors <= 0 || uint64(c.Descriptors) > files.Cur) {
		c.Descriptors = int(min(files.Cur, maxDescriptors))
	}
	return c
}

// maxDescriptors bounds what a system without a limit allows.
const maxDescriptors = 1 << 20

// CollectBytes returns the memory limit that the Go runtime should be given, in bytes.
func (c Capacity) CollectBytes() int64 {
	return int64(collectShare * float64(c.withDefaults().MemoryBytes))
}

// Budget is the memory and the sockets that clients may make a daemon hold. It is safe for concurrent use.
type Budget struct {
	memory, large, sockets quantity // in bytes; large is the part of memory for what is larger than usual
	requestBytes           int64    // the memory of each request
}

// quantity is a limited quantity.
type quantity struct{ limit, used atomic.Int64 }

// take takes n if that much is left.
func (q *quantity) take(n int64) bool {
	if q.used.Add(n) <= q.limit.Load() {
		return true
	}
	q.used.Add(-n)
	return false
}

// giveBack returns n that was taken.
func (q *quantity) giveBack(n int64) { q.used.Add(-n) }

// NewBudget returns the budget of a process.
func NewBudget(c Capacity) *Budget {
	b := &Budget{requestBytes: requestBytes}
	b.SetCapacity(c)
	return b
}

// SetCapacity changes what the process may use. What is taken stays taken.
func (b *Budget) SetCapacity(c Capacity) {
	c = c.withDefaults()
	sockets := c.Descriptors - reservedDescriptors
	share := ownSocketsShare
	if c.DaemonsPort {
		share += daemonsShare
	}
	sockets -= max(minOwnSockets, int(share*float64(sockets)))
	bytes := int64(budgetShare * float64(c.MemoryBytes))
	b.memory.limit.Store(bytes)
	b.large.limit.Store(int64(largeShare * float64(bytes)))
	b.sockets.limit.Store(int64(max(1+requestSockets, sockets)))
}

// CallsAtOnce returns the number of connections for short calls among daemons that a process may serve at once.
func CallsAtOnce(c Capacity) int {
	return max(minCalls, int(callsShare*float64(c.withDefaults().Descriptors)))
}

// NewDaemonsBudget returns the budget of the port for other daemons of a process. It has a share of the sockets that
// are kept from callers.
func NewDaemonsBudget(c Capacity) *Budget {
	c = c.withDefaults()
	b := &Budget{requestBytes: daemonsRequestBytes}
	bytes := int64(daemonsShare * float64(c.MemoryBytes))
	b.memory.limit.Store(bytes)
	b.large.limit.Store(int64(largeShare * float64(bytes)))
	b.sockets.limit.Store(max(minDaemonsSockets, int64(daemonsShare*float64(c.Descriptors-reservedDescriptors))))
	return b
}

// NewPortBudget returns the budget of a port for few clients, such as the readiness check's.
func NewPortBudget(connections int) *Budget {
	b := &Budget{requestBytes: requestBytes}
	bytes := int64(connections) * (connectionBytes + requestBytes)
	b.memory.limit.Store(bytes)
	b.large.limit.Store(bytes)
	b.sockets.limit.Store(int64(connections) * (1 + requestSockets))
	return b
}

// calm reports whether most of the sockets are free.
func (b *Budget) calm() bool { return b.sockets.used.Load() < b.sockets.limit.Load()/2 }

// Used returns the memory that is taken, in bytes.
func (b *Budget) Used() int64 { return b.memory.used.Load() }

// Account is what one connection has taken from a budget. The nil account is not limited. It is safe for concurrent
// use.
type Account struct {
	budget *Budget

	mu sync.Mutex
	// opened is set while the connection has its place.
	opened bool
	// begun is set while the place of a request is taken.
	begun bool
	// used is the memory taken for the request, and large the part of it from that for large ones.
	used, large int64
	// head, body and answer are what the request's head and body and the buffer of its answer have taken.
	head, body, answer int64
}

// open takes the place of a connection.
func (a *Account) open() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.budget
	if !b.sockets.take(1) {
		return false
	}
	if !b.memory.take(connectionBytes) {
		b.sockets.giveBack(1)
		return false
	}
	a.opened = true
	return true
}

// errClosed reports that a connection has lost its place, errFull that there is no place.
var errClosed, errFull = errors.New("the connection is closed"), errors.New("there is no place")

// begin takes the place of a request, unless it has been taken. The error is errClosed or errFull.
func (a *Account) begin() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.budget
	switch {
	case a.begun:
		return nil
	case !a.opened:
		return errClosed
	case !b.sockets.take(requestSockets):
		return errFull
	case !a.takeLocked(b.requestBytes, false):
		b.sockets.giveBack(requestSockets)
		return errFull
	}
	a.begun = true
	return nil
}

// takeLocked takes memory for the request.
func (a *Account) takeLocked(n int64, large bool) bool {
	b := a.budget
	if !a.opened || !b.memory.take(n) {
		return false
	}
	if large && !b.large.take(n) {
		b.memory.giveBack(n)
		return false
	}
	a.used += n
	if large {
		a.large += n
	}
	return true
}

// raise raises what a part of the request has taken to n. What exceeds usual comes from the memory for large ones.
func (a *Account) raise(part *int64, n, usual int64) bool {
	if n <= *part {
		return true
	}
	if below := min(n, usual) - *part; below > 0 {
		if !a.takeLocked(below, false) {
			return false
		}
		*part += below
	}
	if n > *part {
		if !a.takeLocked(n-*part, true) {
			return false
		}
		*part = n
	}
	return true
}

// takeHead raises the memory of the request's head to n bytes. It returns false if there is too little, or if the request
// has no place.
func (a *Account) takeHead(n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.begun && a.raise(&a.head, n, usualHeadBytes)
}

// TakeBody raises the memory of the request's body to n bytes. It returns false if there is too little.
func (a *Account) TakeBody(n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.raise(&a.body, n, usualBodyBytes)
}

// TakeAnswer takes n more bytes for what is buffered of the request's answer. It returns false if there is too little.
func (a *Account) TakeAnswer(n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.raise(&a.answer, a.answer+n, usualAnswerBytes)
}

// endRequest returns what the request has taken.
func (a *Account) endRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endRequestLocked()
}

func (a *Account) endRequestLocked() {
	b := a.budget
	b.memory.giveBack(a.used)
	b.large.giveBack(a.large)
	if a.begun {
		b.sockets.giveBack(requestSockets)
	}
	a.begun, a.used, a.large, a.head, a.body, a.answer = false, 0, 0, 0, 0, 0
}

// close returns all that the connection has taken. It may be called more than once.
func (a *Account) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.opened {
		return
	}
	a.endRequestLocked()
	a.opened = false
	a.budget.sockets.giveBack(1)
	a.budget.memory.giveBack(connectionBytes)
}

// costOfHead returns the memory of a head of so many bytes and lines.
func costOfHead(bytes, lines int) int64 {
	return int64(bytes)*headByteFactor + int64(lines)*headLineBytes
}

// accountKey is the key of the connection's account in contexts.
type accountKey struct{}

// Of returns the account of the connection that a request came on, or nil.
func Of(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
