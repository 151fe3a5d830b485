package journaler

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattantray/rattantray/internal/api/rattantray/peer/v1"
	"github.com/rattantray/rattantray/pkg/refuser"
)

var errCorrupt = errors.New("journal object is corrupt")

func (d Dispatcher) proto() *peerv1.JournalDispatcher {
	return &peerv1.JournalDispatcher{Member: d.Member, Incarnation: d.Incarnation, Nonce: d.Nonce}
}

func dispatcherOf(p *peerv1.JournalDispatcher) Dispatcher {
	return Dispatcher{Member: p.GetMember(), Incarnation: p.GetIncarnation(), Nonce: p.GetNonce()}
}

func (r result) proto() *peerv1.JournalResult {
	p := &peerv1.JournalResult{
		Fact:        uint32(r.fact),
		Status:      int32(r.status),
		Answer:      r.answer,
		Kept:        r.kept,
		KeepUntilMs: r.keepUntil,
	}
	if r.digest != [32]byte{} {
		p.Digest = r.digest[:]
	}
	return p
}

func resultOf(p *peerv1.JournalResult) result {
	r := result{
		fact:      refuser.Fact(p.GetFact()),
		status:    int(p.GetStatus()),
		answer:    p.GetAnswer(),
		kept:      p.GetKept(),
		keepUntil: p.GetKeepUntilMs(),
	}
	copy(r.digest[:], p.GetDigest())
	return r
}

func (v verdict) proto() *peerv1.JournalVerdict {
	return &peerv1.JournalVerdict{Kind: uint32(v.kind), Result: v.result.proto()}
}

func verdictOf(p *peerv1.JournalVerdict) verdict {
	return verdict{kind: verdictKind(p.GetKind()), result: resultOf(p.GetResult())}
}

// encodeRecord returns the record as a serialized JournalSegment of one record; appending such bytes joins the segments.
func encodeRecord(key Key, r *record) []byte {
	p := &peerv1.JournalRecord{
		Key:       key[:],
		State:     uint32(r.state),
		IssuedMs:  r.issued,
		ClaimedMs: r.claimed,
	}
	if r.state != stateFingerprint {
		p.Payload = r.payload[:]
		p.Dispatcher = r.dispatcher.proto()
	}
	if r.result != nil {
		p.Result = r.result.proto()
	}
	return mustMarshal(&peerv1.JournalSegment{Records: []*peerv1.JournalRecord{p}})
}

func decodeRecord(p *peerv1.JournalRecord) (Key, *record, error) {
	var key Key
	if len(p.GetKey()) != keyBytes || p.GetState() < uint32(stateClaimed) || p.GetState() > uint32(stateFingerprint) {
		return key, nil, errCorrupt
	}
	copy(key[:], p.GetKey())
	r := &record{
		state:      recordState(p.GetState()),
		issued:     p.GetIssuedMs(),
		claimed:    p.GetClaimedMs(),
		dispatcher: dispatcherOf(p.GetDispatcher()),
	}
	copy(r.payload[:], p.GetPayload())
	if p.GetResult() != nil {
		res := resultOf(p.GetResult())
		r.result = &res
	}
	return key, r, nil
}

// encodeHead returns the head with records that are already serialized.
func encodeHead(h *peerv1.JournalHead, records ...[]byte) []byte {
	b := mustMarshal(h)
	for _, r := range records {
		b = append(b, r...)
	}
	return b
}

// decodeHead returns the head without its records, and the records separately.
func decodeHead(b []byte) (*peerv1.JournalHead, []*peerv1.JournalRecord, error) {
	h := &peerv1.JournalHead{}
	if err := proto.Unmarshal(b, h); err != nil {
		return nil, nil, errors.CombineErrors(errCorrupt, err)
	}
	records := h.Records
	h.Records = nil
	return h, records, nil
}

func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		// Marshalling fails only for text that is not UTF-8, which entries refuse.
		panic(err)
	}
	return b
}
