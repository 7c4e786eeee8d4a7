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

// Command returns the command line of the load tool.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a given rate and print goodput and wasted prefill",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "callers", Usage: "addresses of the daemons' ports for callers, separated by blanks or commas", Sources: cli.EnvVars("CALLERS")},
			&cli.StringFlag{Name: "prefills", Usage: "addresses of prefill engines to send to directly, without a daemon"},
			&cli.StringFlag{Name: "decodes", Usage: "addresses of decode engines to send to directly, without a daemon"},
			&cli.StringFlag{Name: "operator", Usage: "address of a daemon's port for operators, to print its processor time and the chunks per second of it"},
			&cli.StringFlag{Name: "key", Usage: "the team's key", Sources: cli.EnvVars("TEAM_KEY")},
			&cli.StringFlag{Name: "model", Value: "spec-models"},
			&cli.FloatFlag{Name: "rate", Value: 24, Usage: "requests per second"},
			&cli.FloatFlag{Name: "seconds", Value: 20},
			&cli.IntFlag{Name: "prompt", Value: 2000, Usage: "mean prompt length in tokens"},
			&cli.IntFlag{Name: "output", Value: 60, Usage: "mean output length in tokens"},
			&cli.BoolFlag{Name: "fixed-output", Usage: "use the same output length for all requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "events", Usage: "path of the stand-ins' event log, to print wasted prefill", Sources: cli.EnvVars("EVENTS")},
		},
		Action: run,
	}
}

func splitAddresses(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ' ' || r == ',' })
}

func run(ctx context.Context, c *cli.Command) error {
	cfg := Config{
		CallerAddresses: splitAddresses(c.String("callers")), PrefillAddresses: splitAddresses(c.String("prefills")), DecodeAddresses: splitAddresses(c.String("decodes")),
		TeamKey: c.String("key"), Model: c.String("model"), Rate: c.Float("rate"), Seconds: c.Float("seconds"),
		MeanPromptTokens: c.Int("prompt"), MeanOutputTokens: c.Int("output"), FixedOutput: c.Bool("fixed-output"), Seed: c.Uint64("seed"),
		FirstTokenTarget: 1800 * time.Millisecond, BetweenTokensTarget: 31 * time.Millisecond,
	}
	if len(cfg.PrefillAddresses) > 0 {
		cfg.CallerAddresses = nil
	}
	if len(cfg.CallerAddresses) == 0 && (len(cfg.PrefillAddresses) == 0 || len(cfg.DecodeAddresses) == 0) {
		return fmt.Errorf("no addresses to send to: give --callers, or --prefills and --decodes")
	}
	before := cpuMs(ctx, c.String("operator"))
	skip := countLines(c.String("events"))
	report := Run(ctx, cfg)
	out := c.Root().Writer
	report.Print(out)
	if used := cpuMs(ctx, c.String("operator")) - before; used > 0 {
		fmt.Fprintf(out, "daemon: %.0f ms of processor time, %.0f chunks per second of processor time\n", used, float64(report.Chunks)/used*1000)
	}
	if c.String("events") != "" {
		work, wasted := prefillWork(c.String("events"), skip)
		fmt.Fprintf(out, "prefill: %d tokens, %.2f %% wasted\n", work, 100*float64(wasted)/float64(max(1, work)))
	}
	return nil
}

// cpuMs returns the processor time that a daemon has used, in milliseconds, or 0 if it
// can't be read.
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

// countLines returns the number of lines of the event log, or 0 if it can't be read.
func countLines(path string) int {
	n := 0
	forEachLine(path, func(int, []byte) { n++ })
	return n
}

func forEachLine(path string, each func(i int, line []byte)) {
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

// prefillWork reads the event log after the first skip lines. It returns the number of
// prompt tokens that were prefilled, and how many of them no decode of the same request
// followed.
func prefillWork(path string, skip int) (work, wasted int) {
	type event struct {
		Event, Phase, RequestID string
		Tokens                  int
	}
	pending := map[string]int{}
	forEachLine(path, func(i int, line []byte) {
		var e event
		if i < skip || json.Unmarshal(line, &e) != nil || e.Event != "run" {
			return
		}
		switch e.Phase {
		case "prefill":
			work += e.Tokens
			wasted += pending[e.RequestID] // the earlier prefill's result was not used
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
