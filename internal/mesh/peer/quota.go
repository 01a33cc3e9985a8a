package peer

import (
	"context"
	"time"

	"github.com/tanagerline/tanagerline/internal/decision/quota"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// RequestQuota carries out reducer.RequestQuota. Tokens that arrive after their lifetime are of no
// use.
func (c *Client) RequestQuota(ask reducer.RequestQuota) {
	ctx, cancel := context.WithTimeout(context.Background(), quota.AheadLifetime)
	defer cancel()
	self := c.Self
	resp, err := c.stub(ask.Target.Address()).GrantQuota(ctx, &GrantQuotaRequest{
		Address: self.Address(), Incarnation: self.Incarnation(), HolderIncarnation: ask.Target.Incarnation(),
		Wanted: quotaToWire(ask.Wanted), UptimeMilliseconds: uint64(ask.Uptime.Milliseconds()),
	})
	if err != nil {
		c.Loop.Do(reducer.QuotaRequestFailed{Request: ask.Request})
		return
	}
	c.Loop.Do(reducer.QuotaAnswered{
		Request: ask.Request, Holder: resp.GetHolder(), Granted: quotaFromWire(resp.GetGranted()),
	})
}

// GrantQuota answers an entry's request for parts of tenants' quotas.
func (s *Server) GrantQuota(ctx context.Context, req *GrantQuotaRequest) (*GrantQuotaResponse, error) {
	effect := s.Loop.Ask(ctx, func(id reducer.WorkID) reducer.Event {
		return reducer.QuotaRequested{
			Work: id, Entry: reducer.NewNodeID(req.GetAddress(), req.GetIncarnation()),
			Holder: req.GetHolderIncarnation(), Wanted: quotaFromWire(req.GetWanted()),
			Uptime: time.Duration(req.GetUptimeMilliseconds()) * time.Millisecond,
		}
	})
	reply, ok := effect.(reducer.QuotaReply)
	if !ok {
		return nil, errNoReply(ctx)
	}
	return &GrantQuotaResponse{Holder: reply.Holder, Granted: quotaToWire(reply.Granted)}, nil
}

func quotaToWire(tokens []reducer.QuotaTokens) []*QuotaTokens {
	wire := make([]*QuotaTokens, 0, len(tokens))
	for _, t := range tokens {
		wire = append(wire, &QuotaTokens{Tenant: t.Tenant, Tokens: int32(t.Tokens), Ahead: int32(t.Ahead), Held: int32(t.Held)})
	}
	return wire
}

func quotaFromWire(wire []*QuotaTokens) []reducer.QuotaTokens {
	tokens := make([]reducer.QuotaTokens, 0, len(wire))
	for _, t := range wire {
		tokens = append(tokens, reducer.QuotaTokens{
			Tenant: t.GetTenant(), Tokens: int(t.GetTokens()), Ahead: int(t.GetAhead()), Held: int(t.GetHeld()),
		})
	}
	return tokens
}
