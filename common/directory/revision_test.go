package directory

import (
	"encoding/json"
	"testing"

	"pgregory.net/rapid"
)

func TestRevisionsOfALaterEraAreNewer(t *testing.T) {
	for _, c := range []struct {
		older, newer Revision
	}{
		{Revision{1, 30}, Revision{1, 31}},
		{Revision{1, 30}, Revision{2, 27}},
		{Revision{0, 30}, Revision{1, 1}},
	} {
		if !c.older.Before(c.newer) || c.newer.Before(c.older) || c.older.Ordinal() >= c.newer.Ordinal() {
			t.Errorf("%v is not before %v", c.older, c.newer)
		}
	}
	if r := (Revision{2, 27}); r.Before(r) {
		t.Errorf("%v is before itself", r)
	}
}

func TestRevisionIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Revision{Era: rapid.Int64Range(0, 9000).Draw(t, "era"), Version: rapid.Int64Min(0).Draw(t, "version")}
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var read Revision
		if err := json.Unmarshal(text, &read); err != nil || read != r {
			t.Errorf("%s is read as %v, %v", text, read, err)
		}
	})
	for _, text := range []string{`""`, `"1."`, `".1"`, `"1.2.3"`, `"x"`, `7`, `"1.99999999999999999999"`} {
		r := Revision{3, 4}
		if err := json.Unmarshal([]byte(text), &r); err == nil || r != (Revision{3, 4}) {
			t.Errorf("%s is read as %v, %v", text, r, err)
		}
	}
}
