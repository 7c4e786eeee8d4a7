// Package objects is a stand-in for the platform's object store. It serves PUT, GET
// and ListObjectsV2 of the S3 REST interface from a map in memory.
//
// # Usage
//
//	store := objects.New()
//	server.Handler = store.Handler()
package objects

import (
	"encoding/xml"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"hemlockmux.example/common/platform"
)

// listLimit is the maximum number of keys in one listing.
const listLimit = 1000

// Store holds the objects, keyed by bucket/key.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	// Puts counts the PUT calls, for capacity measurements.
	Puts atomic.Int64
}

// New returns an empty store.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// Handler serves the PUT, GET and list calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /{bucket}/{key...}", s.put)
	mux.HandleFunc("GET /{bucket}/{key...}", s.get)
	mux.HandleFunc("GET /{bucket}", s.list)
	return mux
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Puts.Add(1)
	s.mu.Lock()
	s.objects[r.PathValue("bucket")+"/"+r.PathValue("key")] = body
	s.mu.Unlock()
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.objects[r.PathValue("bucket")+"/"+r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	bucket, q := r.PathValue("bucket")+"/", r.URL.Query()
	var keys []string
	s.mu.Lock()
	for key := range s.objects {
		name, ok := strings.CutPrefix(key, bucket)
		if ok && strings.HasPrefix(name, q.Get("prefix")) && name > q.Get("start-after") {
			keys = append(keys, name)
		}
	}
	s.mu.Unlock()
	sort.Strings(keys)
	var result platform.ListResult
	for _, key := range keys[:min(len(keys), listLimit)] {
		result.Contents = append(result.Contents, struct {
			Key string `xml:"Key"`
		}{key})
	}
	w.Header().Set("Content-Type", "application/xml")
	_ = xml.NewEncoder(w).Encode(result)
}
