package main

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// streamOptions says what clients send.
type streamOptions struct {
	n                                     names
	addresses, host, path, prefix, record string
	prompt, output, deadlineMs            int
	perSecond, seconds                    float64
}

// streams sends requests for streams at a rate, to one daemon after the other, and records a line for
// each: its id, the daemon, the status or the failure, and the number of events.
func streams(args []string) error {
	var o streamOptions
	f := flag.NewFlagSet("streams", flag.ExitOnError)
	f.StringVar(&o.addresses, "addresses", "", "IP:port of the daemons, separated by commas")
	f.StringVar(&o.host, "host", "", "host of the route")
	f.StringVar(&o.path, "path", "/", "path of the requests")
	f.StringVar(&o.prefix, "prefix", "s", "beginning of the ids of attempts")
	f.StringVar(&o.record, "record", "", "file that records the answers; it is appended to")
	f.IntVar(&o.prompt, "prompt", 5000, "tokens of a prompt")
	f.IntVar(&o.output, "output", 100, "tokens of an answer")
	f.IntVar(&o.deadlineMs, "deadline", 14000, "time that a client waits, in ms")
	f.Float64Var(&o.perSecond, "rate", 5, "requests a second")
	f.Float64Var(&o.seconds, "seconds", 10, "how long requests are sent, in s")
	if err := f.Parse(args); err != nil {
		return err
	}
	var err error
	if o.n, err = loadNames(); err != nil {
		return err
	}
	record, err := os.OpenFile(o.record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	daemons := strings.Split(o.addresses, ",")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: time.Duration(o.deadlineMs) * time.Millisecond}
	var running sync.WaitGroup
	var mu sync.Mutex
	for i := range int(o.perSecond * o.seconds) {
		id, daemon := fmt.Sprintf("%s%d", o.prefix, i), daemons[i%len(daemons)]
		running.Go(func() {
			began := time.Now()
			result := o.send(client, daemon, id)
			mu.Lock()
			defer mu.Unlock()
			_, _ = fmt.Fprintf(record, "%d %s %s %s tookMs=%d\n", began.UnixMilli(), id, daemon, result, time.Since(began).Milliseconds())
		})
		time.Sleep(time.Duration(float64(time.Second) / o.perSecond))
	}
	running.Wait()
	return record.Close()
}

// send sends one request and returns what came of it.
func (o streamOptions) send(client *http.Client, daemon, id string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+daemon+o.path, strings.NewReader("a spec sheet"))
	if err != nil {
		return err.Error()
	}
	req.Host = o.host
	for name, value := range map[string]string{
		o.n.Attempt: id, o.n.Deadline: fmt.Sprint(o.deadlineMs), o.n.Model: "m", o.n.Tokens: fmt.Sprintf("%d,%d", o.prompt, o.output),
		o.n.Parts: fmt.Sprintf("aa:200,%x:%d", id, o.prompt-200), o.n.Hint: fmt.Sprint(o.output),
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Sprintf("%q", err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	result := fmt.Sprintf("%d events=%d", resp.StatusCode, strings.Count(string(body), "id: "))
	if err != nil {
		result += fmt.Sprintf(" %q", err.Error())
	}
	return result
}
