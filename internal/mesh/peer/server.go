package peer

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// Server answers the other nodes' control requests.
type Server struct {
	// Loop takes the requests as events.
	Loop *loop.Loop
}

// Exchange answers a peer's digest with the news that it lacks.
func (s *Server) Exchange(ctx context.Context, req *ExchangeRequest) (*ExchangeResponse, error) {
	effect := s.Loop.Ask(ctx, func(id reducer.WorkID) reducer.Event {
		return reducer.ExchangeRequested{
			Work: id, Digest: digestFromWire(req.GetDigest()), Members: membersFromWire(req.GetMembers()),
		}
	})
	reply, ok := effect.(reducer.ExchangeReply)
	if !ok {
		return nil, errNoReply(ctx)
	}
	plan, err := planToWire(reply.Plan)
	if err != nil {
		return nil, err
	}
	state, err := stateToWire(reply.State)
	if err != nil {
		return nil, err
	}
	return &ExchangeResponse{
		Digest: digestToWire(reply.Digest), Members: membersToWire(reply.Members), Plan: plan,
		StateJson: state, Suspects: suspectsToWire(reply.Suspects, s.Loop.Clock()),
	}, nil
}

// Handover takes shares of a service's keys over from a peer.
func (s *Server) Handover(ctx context.Context, req *HandoverRequest) (*HandoverResponse, error) {
	var change reducer.TableChange
	if err := json.Unmarshal(req.GetChangeJson(), &change); err != nil {
		return nil, twirp.InvalidArgumentError("change_json", err.Error())
	}
	effect := s.Loop.Ask(ctx, func(id reducer.WorkID) reducer.Event {
		return reducer.HandoverOffered{
			Work: id, Change: change, Records: keysFromWire(req.GetKeys(), s.Loop.Clock()), Final: req.GetFinal(),
		}
	})
	reply, ok := effect.(reducer.HandoverReply)
	if !ok {
		return nil, errNoReply(ctx)
	}
	return &HandoverResponse{Accepted: reply.Accepted}, nil
}

// KeepAnswers takes the answers of a stopping guard.
func (s *Server) KeepAnswers(ctx context.Context, req *KeepAnswersRequest) (*KeepAnswersResponse, error) {
	effect := s.Loop.Ask(ctx, func(id reducer.WorkID) reducer.Event {
		return reducer.AnswersOffered{Work: id, Answers: answersFromWire(req.GetAnswers())}
	})
	if effect == nil {
		return nil, errNoReply(ctx)
	}
	return &KeepAnswersResponse{}, nil
}

// Settle tells the outcome of an attempt and forbids its start.
func (s *Server) Settle(ctx context.Context, req *SettleRequest) (*SettleResponse, error) {
	effect := s.Loop.Ask(ctx, func(id reducer.WorkID) reducer.Event {
		return reducer.SettleRequested{
			Work: id, Attempt: reducer.AttemptID(req.GetAttempt()), To: req.GetIncarnation(),
		}
	})
	reply, ok := effect.(reducer.SettleReply)
	if !ok {
		return nil, errNoReply(ctx)
	}
	return &SettleResponse{Outcome: string(reply.Outcome)}, nil
}

// Suspect takes a peer's word of a request that crashes upstreams.
func (s *Server) Suspect(_ context.Context, req *SuspectRequest) (*SuspectResponse, error) {
	s.Loop.Do(reducer.SuspectReceived{Suspect: suspectFromWire(req.GetSuspect(), s.Loop.Clock())})
	return &SuspectResponse{}, nil
}

func errNoReply(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return twirp.NewError(twirp.Canceled, err.Error())
	}
	return twirp.InternalError("the node gave no reply; ask again")
}
