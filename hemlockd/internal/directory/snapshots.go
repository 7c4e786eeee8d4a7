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
	mu       sync.Mutex
	revision directory.Revision
	content  []byte
}

// get returns the content of a revision, which raw returns decompressed.
func (c *snapshotCache) get(revision directory.Revision, raw func() ([]byte, error)) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == revision && c.content != nil {
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
	if c.revision.Before(revision) {
		c.revision, c.content = revision, content
	}
	return content, nil
}

// put keeps the content of a revision that another daemon has compressed.
func (c *snapshotCache) put(revision directory.Revision, content []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision.Before(revision) {
		c.revision, c.content = revision, content
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
// if the caller's revision is as new.
func (d *Directory) Snapshot(request peers.SnapshotRequest) (peers.Snapshot, error) {
	if request.Topic == directory.Routes {
		return d.configSnapshot(request.Have)
	}
	return d.listSnapshot(request.Have)
}

func (d *Directory) configSnapshot(have directory.Revision) (peers.Snapshot, error) {
	d.mu.Lock()
	table, revision := d.table.Load(), d.ConfigRevision()
	d.mu.Unlock()
	if table == nil || !have.Before(revision) {
		return peers.Snapshot{Revision: revision}, nil
	}
	content, err := d.configCache.get(revision, func() ([]byte, error) { return table.Config.Raw, nil })
	return peers.Snapshot{Revision: revision, Content: content}, err
}

func (d *Directory) listSnapshot(have directory.Revision) (peers.Snapshot, error) {
	d.mu.Lock()
	revision, loaded := d.ListRevision(), d.upstreamsLoaded.Load()
	if !loaded || !have.Before(revision) {
		d.mu.Unlock()
		return peers.Snapshot{Revision: revision}, nil
	}
	entries := d.upstreams.listed()
	d.mu.Unlock()
	content, err := d.listCache.get(revision, func() ([]byte, error) { return json.Marshal(entries) })
	return peers.Snapshot{Revision: revision, Content: content}, err
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
		if revision := d.applyConfig(data, s.Revision.Era, control); revision == s.Revision {
			d.configCache.put(revision, s.Content)
		}
		return nil
	}
	var entries map[string][]byte
	if err := json.Unmarshal(data, &entries); err != nil {
		return fmt.Errorf("decode a list of upstreams: %w", err)
	}
	page := directory.Page{Revision: s.Revision}
	for id, raw := range entries {
		page.Entries = append(page.Entries, directory.Entry{Key: id, Value: raw})
	}
	d.hearEra(s.Revision.Era)
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
