package directory

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"go.uber.org/zap"

	"hemlockmux.example/common/directory"
	"hemlockmux.example/hemlockd/internal/peers"
)

// maxSnapshotBytes limits the content of a snapshot, decompressed.
const maxSnapshotBytes = 16 << 20

// snapshotCache keeps the content of the newest snapshot of a topic, compressed once for all
// daemons that ask. It is safe for concurrent use.
type snapshotCache struct {
	mu      sync.Mutex
	version int64
	content []byte
}

// get returns the content of a version, which raw returns decompressed.
func (c *snapshotCache) get(version int64, raw func() ([]byte, error)) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version == version && c.content != nil {
		return c.content, nil
	}
	data, err := raw()
	if err != nil {
		return nil, err
	}
	content, err := compress(data)
	if err != nil {
		return nil, err
	}
	if version > c.version {
		c.version, c.content = version, content
	}
	return content, nil
}

// put keeps the content of a version that another daemon has compressed.
func (c *snapshotCache) put(version int64, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.version {
		c.version, c.content = version, content
	}
}

func compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress a snapshot: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("compress a snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress a snapshot: %w", err)
	}
	return b.Bytes(), nil
}

func decompress(content []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(content))
	if err != nil {
		return nil, fmt.Errorf("decompress a snapshot: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, fmt.Errorf("decompress a snapshot: %w", err)
	}
	if len(data) > maxSnapshotBytes {
		return nil, fmt.Errorf("decompress a snapshot: it has more than %d bytes", maxSnapshotBytes)
	}
	return data, nil
}

// Snapshot returns the configuration or the list of upstreams in force, without its content
// if the caller's version is as new.
func (d *Directory) Snapshot(request peers.SnapshotRequest) (peers.Snapshot, error) {
	if request.Topic == directory.Routes {
		return d.configSnapshot(request.HaveVersion)
	}
	return d.listSnapshot(request.HaveVersion)
}

func (d *Directory) configSnapshot(have int64) (peers.Snapshot, error) {
	table := d.table.Load()
	if table == nil || table.Config.Version <= have {
		return peers.Snapshot{Version: d.Version()}, nil
	}
	content, err := d.configCache.get(table.Config.Version, func() ([]byte, error) { return table.Config.Raw, nil })
	return peers.Snapshot{Version: table.Config.Version, Content: content}, err
}

func (d *Directory) listSnapshot(have int64) (peers.Snapshot, error) {
	d.mu.Lock()
	version, loaded := d.listVersion.Load(), d.upstreamsLoaded.Load()
	if !loaded || version <= have {
		d.mu.Unlock()
		return peers.Snapshot{Version: version}, nil
	}
	entries := d.upstreams.listed()
	d.mu.Unlock()
	content, err := d.listCache.get(version, func() ([]byte, error) { return json.Marshal(entries) })
	return peers.Snapshot{Version: version, Content: content}, err
}

// applySnapshot applies the snapshot of a topic from the daemon at the given control address.
func (d *Directory) applySnapshot(topic directory.Topic, s peers.Snapshot, control string) error {
	if len(s.Content) == 0 {
		return nil
	}
	data, err := decompress(s.Content)
	if err != nil {
		return err
	}
	if topic == directory.Routes {
		if version := d.applyConfig(data, control); version == s.Version {
			d.configCache.put(version, s.Content)
		}
		return nil
	}
	var entries map[string][]byte
	if err := json.Unmarshal(data, &entries); err != nil {
		return fmt.Errorf("decode a list of upstreams: %w", err)
	}
	page := directory.Page{Version: s.Version}
	for id, raw := range entries {
		page.Entries = append(page.Entries, directory.Entry{Key: id, Value: raw})
	}
	d.applyUpstreams(page, true, control)
	return nil
}

// logFailedFetch logs a failed fetch with what tells a busy source from a narrow link: how much
// had come by then.
func (d *Directory) logFailedFetch(topic directory.Topic, control string, err error) {
	fields := []zap.Field{zap.String("topic", string(topic)), zap.String("peer", control), zap.Error(err)}
	var failed *peers.FetchError
	if errors.As(err, &failed) {
		fields = append(fields, zap.Int64("receivedBytes", failed.ReceivedBytes), zap.Int64("tookMs", int64(failed.TookMs)))
	}
	d.o.Log.Warn("fetching the snapshot of another daemon failed", fields...)
}
