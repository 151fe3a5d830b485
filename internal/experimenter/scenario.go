package experimenter

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Scenario is one experiment; durations are text, as 500ms.
type Scenario struct {
	Name string `yaml:"name"`
	// Seeds are played one after the other.
	Seeds       []uint64      `yaml:"seeds"`
	Length      time.Duration `yaml:"length"`
	Policies    []string      `yaml:"policies"`
	Model       Model         `yaml:"model"`
	Kinds       []Kind        `yaml:"kinds"`
	Targets     []TargetGroup `yaml:"targets"`
	Load        Load          `yaml:"load"`
	Disruptions []Disruption  `yaml:"troubles"`
}

// Model describes what is served, for all of its layers.
type Model struct {
	Layers             uint32        `yaml:"layers"`
	LayerMB            float64       `yaml:"layer-mb"`
	TokenBytes         float64       `yaml:"token-bytes"`
	StepTime           time.Duration `yaml:"step"`
	SequenceTime       time.Duration `yaml:"per-sequence"`
	ContextTime        time.Duration `yaml:"context-per-1000"`
	PrefillRate        float64       `yaml:"prefill-rate"`
	ChunkTokens        int           `yaml:"chunk"`
	Slots              int           `yaml:"slots"`
	Queue              int           `yaml:"queue"`
	EventTokens        int           `yaml:"event-tokens"`
	OneWayDelay        time.Duration `yaml:"delay"`
	PipeMbps           float64       `yaml:"pipe-mbps"`
	ActivationBytes    float64       `yaml:"activation-bytes"`
	LoadTime           time.Duration `yaml:"load-time"`
	MaxConcurrentLoads int           `yaml:"loads-at-once"`
	StallTime          time.Duration `yaml:"stall-time"`
	ReportLag          time.Duration `yaml:"report-lag"`
}

// Kind is a kind of accelerator.
type Kind struct {
	Name          string  `yaml:"name"`
	MemoryMB      float64 `yaml:"memory-mb"`
	Pace          float64 `yaml:"pace"`
	PrefillFactor float64 `yaml:"prefill-factor"`
}

// Targets are some targets of a kind in a data centre.
type TargetGroup struct {
	DataCentre string `yaml:"data-centre"`
	Kind       string `yaml:"kind"`
	Count      int    `yaml:"count"`
}

// Load says what clients ask for.
type Load struct {
	// Rate is in requests a second.
	Rate      float64       `yaml:"rate"`
	Prompt    Size          `yaml:"prompt"`
	Answer    Size          `yaml:"answer"`
	Objective time.Duration `yaml:"objective"`
	// Gap is the longest pause between two events of an answer on time.
	MaxGap time.Duration `yaml:"gap"`
	// Patience is the silence after which a client leaves.
	Patience time.Duration `yaml:"patience"`
	// Retries is how often a client comes back after a refusal; those of Abuse do so at once.
	MaxRetries int `yaml:"retries"`
	// Abuse is the share of clients that repeat at once and Leave that of clients that leave before their first event.
	AbusiveShare float64 `yaml:"abuse"`
	LeavingShare float64 `yaml:"leave"`
	Bursts       []Burst `yaml:"bursts"`
	// HotKeys are times in which many clients ask for the same.
	HotKeys []HotKey `yaml:"hot-keys"`
}

// Size is a size in tokens with a spread, as the standard deviation of its logarithm.
type Size struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Max    float64 `yaml:"most"`
}

// Burst multiplies the rate for a while.
type Burst struct {
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Factor   float64       `yaml:"x"`
}

// HotKey has a share of the requests be one and the same for a while.
type HotKey struct {
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Share    float64       `yaml:"share"`
	// Prompt and Answer are its sizes in tokens.
	Prompt int `yaml:"prompt"`
	Answer int `yaml:"answer"`
}

