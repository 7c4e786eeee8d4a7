package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// clientOptions says what clients send.
type clientOptions struct {
	address, host, path, idHeader, deadlineHeader, header, prefix string
	deadlineMs, count, size, others, pauseMs                      int
	together                                                      bool
}

// clients lets a number of clients each send a short request and then, over the same connection, one
// with a long body: all at once, or one after the other. Other clients send short requests, one after
// the other with a pause, from a second before that until it is over. It prints a line for each
// request: its id, the status of the answer or "noAnswer", and what else is known.
func clients(args []string) error {
	var o clientOptions
	f := flag.NewFlagSet("clients", flag.ExitOnError)
	f.StringVar(&o.address, "address", "", "IP:port of the daemon")
	f.StringVar(&o.host, "host", "", "host of the route")
	f.StringVar(&o.path, "path", "/", "path of the requests")
	f.StringVar(&o.idHeader, "id-header", "", "header that names an attempt")
	f.StringVar(&o.deadlineHeader, "deadline-header", "", "header with the time that the client waits, in ms")
	f.StringVar(&o.header, "header", "", "one more header line")
	f.StringVar(&o.prefix, "prefix", "c", "beginning of the ids of attempts")
	f.IntVar(&o.deadlineMs, "deadline", 2000, "time that a client waits, in ms")
	f.IntVar(&o.count, "count", 1, "number of clients with a long request")
	f.IntVar(&o.size, "size", 0, "bytes in the body of a long request")
	f.IntVar(&o.others, "others", 0, "number of other clients")
	f.IntVar(&o.pauseMs, "pause", 100, "pause of the other clients between two requests, in ms")
	f.BoolVar(&o.together, "together", false, "send the long requests at once")
	if err := f.Parse(args); err != nil {
		return err
	}
	over := make(chan struct{})
	var others sync.WaitGroup
	for i := range o.others {
		c := &client{o: o, name: fmt.Sprintf("%sother%d", o.prefix, i)}
		others.Go(func() { c.repeat(over) })
	}
	time.Sleep(time.Second)
	body := bytes.Repeat([]byte("x"), o.size)
	var running sync.WaitGroup
	begin := make(chan struct{})
	for i := range o.count {
		c := &client{o: o, name: fmt.Sprintf("%slong%d", o.prefix, i)}
		c.send([]byte("x"))
		if !o.together {
			c.send(body)
			continue
		}
		running.Go(func() {
			<-begin
			c.send(body)
		})
	}
	close(begin)
	running.Wait()
	time.Sleep(time.Second)
	close(over)
	others.Wait()
	return nil
}

// client is one client, which keeps its connection as long as it gets answers.
type client struct {
	o      clientOptions
	name   string
	conn   net.Conn // nil: none
	reader *bufio.Reader
	sent   int
}

// printing is held while a line is printed.
var printing sync.Mutex

// repeat sends short requests until over is closed.
func (c *client) repeat(over <-chan struct{}) {
	for {
		c.send([]byte("x"))
		select {
		case <-over:
			return
		case <-time.After(time.Duration(c.o.pauseMs) * time.Millisecond):
		}
	}
}

// send sends a request, reads its answer within the client's time and prints a line.
func (c *client) send(body []byte) {
	o := c.o
	kept := c.conn != nil
	c.sent++
	id := fmt.Sprintf("%s.%d", c.name, c.sent)
	deadline := time.Duration(o.deadlineMs) * time.Millisecond
	began := time.Now()
	status, read, err := c.exchange(id, body, began.Add(deadline))
	took := time.Since(began)
	result := fmt.Sprint(status)
	if err != nil {
		result = fmt.Sprintf("noAnswer readBytes=%d timedOut=%t %q", read, took >= deadline, err.Error())
		if c.conn != nil {
			_ = c.conn.Close()
			c.conn = nil
		}
	}
	printing.Lock()
	defer printing.Unlock()
	fmt.Printf("%s %s kept=%t bodyBytes=%d tookMs=%d\n", id, result, kept, len(body), took.Milliseconds())
}

// exchange returns the status of the answer. If there is no complete answer, it returns an error and how
// many bytes of an answer were read.
func (c *client) exchange(id string, body []byte, until time.Time) (status int, read int64, err error) {
	o := c.o
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp4", o.address, time.Until(until)); err != nil {
			c.conn = nil
			return 0, 0, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(until)
	more := ""
	if o.header != "" {
		more = o.header + "\r\n"
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: %d\r\n\r\n",
		o.path, o.host, o.idHeader, id, o.deadlineHeader, o.deadlineMs, more, len(body))
	if _, err = c.conn.Write([]byte(head)); err == nil {
		_, err = c.conn.Write(body)
	}
	if err != nil {
		return 0, 0, err
	}
	if _, err = c.reader.Peek(1); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 1, err
	}
	read, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, read + 1, err
}
