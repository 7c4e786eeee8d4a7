package completions

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
)

func TestParts(t *testing.T) {
	numbers := make([]string, 40)
	for i := range numbers {
		numbers[i] = strconv.Itoa(i)
	}
	for _, c := range []struct {
		name string
		body string
		want []string
	}{
		{"no prompt", `{}`, nil},
		{"invalid prompt", `{"prompt":7}`, nil},
		{"two prompts", `{"prompt":["a","b"]}`, nil},
		{"one paragraph", `{"prompt":"a\nb"}`, []string{"a\nb"}},
		{"paragraphs", `{"prompt":"a\n\nb\n\nc"}`, []string{"a", "b", "c"}},
		{"a list of one prompt", `{"prompt":["a\n\nb"]}`, []string{"a", "b"}},
		{"empty paragraphs", `{"prompt":"a\n\n\n\nb"}`, []string{"a", "", "b"}},
		{"messages", `{"messages":[{"role":"system","content":"a\n\nb"},{"role":"user","content":"c"}]}`, []string{"a\n\nb", "c"}},
		{"messages before the prompt", `{"prompt":"x","messages":[{"role":"user","content":"c"}]}`, []string{"c"}},
		{"the most parts", `{"prompt":"` + strings.Join(numbers[:32], `\n\n`) + `"}`, numbers[:32]},
		{"too many parts", `{"prompt":"` + strings.Join(numbers, `\n\n`) + `"}`, append(slices.Clone(numbers[:31]), "39")},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r Request
			if err := json.Unmarshal([]byte(c.body), &r); err != nil {
				t.Fatal(err)
			}
			var want []string
			for _, text := range c.want {
				want = append(want, strconv.FormatUint(xxhash.Sum64String(text), 16))
			}
			if got := r.Parts(); !slices.Equal(got, want) {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

func TestPartsAreShort(t *testing.T) {
	r := Request{Messages: []Message{{Content: strings.Repeat("long ", 10000)}, {Content: "own"}}}
	for _, p := range r.Parts() {
		if len(p) > 16 {
			t.Errorf("part %q has %d bytes", p, len(p))
		}
	}
}

func TestSharedParts(t *testing.T) {
	for body, want := range map[string]int{
		`{}`: 0, `{"prompt":"own"}`: 0, `{"prompt":"a\n\nown"}`: 1, `{"prompt":"a\n\nb\n\nown"}`: 2,
		`{"messages":[{"role":"user","content":"own"}]}`: 0,
	} {
		var r Request
		if err := json.Unmarshal([]byte(body), &r); err != nil {
			t.Fatal(err)
		}
		if got := r.SharedParts(); len(got) != want || !slices.Equal(got, r.Parts()[:want]) {
			t.Errorf("%s: got %q, want the first %d of %q", body, got, want, r.Parts())
		}
	}
}
