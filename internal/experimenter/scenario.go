package experimenter

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Scenario is one experiment; durations are written as in 500ms.
type Scenario struct {
	Name string `yaml:"name"`
	// Seeds are simulated one after the other.
	Seeds       []uint64      `yaml:"seeds"`
	Length      time.Duration `yaml:"length"`
	Policies    []string      `yaml:"policies"`
	Model       Model         `yaml:"model"`
	Kinds       []Kind        `yaml:"kinds"`
	Targets     []TargetGroup `yaml:"targets"`
	Load        Load          `yaml:"load"`
	Disruptions []Disruption  `yaml:"troubles"`
}

// Model describes the served model and the engines' times for all of its layers; see modeler.Spec.
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

// TargetGroup is a number of targets of one kind in a data centre.
type TargetGroup struct {
	DataCentre string `yaml:"data-centre"`
	Kind       string `yaml:"kind"`
	Count      int    `yaml:"count"`
}

// Load describes the requests of the clients.
type Load struct {
	// Rate is in requests per second.
	Rate      float64       `yaml:"rate"`
	Prompt    Size          `yaml:"prompt"`
	Answer    Size          `yaml:"answer"`
	Objective time.Duration `yaml:"objective"`
	// MaxGap is the maximum pause between two events of an answer that is on time.
	MaxGap time.Duration `yaml:"gap"`
	// Patience is the silence after which a client disconnects.
	Patience time.Duration `yaml:"patience"`
	// MaxRetries is how often a client retries after a refusal; abusive clients do so immediately.
	MaxRetries int `yaml:"retries"`
	// AbusiveShare is the share of clients that retry immediately, and LeavingShare that of clients that disconnect if they have
	// no event after half of the objective.
	AbusiveShare float64 `yaml:"abuse"`
	LeavingShare float64 `yaml:"leave"`
	Bursts       []Burst `yaml:"bursts"`
	// HotKeys are periods in which many clients send the same request.
	HotKeys []HotKey `yaml:"hot-keys"`
}

// Size is a mean size in tokens with a spread, which is the standard deviation of the logarithm, and a maximum; 0 is none.
type Size struct {
	Mean   float64 `yaml:"mean"`
	Spread float64 `yaml:"spread"`
	Max    float64 `yaml:"most"`
}

// Burst multiplies the rate by a factor for a period.
type Burst struct {
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Factor   float64       `yaml:"x"`
}

// HotKey makes a share of the requests identical in size for a period.
type HotKey struct {
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Share    float64       `yaml:"share"`
	// Prompt and Answer are the sizes in tokens.
	Prompt int `yaml:"prompt"`
	Answer int `yaml:"answer"`
}

// Disruption affects a number of targets, or all processes that relay requests.
type Disruption struct {
	At time.Duration `yaml:"at"`
	// Kind is lose, slow, or restart-all; Duration is how long targets are slow by Factor or restarted processes are down.
	Kind     string        `yaml:"kind"`
	Count    int           `yaml:"count"`
	Factor   float64       `yaml:"x"`
	Duration time.Duration `yaml:"for"`
}

// Kinds of disruption.
const (
	DisruptionLose    = "lose"
	DisruptionSlow    = "slow"
	DisruptionRestart = "restart-all"
)

// Parse reads a scenario; its error names the line or the field, and the accepted values.
func Parse(r io.Reader) (*Scenario, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	s := &Scenario{}
	if err := decoder.Decode(s); err != nil {
		return nil, errors.Wrap(err, "decode scenario")
	}
	return s, s.validate()
}

// validate returns an error for the first invalid field, with its path.
func (s *Scenario) validate() error {
	invalid := func(path, accepted string) error { return errors.Newf("scenario: %s: want %s", path, accepted) }
	switch {
	case s.Name == "":
		return invalid("name", "a name")
	case len(s.Seeds) == 0:
		return invalid("seeds", "at least one number")
	case s.Length <= 0:
		return invalid("length", "a duration above 0, as 40s")
	case s.Model.Layers == 0 || s.Model.LayerMB <= 0 || s.Model.TokenBytes <= 0:
		return invalid("model", "layers, layer-mb and token-bytes above 0")
	case s.Model.StepTime <= 0 || s.Model.PrefillRate <= 0 || s.Model.ChunkTokens <= 0 || s.Model.Slots <= 0 || s.Model.EventTokens <= 0:
		return invalid("model", "step, prefill-rate, chunk, slots and event-tokens above 0")
	case s.Load.Rate <= 0 || s.Load.Prompt.Mean < 1 || s.Load.Answer.Mean < 1:
		return invalid("load", "a rate above 0 and sizes of at least one token")
	case s.Load.Objective <= 0 || s.Load.MaxGap <= 0 || s.Load.Patience <= 0:
		return invalid("load", "objective, gap and patience above 0")
	}
	return s.validateLists(invalid)
}

func (s *Scenario) validateLists(invalid func(path, accepted string) error) error {
	kinds := map[string]bool{}
	for i, k := range s.Kinds {
		if k.Name == "" || k.MemoryMB <= 0 || k.Pace <= 0 || k.PrefillFactor <= 0 {
			return invalid(fmt.Sprintf("kinds[%d]", i), "name, memory-mb, pace and prefill-factor")
		}
		kinds[k.Name] = true
	}
	for i, t := range s.Targets {
		if !kinds[t.Kind] || t.DataCentre == "" || t.Count <= 0 {
			return invalid(fmt.Sprintf("targets[%d]", i), "a data-centre, a kind of the list and a count above 0")
		}
	}
	if len(s.Targets) == 0 {
		return invalid("targets", "at least one entry")
	}
	for i, name := range s.Policies {
		if _, ok := policies[name]; !ok {
			return invalid(fmt.Sprintf("policies[%d]", i), "one of "+policyNames())
		}
	}
	if len(s.Policies) == 0 {
		return invalid("policies", "at least one of "+policyNames())
	}
	return s.validateTimes(invalid)
}

// validateTimes validates the disruptions and hot keys.
func (s *Scenario) validateTimes(invalid func(path, accepted string) error) error {
	for i, t := range s.Disruptions {
		path := fmt.Sprintf("troubles[%d]", i)
		switch {
		case t.Kind == DisruptionRestart && t.Duration <= 0:
			return invalid(path, "the time for which processes are away")
		case t.Kind != DisruptionRestart && (t.Kind != DisruptionLose && t.Kind != DisruptionSlow || t.Count <= 0):
			return invalid(path, "kind lose or slow and a count above 0, or kind restart-all")
		}
	}
	for i, k := range s.Load.HotKeys {
		if k.Duration <= 0 || k.Share <= 0 || k.Share > 1 || k.Prompt <= 0 || k.Answer <= 0 {
			return invalid(fmt.Sprintf("load.hot-keys[%d]", i), "for, prompt and answer above 0 and a share up to 1")
		}
	}
	return nil
}
