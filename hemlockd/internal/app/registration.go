package app

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strconv"

	"go.uber.org/zap"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/directory"
)

// addSeeds adds the seeds of the settings as peers.
func (d *platformDaemon) addSeeds(seeds []string) {
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil || !d.peers.AddAddress(net.JoinHostPort(host, strconv.Itoa(d.settings.FirstPort)), "") {
			d.log.Warn("seed in the settings is not IP:PORT; ignoring it", zap.String("seed", seed), zap.Error(err))
		}
	}
}

// registration is a daemon's entry in the list of daemons.
type registration struct {
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// addListed adds a daemon of the list as a peer.
func (d *platformDaemon) addListed(name string, raw []byte) {
	var e registration
	if err := json.Unmarshal(raw, &e); err != nil || !d.peers.AddAddress(e.Address, e.DataCentre) {
		d.log.Warn("invalid entry in the list of daemons; ignoring it", zap.String("peer", name), zap.Error(err))
	}
}

// registrationSpread is how far apart in the mean the daemons write their entries again after the
// store has come back from an older copy.
const registrationSpread = 10 * clock.Millisecond

// runRegistration writes this daemon's entry in the list of daemons, and again each time that the
// store may have lost it.
func (d *platformDaemon) runRegistration(ctx context.Context) {
	raw, err := json.Marshal(registration{Address: d.datagramAddress(), DataCentre: d.settings.DataCentre})
	if err != nil {
		d.log.Error("this daemon's entry in the list of daemons can't be encoded", zap.Error(err))
		return
	}
	for ctx.Err() == nil {
		d.register(ctx, raw)
		select {
		case <-d.registerAgain:
			clock.Sleep(ctx, clock.Millis(rand.Int64N(int64(d.peers.Count())*int64(registrationSpread))))
		case <-ctx.Done():
		}
	}
}

// register writes this daemon's entry, retrying until the store accepts it.
func (d *platformDaemon) register(ctx context.Context, raw []byte) {
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, registrationTimeout.Duration())
		err := d.store.Put(attemptCtx, directory.Daemons, d.settings.Name, raw)
		cancel()
		if err == nil {
			return
		}
		clock.Sleep(ctx, registrationRetryDelay)
	}
}

// storeRestored has what this daemon wrote to the store written again.
func (d *platformDaemon) storeRestored() {
	select {
	case d.registerAgain <- struct{}{}:
	default: // it is about to be written
	}
	d.archive.Restored()
	d.blames.restored.Store(true)
	d.versions.Restored()
}
