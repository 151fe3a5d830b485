package send

import v1 "github.com/rattantray/rattantray/pkg/api/rattantray/v1"

// answerPart is a part of an answer in the form that --json prints.
type answerPart struct {
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

func toAnswerPart(p *v1.SendResponse) answerPart {
	part := answerPart{
		RequestID:  p.RequestId,
		Attempt:    p.Attempt,
		Position:   p.Position,
		Data:       string(p.Data),
		Last:       p.Last,
		HTTPStatus: p.HttpStatus,
		Version:    p.GetReceipt().GetVersion(),
	}
	for _, s := range p.GetReceipt().GetStages() {
		part.Stages = append(part.Stages, stage{
			Target:     s.Target,
			FirstLayer: s.FirstLayer,
			EndLayer:   s.EndLayer,
			Duration:   s.Duration.AsDuration().String(),
		})
	}
	return part
}
