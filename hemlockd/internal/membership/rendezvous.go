package membership

import "github.com/cespare/xxhash/v2"

// Owner returns the name that owns a key by rendezvous hashing: all daemons with the same
// view choose the same name, and a change of the view moves only the keys of the daemons
// that were added or removed. It returns "" if names is empty.
func Owner(key string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range names {
		weight := xxhash.Sum64String(key + "\x00" + name)
		if best == "" || weight > bestWeight || weight == bestWeight && name < best {
			best, bestWeight = name, weight
		}
	}
	return best
}
