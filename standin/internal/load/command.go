package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Command is the load tool's command line.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a rate and print goodput and wasted prefill",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "callers", Usage: "daemons' ports for callers, separated by blanks or commas", Sources: cli.EnvVars("CALLERS")},
			&cli.StringFlag{Name: "prefills", Usage: "prefill engines to go straight to instead"},
			&cli.StringFlag{Name: "decodes", Usage: "decode engines to go straight to instead"},
			&cli.StringFlag{Name: "operator", Usage: "operators' port whose processor time is printed for each chunk"},
			&cli.StringFlag{Name: "key", Usage: "the team's key", Sources: cli.EnvVars("TEAM_KEY")},
			&cli.StringFlag{Name: "model", Value: "spec-models"},
			&cli.FloatFlag{Name: "rate", Value: 24, Usage: "requests a second"},
			&cli.FloatFlag{Name: "seconds", Value: 20},
			&cli.IntFlag{Name: "prompt", Value: 2000, Usage: "mean prompt, in tokens"},
			&cli.IntFlag{Name: "output", Value: 60, Usage: "mean output, in tokens"},
			&cli.BoolFlag{Name: "fixed-output", Usage: "the same output for all requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "events", Usage: "the stand-ins' event log, for wasted prefill", Sources: cli.EnvVars("EVENTS")},
		},
		Action: run,
	}
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ' ' || r == ',' })
}

func run(ctx context.Context, c *cli.Command) error {
	cfg := Config{
		CallerAddresses: split(c.String("callers")), PrefillAddresses: split(c.String("prefills")), DecodeAddresses: split(c.String("decodes")),
		TeamKey: c.String("key"), Model: c.String("model"), Rate: c.Float("rate"), Seconds: c.Float("seconds"),
		MeanPromptTokens: c.Int("prompt"), MeanOutputTokens: c.Int("output"), FixedOutput: c.Bool("fixed-output"), Seed: c.Uint64("seed"),
		FirstTokenTarget: 1800 * time.Millisecond, BetweenTokensTarget: 31 * time.Millisecond,
	}
	if len(cfg.PrefillAddresses) > 0 {
		cfg.CallerAddresses = nil
	}
	if len(cfg.CallerAddresses) == 0 && (len(cfg.PrefillAddresses) == 0 || len(cfg.DecodeAddresses) == 0) {
		return fmt.Errorf("give --callers, or --prefills and --decodes")
	}
	before := cpuMs(ctx, c.String("operator"))
	skip := lines(c.String("events"))
	report := Run(ctx, cfg)
	out := c.Root().Writer
	report.Print(out)
	if used := cpuMs(ctx, c.String("operator")) - before; used > 0 {
		fmt.Fprintf(out, "daemon: %.0f ms of processor time, %.0f chunks for each second of it\n", used, float64(report.Chunks)/used*1000)
	}
	if c.String("events") != "" {
		work, wasted := prefillWork(c.String("events"), skip)
		fmt.Fprintf(out, "prefill: %d tokens, %.2f %% wasted\n", work, 100*float64(wasted)/float64(max(1, work)))
	}
	return nil
}

// cpuMs reads a daemon's processor time.
func cpuMs(ctx context.Context, operator string) float64 {
	if operator == "" {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/debug/vars", nil)
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var vars struct {
		Daemon struct {
			CPUMs float64 `json:"cpuMs"`
		} `json:"daemon"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&vars)
	return vars.Daemon.CPUMs
}

// lines counts the lines of the event log.
func lines(path string) int {
	n := 0
	scan(path, func(int, []byte) { n++ })
	return n
}

func scan(path string, each func(i int, line []byte)) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for i := 0; scanner.Scan(); i++ {
		each(i, scanner.Bytes())
	}
}

// prefillWork reads from the event log how many prompt tokens were prefilled
// after the first lines, and how many of them no decode run followed.
func prefillWork(path string, skip int) (work, wasted int) {
	type event struct {
		Event, Phase, RequestID string
		Tokens                  int
	}
	pending := map[string]int{}
	scan(path, func(i int, line []byte) {
		var e event
		if i < skip || json.Unmarshal(line, &e) != nil || e.Event != "run" {
			return
		}
		switch e.Phase {
		case "prefill":
			work += e.Tokens
			wasted += pending[e.RequestID] // an earlier one came to nothing
			pending[e.RequestID] = e.Tokens
		case "decode":
			delete(pending, e.RequestID)
		}
	})
	for _, tokens := range pending {
		wasted += tokens
	}
	return work, wasted
}
