package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

const (
	controlTimeout = 2 * time.Second
	// dialTimeout bounds a connection to a peer: several round trips between regions,
	// but less than a lost opening packet takes to be sent again.
	dialTimeout     = 250 * time.Millisecond
	idleControlTime = 15 * time.Second
	idleCallTime    = 60 * time.Second
	// connectionBufferBytes is the size of each of a connection's two buffers. A node keeps
	// many idle connections, and long bodies are written and read past the buffers.
	connectionBufferBytes = 4 << 10
	// answerHeadBytes bounds the head of an answer.
	answerHeadBytes = 64 << 10
)

// Client speaks to the other nodes; its exported fields are set before Prepare.
type Client struct {
	// Loop takes the answers as events.
	Loop *loop.Loop
	// TLS is used towards peers, or nil for plain TCP.
	TLS *tls.Config
	// Self is the ID of this process.
	Self reducer.NodeID
	// Counter counts the bytes of control requests.
	Counter *ByteCounter

	scheme  string
	control *http.Client
	short   *http.Transport
	long    *http.Transport
}

// Prepare readies the client; it must be called once before any other method.
func (c *Client) Prepare() {
	c.scheme = "http"
	if c.TLS != nil {
		c.scheme = "https"
	}
	control := c.transport(idleControlTime, limitSilence)
	control.MaxIdleConnsPerHost = 1
	control.DialContext = c.Counter.Dial
	c.control = &http.Client{Transport: control, Timeout: controlTimeout}
	c.short = c.transport(idleCallTime, limitSilence)
	// A receiver that does not read a long body yet looks silent to the sender.
	c.long = c.transport(idleCallTime, nil)
}

// transport returns a pool of connections. Short and long calls use pools of
// their own, so that an upload's bytes never stand before a lookup's.
func (c *Client) transport(idle time.Duration, control socketControl) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: control, KeepAliveConfig: peerKeepAlive}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        c.TLS,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: answerHeadBytes,
		ExpectContinueTimeout:  time.Hour,
		WriteBufferSize:        connectionBufferBytes,
		ReadBufferSize:         connectionBufferBytes,
	}
}

// Scheme returns the URL scheme of the peers' listeners.
func (c *Client) Scheme() string { return c.scheme }

// CallTransport returns the transport for calls of a length class.
func (c *Client) CallTransport(l reducer.Length) http.RoundTripper {
	if l == reducer.LengthLong {
		return c.long
	}
	return c.short
}

// Exchange carries out SendExchange.
func (c *Client) Exchange(ask reducer.SendExchange) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	resp, err := c.stub(ask.Address).Exchange(ctx, &ExchangeRequest{
		Digest: digestToWire(ask.Digest), Members: membersToWire(ask.Members),
	})
	if err != nil {
		c.Loop.Do(reducer.PeerSilent{Address: ask.Address})
		return
	}
	heard, err := c.heard(ask.Address, resp)
	if err != nil {
		c.Loop.Do(reducer.PeerSilent{Address: ask.Address})
		return
	}
	heard.SelfVersion = c.selfVersion(ask.Members)
	c.Loop.Do(heard)
}

// selfVersion returns the version of this node's announcement among members, or zero.
func (c *Client) selfVersion(members []reducer.Member) uint64 {
	for _, m := range members {
		if m.ID() == c.Self {
			return m.Spec().Version
		}
	}
	return 0
}

func (c *Client) heard(address string, resp *ExchangeResponse) (reducer.ExchangeReceived, error) {
	plan, err := planFromWire(resp.GetPlan())
	if err != nil {
		return reducer.ExchangeReceived{}, err
	}
	state, err := stateFromWire(resp.GetStateJson())
	if err != nil {
		return reducer.ExchangeReceived{}, err
	}
	return reducer.ExchangeReceived{
		From: address, Digest: digestFromWire(resp.GetDigest()), Members: membersFromWire(resp.GetMembers()),
		Plan: plan, State: state, Suspects: suspectsFromWire(resp.GetSuspects(), c.Loop.Clock()),
	}, nil
}

// Handover carries out OfferHandover. An offer without an answer is repeated by
// the reducer.
func (c *Client) Handover(offer reducer.OfferHandover) {
	change, err := json.Marshal(offer.Change)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	resp, err := c.stub(offer.Change.To.Address).Handover(ctx, &HandoverRequest{
		ChangeJson: change, Keys: keysToWire(offer.Records, c.Loop.Clock()), Final: offer.Final,
	})
	if err != nil {
		return
	}
	c.Loop.Do(reducer.HandoverAnswered{Change: offer.Change, Accepted: resp.GetAccepted()})
}

// OfferAnswers carries out OfferAnswers. Answers that can't be moved are not kept.
func (c *Client) OfferAnswers(offer reducer.OfferAnswers) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	_, err := c.stub(offer.Address).KeepAnswers(ctx, &KeepAnswersRequest{Answers: answersToWire(offer.Answers)})
	c.Loop.Do(reducer.AnswerOfferEnded{Address: offer.Address})
	return oops.Wrapf(err, "move %d answers to peer %s", len(offer.Answers), offer.Address)
}

// Settle carries out SettleAttempt; without an answer the outcome is unknown.
func (c *Client) Settle(ctx context.Context, settle reducer.SettleAttempt) reducer.Outcome {
	resp, err := c.stub(settle.Target.Address()).Settle(ctx, &SettleRequest{
		Attempt: string(settle.Attempt), Incarnation: settle.Target.Incarnation(),
	})
	if err != nil {
		return reducer.OutcomeUnknown
	}
	return reducer.Outcome(resp.GetOutcome())
}

// SendSuspect carries out SendSuspect.
func (c *Client) SendSuspect(tell reducer.SendSuspect) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	_, err := c.stub(tell.Address).Suspect(ctx, &SuspectRequest{
		Suspect: suspectToWire(tell.Suspect, c.Loop.Clock()),
	})
	return oops.Wrapf(err, "tell peer %s of a suspect request", tell.Address)
}

func (c *Client) stub(address string) Peer {
	return NewPeerProtobufClient(c.scheme+"://"+address, c.control)
}