// Trouble befalls some targets, or all processes that relay.
type Disruption struct {
	At time.Duration `yaml:"at"`
	// Kind is lose, slow, or restart-all; processes that restart are away for For.
	Kind     string        `yaml:"kind"`
	Count    int           `yaml:"count"`
	Factor   float64       `yaml:"x"`
	Duration time.Duration `yaml:"for"`
}

// Kinds of trouble.
const (
	DisruptionLose    = "lose"
	DisruptionSlow    = "slow"
	DisruptionRestart = "restart-all"
)

// Parse reads a scenario; an error names the line and what is accepted.
func Parse(r io.Reader) (*Scenario, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	s := &Scenario{}
	if err := decoder.Decode(s); err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	return s, s.check()
}

// check returns the first field that is not accepted, by its path.
func (s *Scenario) check() error {
	bad := func(path, accepted string) error { return errors.Newf("scenario: %s: want %s", path, accepted) }
	switch {
	case s.Name == "":
		return bad("name", "a name")
	case len(s.Seeds) == 0:
		return bad("seeds", "at least one number")
	case s.Length <= 0:
		return bad("length", "a duration above 0, as 40s")
	case s.Model.Layers == 0 || s.Model.LayerMB <= 0 || s.Model.TokenBytes <= 0:
		return bad("model", "layers, layer-mb and token-bytes above 0")
	case s.Model.StepTime <= 0 || s.Model.PrefillRate <= 0 || s.Model.ChunkTokens <= 0 || s.Model.Slots <= 0 || s.Model.EventTokens <= 0:
		return bad("model", "step, prefill-rate, chunk, slots and event-tokens above 0")
	case s.Load.Rate <= 0 || s.Load.Prompt.Mean < 1 || s.Load.Answer.Mean < 1:
		return bad("load", "a rate above 0 and sizes of at least one token")
	case s.Load.Objective <= 0 || s.Load.MaxGap <= 0 || s.Load.Patience <= 0:
		return bad("load", "objective, gap and patience above 0")
	}
	return s.checkLists(bad)
}

func (s *Scenario) checkLists(bad func(path, accepted string) error) error {
	kinds := map[string]bool{}
	for i, k := range s.Kinds {
		if k.Name == "" || k.MemoryMB <= 0 || k.Pace <= 0 || k.PrefillFactor <= 0 {
			return bad(fmt.Sprintf("kinds[%d]", i), "name, memory-mb, pace and prefill-factor")
		}
		kinds[k.Name] = true
	}
	for i, t := range s.Targets {
		if !kinds[t.Kind] || t.DataCentre == "" || t.Count <= 0 {
			return bad(fmt.Sprintf("targets[%d]", i), "a data-centre, a kind of the list and a count above 0")
		}
	}
	if len(s.Targets) == 0 {
		return bad("targets", "at least one entry")
	}
	for i, name := range s.Policies {
		if _, ok := policies[name]; !ok {
			return bad(fmt.Sprintf("policies[%d]", i), "one of "+policyNames())
		}
	}
	if len(s.Policies) == 0 {
		return bad("policies", "at least one of "+policyNames())
	}
	return s.checkTimes(bad)
}

// checkTimes checks what happens at times of the scenario.
func (s *Scenario) checkTimes(bad func(path, accepted string) error) error {
	for i, t := range s.Disruptions {
		path := fmt.Sprintf("troubles[%d]", i)
		switch {
		case t.Kind == DisruptionRestart && t.Duration <= 0:
			return bad(path, "the time for which processes are away")
		case t.Kind != DisruptionRestart && (t.Kind != DisruptionLose && t.Kind != DisruptionSlow || t.Count <= 0):
			return bad(path, "kind lose or slow and a count above 0, or kind restart-all")
		}
	}
	for i, k := range s.Load.HotKeys {
		if k.Duration <= 0 || k.Share <= 0 || k.Share > 1 || k.Prompt <= 0 || k.Answer <= 0 {
			return bad(fmt.Sprintf("load.hot-keys[%d]", i), "for, prompt and answer above 0 and a share up to 1")
		}
	}
	return nil
}
