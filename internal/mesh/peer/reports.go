package peer

import (
	"context"
	"net"

	"github.com/phuslu/log"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"github.com/tanagerline/tanagerline/internal/decision/loop"
	"github.com/tanagerline/tanagerline/internal/decision/reducer"
)

// maxReportBytes bounds a datagram, so that none is split on its way.
const maxReportBytes = 1400

// Reports carries load reports between nodes in datagrams; its exported fields are set
// before Listen.
type Reports struct {
	// Loop takes the reports as events.
	Loop *loop.Loop
	// Address is where this node takes reports.
	Address string
	// Logger takes a line for a report that can't be sent or read.
	Logger *log.Logger

	conn  *net.UDPConn
	queue chan reducer.SendLoadReport
	// resolved are the peers' socket addresses.
	resolved map[string]*net.UDPAddr
}

// maxQueuedReports bounds the reports that wait to be sent; a newer one follows soon.
const maxQueuedReports = 8

// Listen opens the socket.
func (r *Reports) Listen() error {
	address, err := net.ResolveUDPAddr("udp4", r.Address)
	if err != nil {
		return oops.Wrapf(err, "listen for reports on %s; change peers in [listen]", r.Address)
	}
	r.conn, err = net.ListenUDP("udp4", address)
	if err != nil {
		return oops.Wrapf(err, "listen for reports on %s; free the address or change peers in [listen]", r.Address)
	}
	r.queue = make(chan reducer.SendLoadReport, maxQueuedReports)
	r.resolved = map[string]*net.UDPAddr{}
	return nil
}

// Tell carries out SendLoadReport without waiting.
func (r *Reports) Tell(tell reducer.SendLoadReport) {
	select {
	case r.queue <- tell:
	default:
		r.Logger.Debug().Str("event", "report-dropped").Msgs()
	}
}

// Run sends and takes reports until the context ends.
func (r *Reports) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = r.conn.Close() })
	defer stop()
	go r.sendQueued(ctx)
	buffer := make([]byte, maxReportBytes)
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.Logger.Warn().Str("event", "report-not-received").Err(err).Msgs()
			continue
		}
		var told ExchangeRequest
		if err := proto.Unmarshal(buffer[:n], &told); err != nil {
			r.Logger.Warn().Str("event", "report-unreadable").Err(err).Msgs()
			continue
		}
		r.Loop.Do(reducer.LoadReportReceived{
			From: from.String(), Digest: digestFromWire(told.GetDigest()), Members: membersFromWire(told.GetMembers()),
		})
	}
}

func (r *Reports) sendQueued(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case tell := <-r.queue:
			r.send(tell)
		}
	}
}

// send sends a report; one that is lost is followed by a newer one.
func (r *Reports) send(tell reducer.SendLoadReport) {
	data, err := proto.Marshal(&ExchangeRequest{Digest: digestToWire(tell.Digest), Members: membersToWire(tell.Members)})
	if err != nil {
		r.Logger.Warn().Str("event", "report-not-sent").Err(err).Msgs()
		return
	}
	for _, address := range tell.Addresses {
		to := r.resolve(address)
		if to == nil {
			continue
		}
		if _, err := r.conn.WriteToUDP(data, to); err != nil {
			r.Logger.Debug().Str("event", "report-not-sent").Str("peer", address).Err(err).Msgs()
		}
	}
}

// resolve returns a peer's socket address, or nil for one that is no address.
func (r *Reports) resolve(address string) *net.UDPAddr {
	if to := r.resolved[address]; to != nil {
		return to
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil
	}
	r.resolved[address] = to
	return to
}
