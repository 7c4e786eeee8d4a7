package logs

import (
	"expvar"
	"fmt"
	"strings"

	"go.uber.org/zap"
)

// CallLogger takes what the library of the calls between daemons has to say, mostly on connections
// that end early: it is counted and logged at the debug level.
type CallLogger struct {
	Log *zap.Logger
	// Metrics counts the messages as callMessages.
	Metrics *expvar.Map
}

// Printf implements jsonrpc2.Logger.
func (l CallLogger) Printf(format string, v ...any) {
	l.Metrics.Add("callMessages", 1)
	l.Log.Debug("call between daemons", zap.String("cause", strings.TrimSpace(fmt.Sprintf(format, v...))))
}
