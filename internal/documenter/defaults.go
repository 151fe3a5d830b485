package documenter

import (
	"cmp"
	"slices"
	"time"
)

// Default values of optional fields.
const (
	DefaultShare        = 1.0
	DefaultRetention    = 24 * time.Hour
	DefaultAnswerBytes  = 16 << 10
	DefaultOrderingWait = 10 * time.Second
	DefaultBufferBytes  = 4 << 20
	DefaultPayloadBytes = 1 << 20
	DefaultMaxTokens    = 4096
	DefaultQueue        = 256
	DefaultDeadline     = 60 * time.Second
	DefaultMaxDeadline  = 10 * time.Minute
	DefaultAgeing       = 5 * time.Second
	DefaultMaxPriority  = 9
	DefaultMaxAttempts  = 6
	DefaultRetryBudget  = 0.1
)

// WithDefaults returns a copy in which omitted fields have their defaults; the timeout of a plain service's methods
// defaults to limits.deadline.
func (d *Document) WithDefaults() *Document {
	c := *d
	c.Workspaces = slices.Clone(d.Workspaces)
	for i := range c.Workspaces {
		c.Workspaces[i].Share = cmp.Or(c.Workspaces[i].Share, DefaultShare)
	}
	limits := d.Limits.withDefaults()
	c.AtMostOnce = AtMostOnce{
		Mode:        cmp.Or(d.AtMostOnce.Mode, ModeJournal),
		Retention:   cmp.Or(d.AtMostOnce.Retention, max(Duration(DefaultRetention), limits.MaxDeadline)),
		AnswerBytes: cmp.Or(d.AtMostOnce.AnswerBytes, DefaultAnswerBytes),
	}
	c.Limits = limits
	c.Ordering = Ordering{
		Wait:        cmp.Or(d.Ordering.Wait, min(Duration(DefaultOrderingWait), c.Limits.MaxDeadline)),
		BufferBytes: cmp.Or(d.Ordering.BufferBytes, DefaultBufferBytes),
	}
	c.Priorities = Priorities{
		Ageing: cmp.Or(d.Priorities.Ageing, Duration(DefaultAgeing)),
		Max:    cmp.Or(d.Priorities.Max, DefaultMaxPriority),
	}
	c.Retry = Retry{
		MaxAttempts: cmp.Or(d.Retry.MaxAttempts, DefaultMaxAttempts),
		Budget:      cmp.Or(d.Retry.Budget, DefaultRetryBudget),
	}
	if d.Plain != nil {
		c.Plain = &Plain{Methods: slices.Clone(d.Plain.Methods)}
		for i := range c.Plain.Methods {
			c.Plain.Methods[i].Timeout = cmp.Or(c.Plain.Methods[i].Timeout, c.Limits.Deadline)
		}
	}
	return &c
}

func (l Limits) withDefaults() Limits {
	maxDeadline := cmp.Or(l.MaxDeadline, max(Duration(DefaultMaxDeadline), l.Deadline))
	return Limits{
		PayloadBytes: cmp.Or(l.PayloadBytes, DefaultPayloadBytes),
		MaxTokens:    cmp.Or(l.MaxTokens, DefaultMaxTokens),
		Queue:        cmp.Or(l.Queue, DefaultQueue),
		Deadline:     cmp.Or(l.Deadline, min(Duration(DefaultDeadline), maxDeadline)),
		MaxDeadline:  maxDeadline,
	}
}
