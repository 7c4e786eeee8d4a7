package usersplatform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// testPlatform is a platform with a prefill and a decode engine.
type testPlatform struct {
	*Platform
	t     *testing.T
	admin string
}

func newTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := &testPlatform{Platform: NewPlatform(), t: t}
	admin := httptest.NewServer(p.AdminHandler())
	t.Cleanup(admin.Close)
	p.admin = admin.URL
	for _, stage := range []string{"prefill", "decode"} {
		p.call(http.MethodPost, "/servers", ServerSpec{ID: stage, Service: "models", Stage: stage, Slots: 8})
	}
	return p
}

func (p *testPlatform) call(method, path string, body any) {
	p.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		p.t.Fatal(err)
	}
	req, err := http.NewRequest(method, p.admin+path, bytes.NewReader(text))
	if err != nil {
		p.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		p.t.Fatalf("%s %s: status %d", method, path, resp.StatusCode)
	}
}

// stream runs a prefill and a decode of five events on the engine with the ID decode
// and returns the body of the stream.
func (p *testPlatform) stream(decode, attempt, prefix string) (string, error) {
	send := func(server string, header map[string]string) (*http.Response, error) {
		s := p.server(server)
		if s == nil {
			return nil, fmt.Errorf("no server %s", server)
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/x", strings.NewReader("a prompt"))
		if err != nil {
			return nil, err
		}
		req.Header.Set("X-Attempt-Id", attempt)
		req.Header.Set("X-Prompt-Prefix", prefix)
		req.Header.Set("X-Token-Count", "100,50")
		for name, value := range header {
			req.Header.Set(name, value)
		}
		return (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	}
	resp, err := send("prefill", map[string]string{"X-Stage": "prefill"})
	if err != nil {
		return "", err
	}
	var result struct{ KvHandle string }
	err = json.NewDecoder(resp.Body).Decode(&result)
	_ = resp.Body.Close()
	if err != nil {
		return "", err
	}
	resp, err = send(decode, map[string]string{"X-Kv-Source": p.server("prefill").address + "/" + result.KvHandle})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

const wholeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

func (p *testPlatform) expectWhole(decode, attempt, prefix string) {
	p.t.Helper()
	if body, err := p.stream(decode, attempt, prefix); err != nil || body != wholeStream {
		p.t.Errorf("%s: error %v, body %q", attempt, err, body)
	}
}

func (p *testPlatform) waitFor(id string) *Server {
	p.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if s := p.server(id); s != nil && p.listed(id) { // a server starts before its entry is written
			return s
		}
	}
	p.t.Fatalf("server %s did not start, or is not listed", id)
	return nil
}

func (p *testPlatform) listed(id string) bool {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	_, ok := p.store.rows[rowID{"servers", "", id}]
	return ok
}

func TestPartCrashesDecodeEngine(t *testing.T) {
	p := newTestPlatform(t)
	p.call(http.MethodPut, "/crash-parts", CrashParts{Parts: []string{"bad"}, RestartMs: 400, ListedMs: 200})
	p.expectWhole("decode", "sound", "first:10,own:5")
	p.expectWhole("decode", "last", "first:10,bad:5")
	other := make(chan error)
	go func() {
		_, err := p.stream("decode", "other", "first:10,own2:5")
		other <- err
	}()
	time.Sleep(40 * time.Millisecond) // until the other stream runs
	old := p.server("decode")
	if _, err := p.stream("decode", "guilty", "first:10,bad:20,own3:5"); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("stream of the part: error %v, want a reset connection", err)
	}
	<-other // it may have ended before the crash
	if p.server("decode") != nil || !p.listed("decode") {
		t.Error("the engine runs, or its entry is gone at once")
	}
	next := p.waitFor("decode-1")
	if next.address == old.address || p.listed("decode") || !p.listed("decode-1") {
		t.Errorf("address %s after %s; old entry listed: %v, new: %v", next.address, old.address, p.listed("decode"), p.listed("decode-1"))
	}
	p.expectWhole("decode-1", "after", "first:10,own4:5")
	if c := p.allCrashes(); len(c) != 1 || c[0].Server != "decode" || c[0].Attempt != "guilty" {
		t.Errorf("crashes: %+v", c)
	}
	for _, a := range p.runs() {
		if a.Attempt == "guilty" && (strings.Join(a.Parts, " ") != "first bad own3" || a.Crashed != (a.Phase == "decode")) {
			t.Errorf("arrival: %+v", a)
		}
		if (a.Attempt == "sound" || a.Attempt == "after") && a.Crashed {
			t.Errorf("arrival: %+v", a)
		}
	}
}

func TestCrashBreaksOtherStreams(t *testing.T) {
	p := newTestPlatform(t)
	p.call(http.MethodPut, "/crash-parts", CrashParts{Parts: []string{"bad"}, RestartMs: 100, SameID: true, SameAddress: true})
	old := p.server("decode")
	errs := make(chan error, 2)
	for _, prefix := range []string{"first:10,bad:20,own:5", "first:10,own2:5"} {
		go func() {
			_, err := p.stream("decode", prefix, prefix)
			errs <- err
		}()
	}
	for range 2 {
		if err := <-errs; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("error %v, want a reset connection", err)
		}
	}
	for _, a := range p.runs() {
		if a.Crashed != (a.Phase == "decode") {
			t.Errorf("arrival: %+v", a)
		}
	}
	if s := p.waitFor("decode"); s == old || s.address != old.address {
		t.Errorf("address %s after %s", s.address, old.address)
	}
	time.Sleep(defaultListed)
	if !p.listed("decode") {
		t.Error("the entry of the new process with the same ID was removed")
	}
}

func TestAnswersThatEndWithTheConnection(t *testing.T) {
	p := newTestPlatform(t)
	p.call(http.MethodPost, "/servers", ServerSpec{ID: "desk", Service: "desk"})
	for _, id := range []string{"desk", "decode"} {
		p.call(http.MethodPost, "/servers/"+id+"/fault", ServerFault{EndWithConnection: true})
	}
	conn, err := net.Dial("tcp", p.server("desk").address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = fmt.Fprint(conn, "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 1\r\n\r\nx")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || string(text) != "answer of 1 bytes asked" || resp.ContentLength != -1 || len(resp.TransferEncoding) > 0 {
		t.Errorf("error %v, body %q, length %d, encoding %v", err, text, resp.ContentLength, resp.TransferEncoding)
	}
	p.expectWhole("decode", "s", "first:10,own:5")
}

func TestStreamThatEndsInTheMiddleOfAnEvent(t *testing.T) {
	p := newTestPlatform(t)
	for _, untilClose := range []bool{false, true} {
		p.call(http.MethodPost, "/servers/decode/fault", ServerFault{EndAfterEvents: 1, EndWithConnection: untilClose})
		body, err := p.stream("decode", "s", "first:10,own:5")
		if err != nil || body != "id: 1\ndata: piece 1\n\nid: 2\nda" {
			t.Errorf("until close %v: error %v, body %q", untilClose, err, body)
		}
	}
}
