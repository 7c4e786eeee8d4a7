// Package scale writes the files of deployments with many daemons and measures the
// control cost of each daemon: processor time, memory and control traffic.
//
// # Usage
//
//	err := scale.Plan{DataCentres: 1, Daemons: 28}.Write(dir)
//	report, err := scale.Measure(ctx, operators, admin, window)
package scale

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"hemlockmux.example/common/settings"
)

// Plan describes a deployment. The defaults of the command have the proportions that
// the project's requirements ("the letter") give.
type Plan struct {
	// DataCentres is the number of data centres.
	DataCentres int
	// Daemons is the number of daemons in each data centre.
	Daemons int
	// Teams is the number of teams.
	Teams int
	// Models is the number of models.
	Models int
	// EnginesPerDaemon is the ratio of engines to daemons in a data centre.
	EnginesPerDaemon float64
	// BasePort is the first port of the deployment: that of the stand-ins'
	// administration calls. The others follow at fixed offsets.
	BasePort int
	// StepMs is the duration of a decode step in milliseconds; 0 means the default of the
	// settings.
	StepMs float64
}

// Keys of the operator, the first team and the daemons in planned deployments.
const (
	OperatorKey = "scale-operator-key"
	TeamKey     = "scale-team-key"
	daemonKey   = "scale-daemons-shared-key"
)

// Write writes the files of the deployment below dir: settings/, daemons/ and
// standin.toml. Every daemon has an address of its own on the loopback network.
func (p Plan) Write(dir string) error {
	files := map[string]string{
		"settings/system.toml": p.system(),
		"standin.toml":         p.standin(dir),
	}
	for i := range p.Teams {
		key := TeamKey
		if i > 0 {
			key = fmt.Sprintf("%s-%d", TeamKey, i)
		}
		files[fmt.Sprintf("settings/teams/team-%d.toml", i)] = fmt.Sprintf(
			"priority = %d\nrequestsPerSecond = 1000.0\nburst = 1000\nmaxInFlight = 500\nmodels = [\"model-0\"]\n\n[keys.first]\nhash = %q\n",
			i%10, settings.HashKey(key))
	}
	for dc := range p.DataCentres {
		for n := range p.Daemons {
			files[fmt.Sprintf("daemons/dc%d-%d.toml", dc, n)] = p.daemon(dc, n)
		}
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return fmt.Errorf("create directory: %w", err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return fmt.Errorf("write deployment file: %w", err)
		}
	}
	return nil
}

// ip returns the loopback address of a daemon.
func ip(dc, n int) string { return fmt.Sprintf("127.1.%d.%d", dc+1, n+1) }

func (p Plan) daemon(dc, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"dc%d-%d\"\ndataCentre = \"dc%d\"\n", dc, n, dc)
	fmt.Fprintf(&b, "callers = \"%s:%d\"\noperators = \"%s:%d\"\ndaemons = \"%s:%d\"\n", ip(dc, n), p.BasePort+10, ip(dc, n), p.BasePort+11, ip(dc, n), p.BasePort+12)
	fmt.Fprintf(&b, "table = \"http://127.0.0.1:%d\"\nobjects = \"http://127.0.0.1:%d\"\nvms = \"http://127.0.0.1:%d\"\n", p.BasePort+1, p.BasePort+2, p.BasePort+3)
	fmt.Fprintf(&b, "daemonKey = %q\nbootstrapHash = %q\npeers = [\"%s:%d\"]\n", daemonKey, settings.HashKey(OperatorKey), ip(0, 0), p.BasePort+12)
	return b.String()
}

func (p Plan) standin(dir string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "events = %q\nadmin = \"127.0.0.1:%d\"\ntable = \"127.0.0.1:%d\"\nobjects = \"127.0.0.1:%d\"\nvms = \"127.0.0.1:%d\"\nsystem = %q\n",
		filepath.Join(dir, "events.jsonl"), p.BasePort, p.BasePort+1, p.BasePort+2, p.BasePort+3, filepath.Join(dir, "settings/system.toml"))
	for dc := range p.DataCentres {
		for n := range p.Daemons {
			fmt.Fprintf(&b, "[[daemons]]\nname = \"dc%d-%d\"\ndataCentre = \"dc%d\"\naddress = \"%s:%d\"\n", dc, n, dc, ip(dc, n), p.BasePort+12)
		}
	}
	return b.String()
}

func (p Plan) system() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[operators.ops]\nkeyHash = %q\n", settings.HashKey(OperatorKey))
	for m := range p.Models {
		fmt.Fprintf(&b, "[models.model-%d]\n", m)
		if p.StepMs > 0 {
			fmt.Fprintf(&b, "stepBaseMs = %f\nstepPerSlotMs = 0.0\n", p.StepMs)
		}
	}
	engines := int(p.EnginesPerDaemon * float64(p.Daemons))
	for dc := range p.DataCentres {
		fmt.Fprintf(&b, "[dataCentres.dc%d]\nregion = \"region%d\"\noneWayMs = 20\n", dc, dc%7)
		for e := range engines {
			kind := settings.KindDecode
			if (e/p.Models)%3 == 0 {
				kind = settings.KindPrefill
			}
			fmt.Fprintf(&b, "[upstreams.dc%d-engine-%d]\nkind = %q\nmodel = \"model-%d\"\naddress = \"127.2.%d.%d:%d\"\ndataCentre = \"dc%d\"\n",
				dc, e, kind, e%p.Models, dc+1, e+1, p.BasePort+20, dc)
		}
	}
	return b.String()
}
