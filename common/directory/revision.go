package directory

import (
	"fmt"
	"strconv"
	"strings"
)

// Revision is a place in the history of a store. A store that comes back from an older copy gives
// out versions again, and its era rises. So versions of different eras say nothing of each other:
// whatever has a higher era is newer.
//
// Its text is ERA.VERSION, or VERSION if the store names no era.
type Revision struct {
	// Era counts how often the store has come back from an older copy; 0 if it does not say.
	Era int64
	// Version rises with each change within an era.
	Version int64
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool {
	if r.Era != other.Era {
		return r.Era < other.Era
	}
	return r.Version < other.Version
}

// eraShift is the number of bits of a version in [Revision.Ordinal]. With it 8,191 eras of 10^12
// versions each are exact in the numbers of any JSON decoder.
const eraShift = 40

// Ordinal returns a number that is higher for a later revision, for peers that compare numbers.
func (r Revision) Ordinal() int64 { return r.Era<<eraShift + r.Version }

// String returns the text of r.
func (r Revision) String() string {
	if r.Era == 0 {
		return strconv.FormatInt(r.Version, 10)
	}
	return fmt.Sprintf("%d.%d", r.Era, r.Version)
}

// MarshalText implements [encoding.TextMarshaler].
func (r Revision) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (r *Revision) UnmarshalText(text []byte) error {
	era, version, hasEra := strings.Cut(string(text), ".")
	if !hasEra {
		era, version = "0", era
	}
	parsed := Revision{}
	for _, part := range []struct {
		text string
		into *int64
	}{{era, &parsed.Era}, {version, &parsed.Version}} {
		n, err := strconv.ParseInt(part.text, 10, 64)
		if err != nil {
			return fmt.Errorf("decode revision %q: %w", text, err)
		}
		*part.into = n
	}
	*r = parsed
	return nil
}
