// Package account puts together, from the logs of all daemons, what became of
// one request: the lines about it, and the changes that its daemon saw or that
// concern the upstreams it met, in the order of time.
//
// # Usage
//
//	lines, err := account.Read(file)
//	a, ok := account.Of("9c41d07be2a35f68", lines)
//	a.Write(os.Stdout)
package account

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"hemlockmux.example/common/clock"
	"hemlockmux.example/common/verdict"
)

const (
	// before and after bound the time around a request from which changes are
	// shown.
	before = 5 * clock.Second
	after  = clock.Second
	// maxLineBytes bounds one line of a log.
	maxLineBytes = 1 << 20
	// messageRequest is the message of the line that concludes a request.
	messageRequest = "request"
)

// Line is one line of a daemon's log.
type Line struct {
	AtMs     float64           `json:"atMs"`
	Daemon   string            `json:"daemon"`
	Message  string            `json:"msg"`
	Request  string            `json:"request"`
	Reason   string            `json:"reason"`
	Status   int               `json:"status"`
	Ran      string            `json:"ran"`
	Version  int64             `json:"version"`
	StartMs  clock.Millis      `json:"startMs"`
	TookMs   clock.Millis      `json:"tookMs"`
	WaitedMs clock.Millis      `json:"waitedMs"`
	Route    string            `json:"route"`
	Service  string            `json:"service"`
	Basis    string            `json:"basis"`
	Upstream string            `json:"upstream"`
	Attempts []verdict.Attempt `json:"attempts"`
	// Text is the line as it stands in the log.
	Text string `json:"-"`
}

// Read reads the lines of a log; text that is no line of a daemon is passed
// over.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := Line{Text: text[start:]}
		if json.Unmarshal([]byte(l.Text), &l) == nil && l.Message != "" {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read a log: %w", err)
	}
	return lines, nil
}

// Account is what the logs tell of one request.
type Account struct {
	Request string `json:"request"`
	// Conclusions are the lines that conclude the request; a caller's attempt has one.
	Conclusions []Line `json:"own"`
	// Related are the changes that may have to do with it.
	Related []Line `json:"around"`
}

// ForRequest returns the account of a request, false where no line tells of it.
func ForRequest(id string, lines []Line) (Account, bool) {
	a := Account{Request: id}
	for _, l := range lines {
		if l.Message == messageRequest && l.Request == id {
			a.Conclusions = append(a.Conclusions, l)
		}
	}
	for _, l := range lines {
		if l.Message != messageRequest && slices.ContainsFunc(a.Conclusions, func(own Line) bool { return concerns(l, own) }) {
			a.Related = append(a.Related, l)
		}
	}
	byTime := func(lines []Line) {
		sort.SliceStable(lines, func(i, j int) bool { return lines[i].AtMs < lines[j].AtMs })
	}
	byTime(a.Conclusions)
	byTime(a.Related)
	return a, len(a.Conclusions) > 0
}

// concerns tells whether a change may have to do with a request: it lies near in
// time, and its daemon took the request or it names an upstream that was tried.
func concerns(l, own Line) bool {
	if l.AtMs < float64(own.StartMs-before) || l.AtMs > float64(own.StartMs+own.TookMs+after) {
		return false
	}
	tried := slices.ContainsFunc(own.Attempts, func(a verdict.Attempt) bool { return a.Upstream == l.Upstream })
	return l.Daemon == own.Daemon || l.Upstream != "" && tried
}

// Write writes the account for a person. Times count from the request's arrival,
// in ms; those of other daemons are by their own clocks.
func (a Account) Write(w io.Writer) {
	for _, own := range a.Conclusions {
		fmt.Fprintf(w, "request %s at daemon %s: %s, status %d, ran: %s\n", a.Request, own.Daemon, own.Reason, own.Status, own.Ran)
		fmt.Fprintf(w, "  route %s, service %s, configuration version %d, took %d ms, of which %d ms for a place\n",
			own.Route, own.Service, own.Version, own.TookMs, own.WaitedMs)
		if own.Basis != "" {
			fmt.Fprintf(w, "  decided on: %s\n", own.Basis)
		}
		for _, t := range own.Attempts {
			fmt.Fprintf(w, "  %+7d ms  %s at %s: %s", t.StartMs-own.StartMs, t.Phase, t.Upstream, t.Result)
			if t.Cause != "" {
				fmt.Fprintf(w, " (%s)", t.Cause)
			}
			fmt.Fprintf(w, ", %d ms\n", t.EndMs-t.StartMs)
		}
		fmt.Fprintln(w, "  around it:")
		for _, l := range a.Related {
			if concerns(l, own) {
				fmt.Fprintf(w, "  %+7.0f ms  %s: %s\n", l.AtMs-float64(own.StartMs), l.Daemon, l.Text)
			}
		}
	}
}
