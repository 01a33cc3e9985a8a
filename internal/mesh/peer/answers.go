package peer

import (
	"maps"
	"net/http"
	"slices"

	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

func answersToWire(answers []reducer.KeptAnswer) []*AnswerInfo {
	wire := make([]*AnswerInfo, 0, len(answers))
	for _, a := range answers {
		wire = append(wire, &AnswerInfo{
			Service: a.Service, Key: a.Key, Attempt: string(a.Attempt), Status: int32(a.Answer.Status),
			Header: headerToWire(a.Answer.Header), Body: a.Answer.Body, Trailer: headerToWire(a.Answer.Trailer),
		})
	}
	return wire
}

func answersFromWire(wire []*AnswerInfo) []reducer.KeptAnswer {
	answers := make([]reducer.KeptAnswer, 0, len(wire))
	for _, a := range wire {
		answers = append(answers, reducer.KeptAnswer{
			Service: a.GetService(), Key: a.GetKey(), Attempt: reducer.AttemptID(a.GetAttempt()),
			Answer: &reducer.StoredAnswer{
				Status: int(a.GetStatus()), Header: headerFromWire(a.GetHeader()),
				Body: a.GetBody(), Trailer: headerFromWire(a.GetTrailer()),
			},
		})
	}
	return answers
}

func headerToWire(h http.Header) []*HeaderField {
	var fields []*HeaderField
	for _, name := range slices.Sorted(maps.Keys(h)) {
		fields = append(fields, &HeaderField{Name: name, Values: h[name]})
	}
	return fields
}

func headerFromWire(fields []*HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}
