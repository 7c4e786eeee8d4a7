package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

const goodSystem = `[policy]
firstTokenMs = 1800
[dataCentres.brandon-a]
region = "manitoba"
[models.spec-models]
slots = 20
[services.order-desk]
repeatable = false
[upstreams.one]
kind = "decode"
model = "spec-models"
address = "127.0.0.1:9000"
dataCentre = "brandon-a"
`

func TestParse(t *testing.T) {
	hash := HashKey("some key")
	for _, c := range []struct {
		name, system, team string
		wants              []string // parts of the error; nil if the settings are valid
	}{
		{"good", goodSystem, "priority = 3\nmodels = [\"spec-models\"]\n[keys.k]\nhash = \"" + hash + "\"\n", nil},
		{"misspelt key", goodSystem, "priorty = 3\n", []string{"teams/quotes.toml:1", `unknown key "priorty"`, `did you mean "priority"`}},
		{"misspelt key in a table", strings.Replace(goodSystem, "slots", "slotts", 1), "", []string{"system.toml:6", `did you mean "slots"`}},
		{"not TOML", goodSystem, "priority = = 3\n", []string{"teams/quotes.toml:1"}},
		{"out of range", goodSystem, "priority = 12\n", []string{"teams/quotes.toml:1", "priority is 12, outside 0 to 9"}},
		{"dangling model", goodSystem, "models = [\"spec-model\"]\n", []string{"teams/quotes.toml:1", `there is no model "spec-model"`, `did you mean "spec-models"`}},
		{"dangling data centre", strings.Replace(goodSystem, `dataCentre = "brandon-a"`, `dataCentre = "brandon-b"`, 1), "", []string{"system.toml:13", `did you mean "brandon-a"`}},
		{"host name for an address", strings.Replace(goodSystem, "127.0.0.1", "localhost", 1), "", []string{"system.toml:12", "is not IP:port"}},
		{"key instead of its hash", goodSystem, "[keys.k]\nhash = \"secret\"\n", []string{"teams/quotes.toml:2", "hemlockctl keys new"}},
		{"wrong kind", strings.Replace(goodSystem, `"decode"`, `"decoder"`, 1), "", []string{"system.toml:10", "not one of prefill, decode, service"}},
		{"no system", "", "", []string{"system node is missing"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			nodes := []Node{{Path: "teams/quotes", Text: c.team}}
			if c.system != "" {
				nodes = append(nodes, Node{Path: SystemPath, Text: c.system})
			}
			tree, err := Parse(7, nodes)
			if len(c.wants) == 0 {
				if err != nil || tree.Version != 7 || tree.Teams["quotes"].Priority != 3 || tree.System.Models["spec-models"].PieceTokens != DefaultModel().PieceTokens {
					t.Fatalf("got tree %+v, error %v", tree, err)
				}
				return
			}
			var bad *BadSettingsError
			if !errors.As(err, &bad) {
				t.Fatalf("got error %v, want a *BadSettingsError", err)
			}
			for _, want := range c.wants {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("missing %q in error %q", want, err)
				}
			}
		})
	}
}

// BenchmarkParse measures the parsing of a tree with 1,100 teams, which each daemon
// does for every change.
func BenchmarkParse(b *testing.B) {
	nodes := []Node{{Path: SystemPath, Text: goodSystem}}
	for i := range 1100 {
		name := fmt.Sprint(TeamsPrefix, "team-", i)
		text := fmt.Sprintf("priority = 3\nrequestsPerSecond = 10.0\nmodels = [\"spec-models\"]\n[keys.k]\nhash = %q\n", HashKey(name))
		nodes = append(nodes, Node{Path: name, Text: text})
	}
	for b.Loop() {
		if _, err := Parse(1, nodes); err != nil {
			b.Fatal(err)
		}
	}
}
