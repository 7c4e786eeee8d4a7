// Package account collects from the logs of all daemons the lines about one request:
// those that conclude it, and those of related state changes at its daemon or
// upstreams, in the order of time.
//
// # Usage
//
//	lines, err := account.Read(file)
//	a, ok := account.ForRequest("9c41d07be2a35f68", lines)
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
	// before and after are the times before the start and after the end of a request
	// within which state changes are related to it.
	before = 5 * clock.Second
	after  = clock.Second
	// maxLineBytes is the maximum length of a line of a log; Read fails on longer ones.
	maxLineBytes = 1 << 20
	// messageRequest is the message of the log line that concludes a request.
	messageRequest = "request"
)

// Line is one line of a daemon's log. Which fields are set depends on Message.
type Line struct {
	// AtMs is the time of the line, in ms since the Unix epoch.
	AtMs float64 `json:"atMs"`
	// Daemon is the name of the daemon.
	Daemon string `json:"daemon"`
	// Message is the log message.
	Message string `json:"msg"`
	// Request is the id of the request.
	Request string `json:"request"`
	// Reason is the reason of the request's outcome.
	Reason string `json:"reason"`
	// Status is the HTTP status of the answer.
	Status int `json:"status"`
	// Ran says whether an upstream ran the request.
	Ran string `json:"ran"`
	// Version is the version of the configuration.
	Version int64 `json:"version"`
	// StartMs is the time of the request's arrival, in ms since the Unix epoch.
	StartMs clock.Millis `json:"startMs"`
	// TookMs is the time from arrival to completion, in ms.
	TookMs clock.Millis `json:"tookMs"`
	// WaitedMs is the part of TookMs that the request spent in the queue, in ms.
	WaitedMs clock.Millis `json:"waitedMs"`
	// Route is the name of the request's route.
	Route string `json:"route"`
	// Service is the name of the request's service.
	Service string `json:"service"`
	// Basis describes the state on which a refusal was decided.
	Basis string `json:"basis"`
	// Upstream is the upstream that a state change concerns.
	Upstream string `json:"upstream"`
	// Attempts are the attempts to run the request.
	Attempts []verdict.Attempt `json:"attempts"`
	// Text is the JSON text of the line.
	Text string `json:"-"`
}

// Read reads the lines of a log. It skips lines that do not contain a JSON object
// with a message.
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
		return nil, fmt.Errorf("read log: %w", err)
	}
	return lines, nil
}

// Account holds the log lines about one request, sorted by time.
type Account struct {
	// Request is the id of the request.
	Request string `json:"request"`
	// Conclusions are the lines that conclude the request, one for each time that the
	// caller sent it.
	Conclusions []Line `json:"own"`
	// Related are the state changes that may have affected the request.
	Related []Line `json:"around"`
}

// ForRequest returns the account of a request, and false if no line concludes it.
func ForRequest(id string, lines []Line) (Account, bool) {
	a := Account{Request: id}
	for _, l := range lines {
		if l.Message == messageRequest && l.Request == id {
			a.Conclusions = append(a.Conclusions, l)
		}
	}
	for _, l := range lines {
		if l.Message != messageRequest && slices.ContainsFunc(a.Conclusions, func(conclusion Line) bool { return isRelated(l, conclusion) }) {
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

// isRelated reports whether the state change l may have affected the request of the
// line conclusion: it is near in time, and at the request's daemon or about an upstream
// that was attempted.
func isRelated(l, conclusion Line) bool {
	if l.AtMs < float64(conclusion.StartMs-before) || l.AtMs > float64(conclusion.StartMs+conclusion.TookMs+after) {
		return false
	}
	attempted := slices.ContainsFunc(conclusion.Attempts, func(a verdict.Attempt) bool { return a.Upstream == l.Upstream })
	return l.Daemon == conclusion.Daemon || l.Upstream != "" && attempted
}

// Write writes the account as text. Times are in ms since the request's arrival; those
// of other daemons are by their own clocks.
func (a Account) Write(w io.Writer) {
	for _, conclusion := range a.Conclusions {
		fmt.Fprintf(w, "request %s at daemon %s: %s, status %d, ran: %s\n", a.Request, conclusion.Daemon, conclusion.Reason, conclusion.Status, conclusion.Ran)
		fmt.Fprintf(w, "  route %s, service %s, configuration version %d, took %d ms, of which %d ms in the queue\n",
			conclusion.Route, conclusion.Service, conclusion.Version, conclusion.TookMs, conclusion.WaitedMs)
		if conclusion.Basis != "" {
			fmt.Fprintf(w, "  state at refusal: %s\n", conclusion.Basis)
		}
		for _, t := range conclusion.Attempts {
			fmt.Fprintf(w, "  %+7d ms  %s at %s: %s", t.StartMs-conclusion.StartMs, t.Phase, t.Upstream, t.Result)
			if t.Cause != "" {
				fmt.Fprintf(w, " (%s)", t.Cause)
			}
			fmt.Fprintf(w, ", %d ms\n", t.EndMs-t.StartMs)
		}
		fmt.Fprintln(w, "  related state changes:")
		for _, l := range a.Related {
			if isRelated(l, conclusion) {
				fmt.Fprintf(w, "  %+7.0f ms  %s: %s\n", l.AtMs-float64(conclusion.StartMs), l.Daemon, l.Text)
			}
		}
	}
}
