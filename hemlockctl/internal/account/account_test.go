package account

import (
	"strings"
	"testing"
)

const log = `{"level":"info","atMs":1000,"msg":"the store changed state","daemon":"a","reachable":false}
not a line
{"level":"info","atMs":9000,"msg":"upstream is down","daemon":"b","upstream":"i-1"}
{"level":"info","atMs":9100,"msg":"upstream is down","daemon":"b","upstream":"i-2"}
{"level":"info","atMs":9200,"msg":"configuration is in force","daemon":"a","version":7}
{"level":"info","atMs":9900,"msg":"request","daemon":"a","request":"r1","reason":"upstreamsBusy","status":503,"ran":"no","startMs":9800,"tookMs":100,"attempts":[{"upstream":"i-1","phase":"run","result":"notRun","cause":"busy","startMs":9810,"endMs":9900}]}
{"level":"info","atMs":9901,"msg":"request","daemon":"a","request":"r2","reason":"served","status":200,"ran":"yes","startMs":9800,"tookMs":100}
`

func TestAccountHoldsOnlyRelatedLines(t *testing.T) {
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	a, ok := ForRequest("r1", lines)
	if !ok {
		t.Fatal("no account of a request that the log concludes")
	}
	var b strings.Builder
	a.Write(&b)
	for _, want := range []string{"upstreamsBusy, status 503, ran: no", "run at i-1: notRun (busy)", `"upstream":"i-1"`, `"version":7`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("missing %q in:\n%s", want, b.String())
		}
	}
	for _, other := range []string{`"upstream":"i-2"`, "r2", "reachable"} {
		if strings.Contains(b.String(), other) {
			t.Errorf("%q is not related to the request but in:\n%s", other, b.String())
		}
	}
	if _, ok := ForRequest("r9", lines); ok {
		t.Error("got an account of a request that is not in the log")
	}
}
