// Package table is a stand-in for the platform's transactional table. It serves the
// range and txn calls of the etcd v3 JSON mapping.
//
// # Usage
//
//	server.Handler = table.Handler(memory.New())
package table

import (
	"encoding/json"
	"net/http"

	"hemlockmux.example/common/platform"
	"hemlockmux.example/common/platform/memory"
)

// Handler serves t over HTTP.
func Handler(t *memory.Table) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", func(w http.ResponseWriter, r *http.Request) {
		var req platform.RangeRequest
		if !decode(w, r, &req) {
			return
		}
		kvs, err := t.Range(r.Context(), req)
		encode(w, platform.RangeResponse{Kvs: kvs, Count: int64(len(kvs))}, err)
	})
	mux.HandleFunc("POST /v3/kv/txn", func(w http.ResponseWriter, r *http.Request) {
		var req platform.TxnRequest
		if !decode(w, r, &req) {
			return
		}
		resp, err := t.Txn(r.Context(), req)
		encode(w, resp, err)
	})
	return mux
}

func decode(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func encode(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}
