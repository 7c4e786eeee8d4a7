package directory

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
	"hemlockmux.example/common/progress"
)

const (
	// routesWait and upstreamsWait are how long the store is asked to wait for changes.
	// Each answer also tells that there are none, which other daemons rely on.
	routesWait    = 900 * clock.Millisecond
	upstreamsWait = 600 * clock.Millisecond
	// answerMargin is added to a wait to give the time until an answer must begin.
	answerMargin = 600 * clock.Millisecond
	// readTimeout is the time until the answer with all entries of a topic must begin.
	readTimeout = 1500 * clock.Millisecond
	// stallTimeout is the time within which an answer that has begun must go on. How long
	// it takes as a whole depends on its size and on the link.
	stallTimeout = 600 * clock.Millisecond
	// daemonsWait is the wait for changes of the list of daemons, which is
	// needed only while no other daemon is heard from.
	daemonsWait = 10 * clock.Second
	// standbyPause is the time between two checks of whether this daemon should
	// follow the store.
	standbyPause = 400 * clock.Millisecond
	// minBackoff is the pause after a failed call; it doubles with each further one.
	minBackoff = 50 * clock.Millisecond
	// maxBackoff is the longest pause after a failed call.
	maxBackoff = 800 * clock.Millisecond
)

// follower follows one topic of the store.
type follower struct {
	storeReporter
	wait clock.Millis
	// apply applies a page; full reports whether it holds all entries of the topic.
	apply    func(page directory.Page, full bool)
	position directory.Revision // of the last page
	known    bool               // all entries have been read; changes after position are next
}

func (f *follower) run(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		standby := !f.d.o.ShouldFollowStore()
		if f.known && standby && !f.d.Ready() { // other topics are still being read
			clock.Sleep(ctx, minBackoff)
			continue
		}
		if f.known && standby {
			f.known = false
			f.setFollowing(false)
		}
		if !f.known && f.d.Ready() && standby {
			clock.Sleep(ctx, standbyPause)
			continue
		}
		err := f.step(ctx)
		f.setFollowing(err == nil)
		f.report(err)
		if err == nil {
			pause = minBackoff
			continue
		}
		clock.Sleep(ctx, pause)
		pause = min(maxBackoff, pause*2)
	}
}

// step reads all entries of the topic, or waits for its next changes.
func (f *follower) step(ctx context.Context) error {
	called := f.d.o.Clock.Now()
	if !f.known {
		ctx, cancel := bound(ctx, readTimeout, nil)
		defer cancel()
		page, err := f.d.o.Store.Read(ctx, f.topic)
		if err != nil {
			return err
		}
		at, err := f.d.storeAnswered(page, called)
		if err != nil {
			return err
		}
		f.position, f.known = page.Revision, true
		f.apply(page, true)
		f.d.confirm(f.topic, at, page.Revision)
		return nil
	}
	ctx, cancel := bound(ctx, f.wait+answerMargin, func() { f.d.recordReceiving(f.topic) })
	defer cancel()
	defer f.d.endReceiving(f.topic)
	page, err := f.d.o.Store.Follow(ctx, f.topic, f.position, f.wait)
	var lost *directory.HistoryLostError
	if errors.As(err, &lost) {
		f.known = false
		f.d.o.Log.Info("the store lacks the changes after a revision; reading all entries", zap.String("topic", string(f.topic)), zap.Stringer("after", f.position))
		return nil
	}
	if err != nil {
		return err
	}
	at, err := f.d.storeAnswered(page, called)
	if err != nil {
		f.known = false
		return err
	}
	f.position = page.Revision
	if len(page.Entries) > 0 {
		f.apply(page, false)
	}
	f.d.confirm(f.topic, at, page.Revision)
	return nil
}

// setFollowing records whether this daemon receives changes from the store itself. Only
// the follower of the upstreams sets this, on behalf of all topics.
func (f *follower) setFollowing(following bool) {
	if f.topic == directory.Upstreams {
		f.d.following.Store(following)
	}
}

// storeReporter reports the results of one source of calls about a topic.
type storeReporter struct {
	d       *Directory
	topic   directory.Topic
	failing bool // the last call failed
}

// bound returns a context for a call whose answer must begin within a time and then go on.
func bound(ctx context.Context, begin clock.Millis, onProgress func()) (context.Context, context.CancelFunc) {
	return progress.WithTimeout(ctx, progress.Bounds{FirstMs: begin, IdleMs: stallTimeout, OnProgress: onProgress})
}

// report records a failure of the store and logs each change between reachable and
// unreachable.
func (r *storeReporter) report(err error) {
	if r.d.ctx.Err() != nil {
		return
	}
	if err != nil {
		r.d.recordStoreFailure()
	}
	if (err != nil) == r.failing {
		return
	}
	r.failing = err != nil
	r.d.o.Log.Info("the store changed state", zap.String("topic", string(r.topic)), zap.Bool("reachable", !r.failing), zap.Error(err))
}
