package send

import v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"

// line is a part of an answer as --json prints it.
type line struct {
	RequestID  string  `json:"request-id"`
	Attempt    uint32  `json:"attempt"`
	Position   uint64  `json:"position"`
	Data       string  `json:"data"`
	Last       bool    `json:"last"`
	HTTPStatus uint32  `json:"http-status,omitempty"`
	Version    string  `json:"version,omitempty"`
	Stages     []stage `json:"stages,omitempty"`
}

type stage struct {
	Target     string `json:"target"`
	FirstLayer uint32 `json:"first-layer"`
	EndLayer   uint32 `json:"end-layer"`
	Duration   string `json:"duration"`
}

func toLine(p *v1.SendResponse) line {
	l := line{
		RequestID:  p.RequestId,
		Attempt:    p.Attempt,
		Position:   p.Position,
		Data:       string(p.Data),
		Last:       p.Last,
		HTTPStatus: p.HttpStatus,
		Version:    p.GetReceipt().GetVersion(),
	}
	for _, s := range p.GetReceipt().GetStages() {
		l.Stages = append(l.Stages, stage{
			Target:     s.Target,
			FirstLayer: s.FirstLayer,
			EndLayer:   s.EndLayer,
			Duration:   s.Duration.AsDuration().String(),
		})
	}
	return l
}
